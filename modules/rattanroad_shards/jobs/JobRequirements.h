#pragma once

#include "rattanroad_protocol/rattanroad_protocol.h"
#include "rattanroad_shards/placing/TaskPlacer.h"

namespace rattanroad::shards {

/** Returns the sum of the run time estimates along the critical path of the job's phases. */
std::chrono::milliseconds criticalPathLength(const protocol::PlacedJob& job);
/** Returns the time from submission within which the caller expects the job to end. */
std::chrono::milliseconds latencyObjective(const protocol::PlacedJob& job);
/** Returns the resources that one task of the phase needs. */
Resources taskResources(const protocol::PhaseDescription& phase);
/** Returns the placement requirements of one task of the phase. */
PlacementRequest placementRequest(const protocol::PlacedJob& job, std::size_t phase);

/** Returns whether a holder can serve the job of a record, which may have been written by something else than a holder:
    phases depend on earlier phases only, and the number of tasks is one that a holder can keep. */
bool isServable(const protocol::JobRecord& record);

}
