/** rattanroad_shards: dispatches jobs whose records are kept in the platform's store.

    The targets are divided into shards. Each shard has one holder among the entry hosts. The holder accepts a job by
    writing its record to the store, and is the only host that sends requests to the shard's targets; a fencing token
    protects the targets against earlier holders. Best-effort jobs are not stored but kept in the memory of the holder.
    The origin host, which received such a job from its caller, keeps it alive by submitting it to the holder
    repeatedly.

    Dependencies: rattanroad_core, rattanroad_protocol.
    Read node/ShardNode.h first, then the path of a job: entrance/JobEntrance.h, entrance/ShardLoads.h,
    entrance/JobHomes.h, entrance/HolderRequests.h, jobs/ShardDispatcher.h, jobs/TaskRunner.h, targets/ShardTargets.h,
    targets/PlacementPass.h, placing/TaskPlacer.h and targets/TargetSession.h. holding/ShardElection.h elects the holder
    of a shard. scheduling/ decides about order and refusal, evacuation/ about evacuated failure domains.
    entrance/LoadFeed.h brings the loads of all shards to each host, over node/HostLinks.h.
*/
#pragma once

#include "rattanroad_shards/node/ShardNode.h"
