#pragma once

#include "fakes/EventQueue.h"
#include "rattanroad_configuration/rattanroad_configuration.h"
#include "rattanroad_core/random/RandomSource.h"
#include "rattanroad_ledger/rattanroad_ledger.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>

namespace rattanroad {

/** The platform's key-value service with compare-and-swap, reduced to the records that rattanroad keeps there: views of
    segments and the configuration.
*/
class FakeStore {
public:
    struct Faults {
        /** Nothing is executed; callers learn of it by a timeout. */
        bool isDown { false };
        /** Added to each call. */
        Duration slowness { 0 };
        /** Share of writes that take effect but whose reply is lost. */
        double lostReplies { 0 };
        /** Reads of the configuration return the state of this long ago. */
        Duration staleness { 0 };
    };

    FakeStore(EventQueue& queue, RandomSource& random);
    FakeStore(const FakeStore&) = delete;
    FakeStore& operator=(const FakeStore&) = delete;

    void setFaults(Faults faults) { m_faults = faults; }

    /** Executes the change after the store's latency; @p callback gets the result later, never at once. */
    void changeView(const ViewChange& change, const std::function<void(const ViewChangeResult&)>& callback);

    /** Registers a process as the home of callers' keys; @p callback learns whether an earlier incarnation of the host
       was registered, or nothing when the store did not answer.
    */
    void registerKeyHome(
        const HostId& host, Incarnation incarnation, const std::function<void(std::optional<bool>)>& callback);

    /** Result of a configuration write as the operator's client sees it. */
    enum class WriteResult {
        Accepted,
        Conflict,
        Unavailable, ///< No reply; the write may have taken effect.
    };
    /** Writes when @p value has the revision after the stored one. */
    void writeConfiguration(const ConfigurationValue& value, const std::function<void(WriteResult)>& callback);
    /** Returns what a read gives now; nothing when the store is down or empty. */
    std::optional<ConfigurationValue> readConfiguration() const;
    /** Called at the moment a configuration takes effect in the store. May be empty. */
    std::function<void(const ConfigurationValue&)> accepted;

    std::uint64_t calls() const { return m_calls; }

private:
    Duration delay() const;
    ViewChangeResult execute(const ViewChange& change);
    bool isReplyLost();

    EventQueue& m_queue;
    RandomSource& m_random;
    Faults m_faults;
    std::map<SegmentKey, SegmentView> m_views;
    std::map<HostId, Incarnation> m_keyHomes;
    std::deque<std::pair<TimePoint, ConfigurationValue>> m_configurations;
    std::uint64_t m_calls { 0 };
};

}
