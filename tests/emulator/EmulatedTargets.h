#pragma once

#include "fakes/EventQueue.h"
#include "rattanroad_shards/targets/TargetCalls.h"

#include <map>
#include <memory>
#include <set>

namespace rattanroad::emulator {

/** Targets that run tasks under leases, list ends until they are acknowledged, and refuse lower tokens. They keep the
    record against which the promises are checked.
*/
class EmulatedTargets {
public:
    struct Faults {
        /** Targets that no host reaches, and pairs that do not reach each other. */
        std::set<TargetId> unreachable;
        std::set<std::pair<HostId, TargetId>> disconnectedPairs;
        /** Tasks on these targets never end by themselves. */
        std::set<TargetId> hangingTargets;
        /** Tasks on these targets fail at once. */
        std::set<TargetId> failingTargets;
        /** This many starts are not answered and carried out later. */
        int lateStarts { 0 };
        /** This many stops are not answered and carried out later. */
        int lateStops { 0 };
        /** Delay of late starts and stops, and of delayed orders. */
        Duration lateBy { std::chrono::seconds(3) };
        /** A late start that is sent again finds no connection. */
        bool doRepeatsFailToConnect { false };
        /** Each order of this number is not answered and carried out later; 0 for none. */
        std::uint64_t delayEvery { 0 };
        /** This many starts are carried out and not answered. */
        int startRepliesToLose { 0 };
    };
    struct Run {
        TargetId target;
        std::uint32_t attempt { 0 };
        TimePoint startedAt;
        TimePoint endedAt { TimePoint::max() };
        std::string ending;
    };

    explicit EmulatedTargets(EventQueue& queue)
        : m_queue(queue)
    {
        expireLeases();
    }
    EmulatedTargets(const EmulatedTargets&) = delete;
    EmulatedTargets& operator=(const EmulatedTargets&) = delete;

    Faults faults;

    void add(const shards::TargetReport& report);
    /** Ends everything on a target, which then knows nothing. */
    void restart(const TargetId& target);
    shards::TargetCalls callsFrom(const HostId& host);

    /** Returns all runs of all tasks. */
    const std::map<shards::TaskId, std::vector<Run>>& runs() const { return m_record; }
    /** Returns what broke a promise. */
    const std::vector<std::string>& violations() const { return m_violations; }
    std::size_t running() const;
    const std::map<TargetId, shards::TargetReport>& reports() const { return m_reports; }

private:
    struct Live {
        std::uint32_t attempt { 0 };
        shards::Resources resources;
        std::uint64_t serial { 0 };
        std::size_t recordIndex { 0 };
    };
    struct Target {
        std::uint64_t token { 0 };
        TimePoint leaseEnd;
        std::map<shards::TaskId, Live> live;
        std::map<shards::TaskId, std::uint32_t> highest;
        std::vector<shards::EndedTask> ended;
        std::uint64_t lastEnd { 0 };
        std::uint64_t life { 0 };
        /** Where the clock of the present life starts. */
        TimePoint bornAt;
        std::vector<std::function<void()>> waiting;
    };

    bool isReachable(const HostId& host, const TargetId& target) const;
    /** Returns whether an order is carried out and answered at once; one that is delayed is carried out later. */
    bool arrivesInTime(const HostId& host, const TargetId& target, std::function<void()> carryOut);
    void stop(const shards::StopOrder& order, const std::function<void(const shards::TargetReply&)>& callback);
    void hold(const shards::HoldOrder& order, const std::function<void(const shards::HoldReply&)>& callback);
    shards::TargetReply reply(const TargetId& target, shards::TargetEnding ending) const;
    shards::TargetEnding start(const shards::StartOrder& order);
    void end(const TargetId& target, const shards::TaskId& task, shards::RunOutcome how, const char* name);
    void answerHold(const shards::HoldOrder& order, const std::function<void(const shards::HoldReply&)>& callback);
    bool takeToken(Target& target, shards::FencingToken token);
    std::uint64_t clockMs(const Target& target) const;
    /** Returns the moment of a time on the target's clock. */
    static TimePoint momentOf(const Target& target, std::uint64_t clockMs);
    void expireLeases();

    EventQueue& m_queue;
    std::map<TargetId, shards::TargetReport> m_reports;
    std::map<TargetId, Target> m_targets;
    std::map<shards::TaskId, std::vector<Run>> m_record;
    std::vector<std::string> m_violations;
    std::uint64_t m_lastSerial { 0 };
    std::uint64_t m_orders { 0 };
    /** Late starts, by task and attempt. */
    std::set<std::pair<shards::TaskId, std::uint32_t>> m_lateStarts;
};

/** Payload of a task that runs for @p duration; with @p fails it ends as failed. */
std::string taskPayload(std::chrono::milliseconds duration, shards::Resources resources, bool fails = false);

}
