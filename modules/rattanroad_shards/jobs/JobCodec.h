#pragma once

#include "rattanroad_shards/jobs/ShardJob.h"

namespace rattanroad::shards {

/** Returns the record of a job for the store: the job with the progress of its tasks, or only the state once it has
    ended.
*/
std::string encodeRecord(const ShardJob& job, const ShardId& shard);
/** Takes the progress of a record over into a job whose tasks have not begun. */
void applyProgress(const protocol::JobRecord& record, ShardJob& job);

/** Returns a job for the next holder of its shard. */
protocol::JobHandover encodeHandover(const ShardJob& job, TimePoint now);
/** Takes the tasks of a handed-over job over. Tasks that were started may still run. */
void applyHandover(const protocol::JobHandover& handed, ShardJob& job);

}
