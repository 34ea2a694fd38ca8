#pragma once

#include "measure/CellResult.h"

#include <cstdint>

namespace rattanroad {

/** Runs a trace through a Fleet of entry hosts, with callers that send each job to its host. */
class EngineCell {
public:
    enum class Scenario {
        Normal,
        /** One target at a tenth of its speed from the end of the warm-up on. */
        Straggler,
        /** A tenth of the targets fail everything for a while, a straggler, a killed entry host, a cut link. */
        Faults,
        /** Deadlines are short; refusals and goodput are measured. */
        Overload,
    };

    static CellResult run(Scenario scenario, const Workload& workload, const Trace& trace, std::uint64_t seed);
};

}
