#pragma once

#include "rattanroad_shards/jobs/ShardJob.h"
#include "rattanroad_shards/scheduling/WorkQueue.h"

namespace rattanroad::shards {

/** Bounds of the estimates of one task where work is added up: a missing estimate counts as a short task, and no task
    counts for more than some minutes. */
constexpr std::chrono::milliseconds shortestCountedRun { 10 };
constexpr std::chrono::milliseconds longestCountedRun { 600000 };

/** Returns the work of one task of the phase, in millicores times milliseconds. */
std::uint64_t taskWork(const protocol::PhaseDescription& phase);
/** Returns what the order of a job depends on, or nothing when it has no task to start. @p runTimeFactor is the
    expected ratio of run times to their estimates. */
std::optional<WaitingJob> waitingJob(const ShardJob& job, double runTimeFactor);

}
