#pragma once

#include "rattanroad_core/identifiers/Identifiers.h"
#include "rattanroad_core/identifiers/StrongType.h"
#include "rattanroad_core/time/Clock.h"

#include <cstdint>
#include <functional>
#include <string>
#include <tuple>
#include <vector>

namespace rattanroad::shards {

/** Name of a shard: a set of targets and of the jobs that run on them, with one holder at a time. */
using ShardId = StrongType<std::string, struct ShardIdTag>;
/** Name of a job, chosen by its caller. */
using JobId = StrongType<std::string, struct JobIdTag>;
/** Name of a queue of the configuration. */
using QueueId = StrongType<std::string, struct QueueIdTag>;
/** Name of a service, a group of targets that run the same kind of tasks. */
using ServiceId = StrongType<std::string, struct ServiceIdTag>;
/** Rises with each holder of a shard; a target does nothing for a lower token than it has seen. */
using FencingToken = StrongType<std::uint64_t, struct FencingTokenTag>;
/** Counts the changes of a shard's holder. */
using Generation = StrongType<std::uint64_t, struct GenerationTag>;

/** Before everything that a process has seen; unlike TimePoint::min(), differences to it do not overflow. */
constexpr TimePoint distantPast { -std::chrono::hours(10000) };

/** Room on a target, or the part of it that one task takes. */
struct Resources {
    std::uint32_t millicores { 0 };
    std::uint32_t memoryMb { 0 };
    std::uint32_t accelerators { 0 };

    bool fitsInto(const Resources& room) const
    {
        return millicores <= room.millicores && memoryMb <= room.memoryMb && accelerators <= room.accelerators;
    }
    Resources& operator+=(const Resources& other)
    {
        millicores += other.millicores;
        memoryMb += other.memoryMb;
        accelerators += other.accelerators;
        return *this;
    }
    /** Returns what is left of this room; a part that is overused counts as empty. */
    Resources minus(const Resources& used) const
    {
        const auto rest = [](std::uint32_t all, std::uint32_t part) { return all > part ? all - part : 0; };
        return { rest(millicores, used.millicores), rest(memoryMb, used.memoryMb),
            rest(accelerators, used.accelerators) };
    }
};

enum class JobState {
    Queued,
    Running,
    Done,
    Failed,
    Cancelled, // stays last: the number of a state is stored
};

inline bool hasEnded(JobState state) { return state >= JobState::Done; }

/** One task of a job. */
struct TaskId {
    JobId job;
    std::uint32_t phase { 0 };
    std::uint32_t index { 0 };

    friend bool operator<(const TaskId& left, const TaskId& right)
    {
        return std::tie(left.job, left.phase, left.index) < std::tie(right.job, right.phase, right.index);
    }
    friend bool operator==(const TaskId& left, const TaskId& right)
    {
        return left.job == right.job && left.phase == right.phase && left.index == right.index;
    }
};

/** How a run of a task ended. */
enum class RunOutcome {
    Done,
    Failed, ///< Counts against the attempts of the task.
    Interrupted, ///< Stopped, or its lease ended: the task may run again.
};

/** What a target says of itself. */
struct TargetReport {
    TargetId id;
    ServiceId service;
    FailureDomainId failureDomain;
    std::string address;
    bool isDraining { false };
    Resources capacity;
    /** Hardware kind first, then the rack. */
    std::vector<std::string> labels;
    /** Start of this life of the target, in milliseconds since 1970; 0 when unknown. */
    std::uint64_t bornMs { 0 };
};

/** Timers of the loop that the parts of a host run on. */
struct Timers {
    /** Calls the function once after the delay. */
    std::function<void(Duration, std::function<void()>)> after;
};

}
