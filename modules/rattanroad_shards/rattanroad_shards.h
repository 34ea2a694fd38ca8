/** rattanroad_shards: jobs whose records live in the platform's store.

    The targets are divided into shards. Each shard has one holder among the entry hosts, which accepts jobs by a write
    to the store and is the only one that gives orders to the shard's targets, under a fencing token.

    Dependencies: rattanroad_core, rattanroad_protocol.
    Read jobs/ShardDispatcher.h and entrance/JobEntrance.h first, then holding/ShardElection.h.
*/
#pragma once

#include "rattanroad_shards/entrance/JobEntrance.h"
#include "rattanroad_shards/entrance/QueueTable.h"
#include "rattanroad_shards/holding/ShardElection.h"
#include "rattanroad_shards/jobs/ShardDispatcher.h"
#include "rattanroad_shards/store/PrefixFollower.h"
