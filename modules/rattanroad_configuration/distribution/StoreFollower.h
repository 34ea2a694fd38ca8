#pragma once

#include "rattanroad_configuration/configuration/ConfigurationHolder.h"
#include "rattanroad_configuration/store/Backoff.h"
#include "rattanroad_configuration/store/StoreTypes.h"

#include <functional>

namespace rattanroad {

/** Follows the configuration in the store by a read and a watch; restarts both with backoff. */
class StoreFollower {
public:
    struct Settings {
        Duration answerTimeout { std::chrono::seconds(2) };
        Duration firstBackoff { std::chrono::milliseconds(250) };
        /** Well below the 7 s in which a change must be in force everywhere after the store is back. */
        Duration longestBackoff { std::chrono::seconds(2) };
        /** A watch on a connection that died silently is noticed by the next read. */
        Duration recheckInterval { std::chrono::seconds(30) };
    };

    struct Hooks {
        std::function<void(const StoreGet&)> get;
        std::function<void(const StoreWatch&)> startWatch;
        std::function<void(StoreWatchId)> stopWatch;
    };

    StoreFollower(ConfigurationHolder& holder, Settings settings, Clock& clock, RandomSource& random, Hooks hooks);
    StoreFollower(const StoreFollower&) = delete;
    StoreFollower& operator=(const StoreFollower&) = delete;

    /** Starts or stops following. */
    void setFollowing(bool isFollowing);
    bool isFollowing() const { return m_state != State::Idle; }
    /** Returns whether a watch is open. */
    bool isWatching() const { return m_state == State::Watching || m_isRechecking; }

    void handleGetAnswer(const StoreGetAnswer& answer);
    void handleWatchEvent(const StoreWatchEvent& event);
    void tick();
    TimePoint nextWakeup() const { return m_wakeup; }

    /** Returns how many stored values could not be read. */
    std::uint64_t malformedValues() const { return m_malformedValues; }

private:
    enum class State {
        Idle,
        BackingOff,
        Reading,
        Watching,
    };

    void read();
    void watch(StoreRevision from);
    void closeWatch();
    void retryLater();
    void offer(const StoreValue& value);

    ConfigurationHolder& m_holder;
    Settings m_settings;
    Clock& m_clock;
    Hooks m_hooks;
    Backoff m_backoff;
    State m_state { State::Idle };
    bool m_isRechecking { false };
    TimePoint m_wakeup { TimePoint::max() };
    std::uint64_t m_request { 0 };
    std::uint64_t m_watch { 0 };
    std::uint64_t m_malformedValues { 0 };
};

}
