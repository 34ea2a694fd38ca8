#pragma once

#include "rattanroad_protocol/rattanroad_protocol.h"
#include "rattanroad_shards/types/ShardTypes.h"

#include <optional>
#include <vector>

namespace rattanroad::shards {

/** A task of a job that its shard's holder has in memory. */
struct ShardTask {
    enum class State {
        Waiting, ///< May start once the phases before it are done.
        Placed, ///< Has a run on @c target.
        Done,
    };
    State state { State::Waiting };
    std::uint32_t attempt { 0 };
    std::uint32_t failedRuns { 0 };
    /** Targets on which it has failed, the last one at the end. */
    std::vector<TargetId> failedOn;
    TargetId target;
    /** When the present run was ordered; absent for one that an earlier holder started. */
    std::optional<TimePoint> startedAt;
    /** No earlier start, after a refusal. */
    TimePoint notBefore { distantPast };
    /** May still run under an earlier holder, so that no new run may begin yet. */
    bool isUncertain { false };
    std::string savedProgress;
    /** A run was stopped because it took far longer than expected; done once, as the task itself may be long. */
    bool wasMoved { false };
};

/** An end that a target keeps until the job's record in the store covers it. */
struct KeptEnd {
    TargetId target;
    std::uint64_t bornMs { 0 };
    std::uint64_t number { 0 };
    TimePoint seenAt;
    /** Order in which the ends of all jobs were seen. */
    std::uint64_t sequence { 0 };
};

/** A job and its tasks. */
struct ShardJob {
    JobId id;
    protocol::PlacedJob description;
    Generation acceptedIn;
    JobState state { JobState::Queued };
    /** The record of the acceptance is in the store. */
    bool isStored { false };
    std::vector<std::vector<ShardTask>> phases;
    TimePoint receivedAt;
    /** Latest end that its caller counts as in time. */
    TimePoint objective;
    std::optional<TimePoint> endedAt;
    std::vector<KeptEnd> keptEnds;
    /** Host that took the job in from its caller. */
    std::string entranceAddress;
    /** When that host last asked after the job. */
    TimePoint askedAt;
    /** The record of the end is in the store. */
    bool isEndStored { false };
    std::vector<std::function<void()>> onEndStored;

    ShardTask* task(const TaskId& name)
    {
        if (name.phase >= phases.size() || name.index >= phases[name.phase].size())
            return nullptr;
        return &phases[name.phase][name.index];
    }
    bool isPhaseDone(std::size_t phase) const
    {
        for (const ShardTask& task : phases[phase]) {
            if (task.state != ShardTask::State::Done)
                return false;
        }
        return true;
    }
    /** Returns whether the phases before @p phase are done. */
    bool isPhaseDue(std::size_t phase) const
    {
        for (const std::uint32_t before : description.phases(static_cast<int>(phase)).after()) {
            if (!isPhaseDone(before))
                return false;
        }
        return true;
    }
    bool areAllDone() const
    {
        for (std::size_t i = 0; i < phases.size(); ++i) {
            if (!isPhaseDone(i))
                return false;
        }
        return true;
    }
    /** Tells of all tasks whether a run of an earlier holder may be left. */
    void setUncertain(bool isUncertain)
    {
        for (auto& phase : phases) {
            for (ShardTask& task : phase)
                task.isUncertain = isUncertain;
        }
    }
};

}
