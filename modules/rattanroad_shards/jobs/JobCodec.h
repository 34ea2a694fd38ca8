#pragma once

#include "rattanroad_shards/jobs/ShardJob.h"

#include <functional>

namespace rattanroad::shards {

/** Returns the current run of a task as one that is lost if its target restarts, or nothing if the task has no run. */
using CurrentRun = std::function<std::optional<LostRun>(const TaskId&)>;

/** Encodes the record of a job for the store: its description and the progress of its tasks, or only its state once it
    has ended.
*/
std::string encodeRecord(const ShardJob& job, const ShardId& shard, const CurrentRun& currentRun);
/** Applies the task progress of a record to a job whose tasks have not started. */
void applyProgress(const protocol::JobRecord& record, ShardJob& job, TimePoint now);

/** Encodes a job and the state of its tasks for the next holder of its shard. */
protocol::JobHandover encodeHandover(const ShardJob& job, TimePoint now, const CurrentRun& currentRun);
/** Applies the task states of a handover to a job. Tasks that were started and are not done may still run. */
void applyHandover(const protocol::JobHandover& handed, ShardJob& job, TimePoint now);
/** Adds the lost runs of a handover that the job does not know yet. */
void addLostRuns(const protocol::JobHandover& handed, ShardJob& job, TimePoint now);

}
