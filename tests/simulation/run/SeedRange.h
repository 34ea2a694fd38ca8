#pragma once

#include "simulation/run/FailureRun.h"

#include <cstdint>
#include <vector>

namespace rattanroad {

/** Runs many seeds on several threads; each run has its own clock, so the outcome of a seed depends on nothing else. */
class SeedRange {
public:
    /** Returns the failed runs in the order of their seeds, and adds up the completed jobs of all runs. */
    static std::vector<FailureRun::Outcome> run(
        std::uint64_t first, std::uint64_t count, std::size_t threads, std::size_t& completedJobs);
};

}
