#pragma once

#include "history/checker/HistoryChecker.h"
#include "simulation/run/FaultPlan.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rattanroad {

/** One seeded failure run of a fleet: 6 entry hosts in 3 failure domains, 12 targets, load for 12 s, faults during the
    load, then quiet time in which everything must recover.
*/
class FailureRun {
public:
    struct Outcome {
        std::uint64_t seed { 0 };
        History history;
        std::string faults;
        std::vector<Violation> violations;
        /** Requests that got neither an answer nor a broken connection. */
        std::vector<std::string> unanswered;
        /** Jobs sent after everything had healed that did not complete. */
        std::vector<std::string> failedProbes;
        std::size_t completedJobs { 0 };

        bool isGood() const { return violations.empty() && unanswered.empty() && failedProbes.empty(); }
        /** Returns what went wrong, the faults, and the events of the submissions concerned. */
        std::string report() const;
    };

    static Outcome run(std::uint64_t seed);
};

}
