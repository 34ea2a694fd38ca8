#pragma once

#include "rattanroad_protocol/rattanroad_protocol.h"
#include "rattanroad_shards/placing/CrashPolicy.h"
#include "rattanroad_shards/types/ShardTypes.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace rattanroad::shards {

/** A run that ended as failed. A target may report it more than once. */
struct FailedRun {
    TargetId target;
    /** Start time of the target incarnation that had the run. */
    std::uint64_t incarnationMs { 0 };
    std::uint32_t attempt { 0 };

    bool operator==(const FailedRun& other) const
    {
        return target == other.target && incarnationMs == other.incarnationMs && attempt == other.attempt;
    }
};

/** How a job has ended. */
struct JobEnd {
    JobState state;
    /** For the log; may be empty. */
    std::string reason;
};

/** State of one task of a job in the memory of the shard's holder. */
struct ShardTask {
    enum class State {
        Waiting, ///< Starts once the phases before it are done and a target has room.
        Placed, ///< Has a run on @c target.
        Done,
    };
    State state { State::Waiting };
    std::uint32_t attempt { 0 };
    /** Distinct failed runs, most recent last. */
    std::vector<FailedRun> failedRuns;
    /** Failed runs that a host of an earlier build has counted without naming them. */
    std::uint32_t unnamedFailures { 0 };
    /** Distinct target incarnations that were lost under a run of the task, oldest first. */
    std::vector<LostRun> lostRuns;
    /** ShardJob::lossSequence at the last change of lostRuns. */
    std::uint64_t lossSequence { 0 };
    /** Attempt that the job's record names as the current run; 0 for none. */
    std::uint32_t recordedAttempt { 0 };
    TargetId target;
    /** When the start of the current run was requested; absent for a run that an earlier holder started. */
    std::optional<TimePoint> startedAt;
    /** The task does not start before this time, after a target rejected a start. */
    TimePoint earliestStart { distantPast };
    /** A run that an earlier holder started may still be active, so no new run may start yet. */
    bool mayHaveEarlierRun { false };
    std::string savedProgress;
    /** An overdue run was stopped to start the task elsewhere. Done only once, because the task itself may be long. */
    bool wasRescheduled { false };

    std::uint32_t failureCount() const { return unnamedFailures + static_cast<std::uint32_t>(failedRuns.size()); }
    /** Returns the targets on which the task has failed, most recent last. */
    std::vector<TargetId> failedOn() const
    {
        std::vector<TargetId> targets;
        for (const FailedRun& run : failedRuns)
            targets.push_back(run.target);
        return targets;
    }
};

/** A run completion that a target keeps reporting until it is acknowledged. It is acknowledged once the job's record in
    the store covers it.
*/
struct RetainedCompletion {
    TargetId target;
    /** Start time of the target incarnation that numbered the completion. */
    std::uint64_t incarnationMs { 0 };
    std::uint64_t number { 0 };
    /** When the completion was seen, or when a record that covers it was last written. */
    TimePoint seenAt;
    /** Order in which the completions of all jobs were seen. */
    std::uint64_t sequence { 0 };
};

/** A job and its tasks. */
struct ShardJob {
    JobId id;
    protocol::PlacedJob description;
    /** Generation of the holder that accepted the job. */
    Generation acceptedIn;
    JobState state { JobState::Queued };
    /** The job is accepted: its record is in the store, or the job is best effort and needs none. */
    bool isAccepted { false };
    std::vector<std::vector<ShardTask>> phases;
    TimePoint receivedAt;
    /** When the caller of a best-effort job stops waiting for its response, if its origin has told. */
    std::optional<TimePoint> callerDeadline;
    /** The job was submitted before it came here, so that an earlier holder may have started it. */
    bool wasSubmittedBefore { false };
    /** When the job was given up and returned to its origin. */
    std::optional<TimePoint> returnedAt;
    /** Time by which the caller expects the job to end. The job still runs after it. */
    TimePoint softDeadline;
    std::optional<TimePoint> endedAt;
    std::vector<RetainedCompletion> retainedCompletions;
    /** Counts the changes of the lost runs of all tasks. */
    std::uint64_t lossSequence { 0 };
    /** The record in the store covers the changes up to this one. */
    std::uint64_t recordedLossSequence { 0 };
    /** Address of the origin: the host that received the job from its caller. */
    std::string originAddress;
    /** When the origin last sent the submission. For a best-effort job it repeats it while the caller waits. */
    TimePoint lastSubmittedAt;
    /** The latest time at which the origin is certain to have wanted the job. Earlier than lastSubmittedAt after a
        handover, which may have been under way for long. Runs start and keep their leases by this time. */
    TimePoint certainlySubmittedAt;
    /** Shard that the job was transferred from last; empty for none. */
    ShardId transferredFrom;
    /** Attempts have numbers above this one, because holders of earlier shards may have used the others. */
    std::uint32_t attemptFloor { 0 };
    /** The record is being rewritten to name another shard; nothing starts and no other change is stored. */
    bool isBeingTransferred { false };
    /** How the job ended during its transfer. Counts only if the transfer fails: the other shard reads a record without
        the end, and runs the tasks of which it knows none. */
    std::optional<JobEnd> endDuringTransfer;
    /** Since when no target of the shard can run a waiting task. */
    std::optional<TimePoint> unplaceableSince;
    /** This holder has received the job from one origin, which had not sent it before. Nobody else can have it or
        expect it here. */
    bool hasSingleOrigin { false };
    /** When the end of the job could first be shown: its record holds the final state, or the job is best effort. */
    std::optional<TimePoint> endShownAt;
    std::vector<std::function<void()>> onEndShown;

    bool isEndShown() const { return endShownAt.has_value(); }
    /** Returns the state that callers are shown. What they have seen is never less durable than what a later holder
        reads. */
    JobState shownState() const { return hasEnded(state) && !isEndShown() ? JobState::Running : state; }
    /** Returns whether the job has ended and its record does not hold the end yet. */
    bool isEndUnstored() const { return isAccepted && !description.best_effort() && hasEnded(state) && !isEndShown(); }

    /** Returns whether a task of the job may ever have been started. */
    bool mayHaveRun() const
    {
        const auto mayHaveRun = [](const ShardTask& task) {
            return task.attempt > 0 || task.mayHaveEarlierRun || task.state != ShardTask::State::Waiting;
        };
        return wasSubmittedBefore || std::any_of(phases.begin(), phases.end(), [&](const auto& phase) {
            return std::any_of(phase.begin(), phase.end(), mayHaveRun);
        });
    }
    ShardTask* task(const TaskId& id)
    {
        if (id.phase >= phases.size() || id.index >= phases[id.phase].size())
            return nullptr;
        return &phases[id.phase][id.index];
    }
    bool isPhaseDone(std::size_t phase) const
    {
        for (const ShardTask& task : phases[phase]) {
            if (task.state != ShardTask::State::Done)
                return false;
        }
        return true;
    }
    /** Returns whether all phases that @p phase depends on are done. */
    bool isPhaseReady(std::size_t phase) const
    {
        for (const std::uint32_t before : description.phases(static_cast<int>(phase)).after()) {
            if (!isPhaseDone(before))
                return false;
        }
        return true;
    }
    bool areAllPhasesDone() const
    {
        for (std::size_t i = 0; i < phases.size(); ++i) {
            if (!isPhaseDone(i))
                return false;
        }
        return true;
    }
    /** Returns whether no run of any task was started or may have been. */
    bool isUntouched() const
    {
        const auto isTaskUntouched = [](const ShardTask& task) {
            return task.state == ShardTask::State::Waiting && task.attempt == 0 && !task.mayHaveEarlierRun
                && task.failureCount() == 0 && task.lostRuns.empty();
        };
        return std::all_of(phases.begin(), phases.end(),
            [&isTaskUntouched](const auto& phase) { return std::all_of(phase.begin(), phase.end(), isTaskUntouched); });
    }
    /** Returns whether it has changed for a task. */
    bool setMayHaveEarlierRun(bool mayHaveEarlierRun)
    {
        bool isChanged = false;
        for (auto& phase : phases) {
            for (ShardTask& task : phase) {
                isChanged = isChanged || task.mayHaveEarlierRun != mayHaveEarlierRun;
                task.mayHaveEarlierRun = mayHaveEarlierRun;
            }
        }
        return isChanged;
    }
};

}
