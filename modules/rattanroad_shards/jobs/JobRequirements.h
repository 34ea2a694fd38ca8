#pragma once

#include "rattanroad_protocol/rattanroad_protocol.h"
#include "rattanroad_shards/placing/TaskPlacer.h"

namespace rattanroad::shards {

/** Returns the sum of the estimates along the longest chain of phases. */
std::chrono::milliseconds criticalPathLength(const protocol::PlacedJob& job);
/** Returns the time from submission to the end that the caller counts as in time. */
std::chrono::milliseconds latencyObjective(const protocol::PlacedJob& job);
/** Returns what one task of a phase takes. */
Resources taskResources(const protocol::PhaseDescription& phase);
/** Returns what the placing of a task of a phase must know. */
PlacementRequest placementRequest(const protocol::PlacedJob& job, std::size_t phase);

}
