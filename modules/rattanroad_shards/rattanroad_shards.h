/** rattanroad_shards: jobs whose records live in the platform's store.

    The targets are divided into shards. Each shard has one holder among the entry hosts, which accepts jobs by a write
    to the store and is the only one that gives orders to the shard's targets, under a fencing token. Best-effort jobs
    are not stored; they live in the memory of the holder, and the host that took one in asks after it.

    Dependencies: rattanroad_core, rattanroad_protocol.
    Read node/ShardNode.h first, then along the way of a job: entrance/JobEntrance.h, entrance/ShardLoads.h,
    jobs/ShardDispatcher.h, jobs/TaskRunner.h, targets/ShardTargets.h, placing/TaskPlacer.h, targets/TargetSession.h;
    holding/ShardElection.h tells who holds a shard.
*/
#pragma once

#include "rattanroad_shards/node/ShardNode.h"
