#pragma once

#include "fakes/EventQueue.h"
#include "rattanroad_shards/targets/TargetCalls.h"
#include "rattanroad_shards/types/PlatformLimits.h"

#include <map>
#include <memory>
#include <set>

namespace rattanroad::emulator {

/** Emulates targets, which run tasks under leases, list ended runs until these are acknowledged, and reject requests
    with a lower fencing token than the highest seen. Records all runs and every violation of an invariant. Injects
    faults.
*/
class EmulatedTargets {
public:
    struct Faults {
        /** Targets that no host can reach. */
        std::set<TargetId> unreachableTargets;
        /** Pairs of a host and a target that cannot reach each other. */
        std::set<std::pair<HostId, TargetId>> disconnectedPairs;
        /** Targets on which runs never end by themselves. */
        std::set<TargetId> hangingTargets;
        /** Targets on which runs fail almost at once. */
        std::set<TargetId> failingTargets;
        /** Number of runs of each task of a job that fail almost at once before one succeeds. */
        std::map<shards::JobId, std::size_t> failuresBeforeSuccess;
        /** Jobs whose tasks crash each target that starts them. */
        std::set<shards::JobId> crashingJobs;
        /** Time from the start of such a task to the crash; with 0 the start is not answered. */
        Duration crashAfter { std::chrono::milliseconds(100) };
        /** Time from a crash until the target is back as a new incarnation. */
        Duration crashDuration { std::chrono::seconds(3) };
        /** Time from the return of a target until it writes its entry. */
        Duration entryDelay { 0 };
        /** A target is back at another address after a crash. */
        bool doAddressesChange { false };
        /** Number of start requests to leave without a reply and execute later. */
        int lateStarts { 0 };
        /** Number of stop requests to leave without a reply and execute later. */
        int lateStops { 0 };
        /** Delay of late starts, late stops and delayed requests. */
        Duration lateBy { std::chrono::seconds(3) };
        /** A start request that is sent again after being made late fails to connect. */
        bool doRepeatsFailToConnect { false };
        /** Every n-th request is left without a reply and executed later; 0 for none. */
        std::uint64_t delayEvery { 0 };
        /** Number of start requests to execute without a reply. */
        int startRepliesToLose { 0 };
        /** Targets do not refuse requests with a lower fencing token, as on deployments without fencing. */
        bool areOldTokensAccepted { false };
        /** Largest number of completions in a reply to a poll. */
        std::size_t completionsPerReply { 500 };
    };
    struct Run {
        TargetId target;
        std::uint32_t attempt { 0 };
        TimePoint startedAt;
        TimePoint endedAt { TimePoint::max() };
        /** "done", "failed", "stopped", "crashed" with the target, or "lapsed" if the lease of the target ended; empty
            while the task runs. */
        std::string ending;
    };

    explicit EmulatedTargets(EventQueue& queue, const shards::PlatformLimits& limits = {})
        : m_queue(queue)
        , m_limits(limits)
    {
        expireLeases();
    }
    EmulatedTargets(const EmulatedTargets&) = delete;
    EmulatedTargets& operator=(const EmulatedTargets&) = delete;

    Faults faults;

    void add(const shards::TargetReport& report);
    /** Restarts a target: ends all its runs and discards its state. */
    void restart(const TargetId& target);
    /** Sets the capacity with which a target is back after its next restart. */
    void setNextCapacity(const TargetId& target, shards::Resources capacity) { m_nextCapacities[target] = capacity; }
    /** Stops a target for good: ends all its runs. Requests to it are lost, also those that are late. */
    void remove(const TargetId& target);
    bool isRemoved(const TargetId& target) const { return m_removed.count(target) != 0; }
    /** The store has acknowledged that the target drains. A start that is sent later than the drain notice violates an
        invariant. */
    void setDraining(const TargetId& target) { m_drainingSince[target] = m_queue.now(); }
    /** The store has acknowledged that a failure domain is evacuated. A start that a host in touch with the store sends
        there later than the bound violates an invariant. */
    void setEvacuated(const FailureDomainId& domain) { m_evacuatedSince[domain] = m_queue.now(); }
    void endEvacuation(const FailureDomainId& domain) { m_evacuatedSince.erase(domain); }
    /** Sets a function that returns whether a host is in touch with the store. */
    void setContactCheck(std::function<bool(const HostId&)> isInTouch) { m_isInTouch = std::move(isInTouch); }
    bool isDraining(const TargetId& target) const { return m_drainingSince.count(target) != 0; }
    /** Ends all runs of a target, which is back with the next incarnation after Faults::crashDuration. */
    void crash(const TargetId& target);
    /** Sets a function that is called when a target writes its entry after a restart or a crash. */
    void setReturnObserver(std::function<void(const TargetId&)> observer) { m_returnObserver = std::move(observer); }
    /** Returns the target interface for a host, subject to the faults of that host. */
    shards::TargetCalls callsFrom(const HostId& host);

    /** Returns all runs of all tasks, including ended ones. */
    const std::map<shards::TaskId, std::vector<Run>>& runs() const { return m_runs; }
    /** Returns descriptions of the violated invariants: overlapping runs of a task, exceeded capacity, and starts on a
        target that has drained for longer than the drain notice, and starts in a failure domain that has been evacuated
        for longer than the bound. */
    const std::vector<std::string>& violations() const { return m_violations; }
    /** Returns the number of current runs on all targets. */
    std::size_t running() const;
    const std::map<TargetId, shards::TargetReport>& reports() const { return m_reports; }

private:
    struct LiveRun {
        std::uint32_t attempt { 0 };
        shards::Resources resources;
        std::uint64_t runId { 0 };
        std::size_t runIndex { 0 };
    };
    struct Target {
        std::uint64_t token { 0 };
        TimePoint leaseEnd;
        std::map<shards::TaskId, LiveRun> live;
        std::map<shards::TaskId, std::uint32_t> highestAttempts;
        std::vector<shards::RunCompletion> ended;
        std::uint64_t lastEndNumber { 0 };
        std::uint64_t incarnation { 0 };
        /** Zero of the target's clock, which starts anew with each incarnation. */
        TimePoint startedAt;
        std::vector<std::function<void()>> pendingPolls;
    };

    void beginIncarnation(const TargetId& target);
    void writeEntryLater(const TargetId& target);
    bool isReachable(const HostId& host, const TargetId& target) const;
    bool isCrashed(const TargetId& target) const { return m_crashedTargets.count(target) != 0; }
    /** Returns whether the caller has to execute and answer a request now. Schedules @p carryOut for a delayed request.
     */
    bool arrivesInTime(const HostId& host, const TargetId& target, std::function<void()> carryOut);
    void executeLate(const TargetId& target, std::function<void()> carryOut);
    void stop(const shards::StopRequest& request, const std::function<void(const shards::TargetReply&)>& callback);
    void poll(const shards::PollRequest& request, const std::function<void(const shards::PollReply&)>& callback);
    /** Returns a reply that does not name the incarnation, which only the lists of runs do. */
    shards::TargetReply reply(const TargetId& target, shards::TargetCallResult ending) const;
    shards::TargetCallResult start(const shards::StartRequest& request);
    /** Returns whether the next run of the task is one that fails almost at once. */
    bool willFailAtOnce(const shards::TaskId& task, const TargetId& target) const;
    void checkDraining(const TargetId& target);
    void checkEvacuation(const HostId& host, const TargetId& target);
    void end(const TargetId& target, const shards::TaskId& task, shards::RunOutcome outcome, const char* name);
    void answerPoll(const shards::PollRequest& request, const std::function<void(const shards::PollReply&)>& callback);
    bool acceptToken(Target& target, shards::FencingToken token) const;
    std::uint64_t clockMs(const Target& target) const;
    /** Converts a time of the target's clock. */
    static TimePoint toTimePoint(const Target& target, std::uint64_t clockMs);
    void expireLeases();

    EventQueue& m_queue;
    const shards::PlatformLimits m_limits;
    std::map<TargetId, shards::TargetReport> m_reports;
    std::map<TargetId, Target> m_targets;
    std::set<TargetId> m_removed;
    std::set<TargetId> m_crashedTargets;
    std::map<TargetId, TimePoint> m_drainingSince;
    std::map<FailureDomainId, TimePoint> m_evacuatedSince;
    std::function<bool(const HostId&)> m_isInTouch;
    std::map<TargetId, shards::Resources> m_nextCapacities;
    std::function<void(const TargetId&)> m_returnObserver;
    std::map<shards::TaskId, std::vector<Run>> m_runs;
    std::vector<std::string> m_violations;
    std::uint64_t m_lastRunId { 0 };
    std::uint64_t m_requests { 0 };
    /** Task and attempt of the start requests that were made late. */
    std::set<std::pair<shards::TaskId, std::uint32_t>> m_lateStarts;
};

/** Returns the payload of a task that runs for @p duration and then succeeds, or fails if @p fails. */
std::string taskPayload(std::chrono::milliseconds duration, shards::Resources resources, bool fails = false);

}
