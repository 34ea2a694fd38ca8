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

/** Id of a shard: a set of targets and the jobs that run on them, with one holder at a time. */
using ShardId = StrongType<std::string, struct ShardIdTag>;
/** Id of a job, chosen by its caller. */
using JobId = StrongType<std::string, struct JobIdTag>;
/** Id of a queue in the configuration. */
using QueueId = StrongType<std::string, struct QueueIdTag>;
/** Id of a service, a group of targets that run the same kind of tasks. */
using ServiceId = StrongType<std::string, struct ServiceIdTag>;
/** Rises with each holder of a shard; a target rejects requests with a lower token than the highest it has seen. */
using FencingToken = StrongType<std::uint64_t, struct FencingTokenTag>;
/** Counts the changes of a shard's holder. */
using Generation = StrongType<std::uint64_t, struct GenerationTag>;

/** Processor time that a host may use, in thousandths of a core; 0 when unknown. */
using HostMillicores = StrongType<std::uint32_t, struct HostMillicoresTag>;

/** Earlier than any time of a running process. Unlike with TimePoint::min(), differences to it do not overflow. */
constexpr TimePoint distantPast { -std::chrono::hours(10000) };

/** Capacity of a target, or the part of it that tasks use. */
struct Resources {
    std::uint32_t millicores { 0 };
    std::uint32_t memoryMb { 0 };
    std::uint32_t accelerators { 0 };

    bool fitsInto(const Resources& available) const
    {
        return millicores <= available.millicores && memoryMb <= available.memoryMb
            && accelerators <= available.accelerators;
    }
    Resources& operator+=(const Resources& other)
    {
        millicores += other.millicores;
        memoryMb += other.memoryMb;
        accelerators += other.accelerators;
        return *this;
    }
    /** Returns the capacity that is left after @p used; each component is at least 0. */
    Resources minus(const Resources& used) const
    {
        const auto difference = [](std::uint32_t total, std::uint32_t part) { return total > part ? total - part : 0; };
        return { difference(millicores, used.millicores), difference(memoryMb, used.memoryMb),
            difference(accelerators, used.accelerators) };
    }
};

enum class JobState {
    Queued,
    Running,
    Done,
    Failed,
    Cancelled, // Must stay last: the numeric values are stored, and received values are checked against this one.
};

inline bool hasEnded(JobState state) { return state >= JobState::Done; }

/** Identifies one task of a job. */
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

/** Outcome of a run of a task. */
enum class RunOutcome {
    Done,
    Failed, ///< Counts against the attempts of the task.
    Interrupted, ///< Stopped by a stop request or by the end of its lease; the task may run again.
};

/** Description of a target from its entry in the store. */
struct TargetReport {
    TargetId id;
    ServiceId service;
    FailureDomainId failureDomain;
    std::string address;
    bool isDraining { false };
    Resources capacity;
    /** The hardware kind, followed by the rack. */
    std::vector<std::string> labels;
    /** Start time of the target process, in milliseconds since 1970; identifies its incarnation. 0 when unknown. */
    std::uint64_t bornMs { 0 };
};

/** Timers of the event loop on which all components of a host run. */
struct Timers {
    /** Calls the function once, after the delay. */
    std::function<void(Duration, std::function<void()>)> after;
};

}
