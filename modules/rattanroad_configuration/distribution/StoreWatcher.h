#pragma once

#include "rattanroad_configuration/configuration/ConfigurationHolder.h"
#include "rattanroad_configuration/store/Backoff.h"
#include "rattanroad_configuration/store/StoreTypes.h"

#include <functional>

namespace rattanroad {

/** Receives configurations from the store. Reads the current value, then watches its key for changes; after a failure
    it retries with backoff. While the watch is open, it reads the value again at intervals to detect a broken watch.
*/
class StoreWatcher {
public:
    struct Settings {
        /** A read without an answer after this time counts as failed. */
        Duration answerTimeout { std::chrono::seconds(2) };
        Duration firstBackoff { std::chrono::milliseconds(250) };
        /** Well below the 7 s within which a change must be in force on all hosts once the store is available again. */
        Duration maximumBackoff { std::chrono::seconds(2) };
        /** Time between reads while a watch is open. They detect a watch whose connection was lost without an error. */
        Duration recheckInterval { std::chrono::seconds(30) };
    };

    struct Hooks {
        std::function<void(const StoreGet&)> get;
        std::function<void(const StoreWatch&)> startWatch;
        std::function<void(StoreWatchId)> stopWatch;
    };

    StoreWatcher(ConfigurationHolder& holder, Settings settings, Clock& clock, RandomSource& random, Hooks hooks);
    StoreWatcher(const StoreWatcher&) = delete;
    StoreWatcher& operator=(const StoreWatcher&) = delete;

    /** Starts reading and watching, or closes the watch and stops. */
    void setEnabled(bool isEnabled);
    bool isEnabled() const { return m_state != State::Idle; }
    bool hasOpenWatch() const { return m_state == State::Watching || m_isRechecking; }

    void handleGetAnswer(const StoreGetAnswer& answer);
    void handleWatchEvent(const StoreWatchEvent& event);
    void tick();
    TimePoint nextWakeup() const { return m_wakeup; }

    /** Returns the number of values from the store that could not be parsed. */
    std::uint64_t malformedValues() const { return m_malformedValues; }

private:
    enum class State {
        Idle,
        BackingOff,
        Reading,
        Watching,
    };

    void read();
    void openWatch(StoreRevision from);
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
    std::uint64_t m_lastRequestId { 0 };
    std::uint64_t m_lastWatchId { 0 };
    std::uint64_t m_malformedValues { 0 };
};

}
