#pragma once

#include "measure/CellResult.h"
#include "rattanroad_core/random/RandomSource.h"

namespace rattanroad {

/** Runs a trace under a simple policy with the latencies and targets of the workload. Each entry host decides on its
    own. A task that a full target rejects is sent again after a short backoff, to a target that the policy chooses
    anew; the rejected message and its answer count as one wasted message.
*/
class BaselineCell {
public:
    enum class Policy {
        Random,
        RoundRobin,
        TwoChoices, ///< Of two random targets the one with fewer own outstanding tasks.
    };

    static const char* name(Policy policy);
    static CellResult run(Policy policy, const Workload& workload, const Trace& trace, RandomSource& random);
};

}
