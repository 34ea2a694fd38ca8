#pragma once

#include "history/checker/History.h"

#include <string>
#include <vector>

namespace rattanroad {

/** The eight guarantees of section 1.2 of the design page, by their number. */
enum class Guarantee {
    IdempotentSubmission = 1,
    CompleteOrFailed = 2,
    OwnAnswer = 3,
    NotRunMeansNotRun = 4,
    UnrepeatableAtMostOnce = 5,
    LeavingTargetGetsNoWork = 6,
    GracefulShutdown = 7,
    ConfigurationInForce = 8,
};

struct Violation {
    Guarantee guarantee { Guarantee::IdempotentSubmission };
    std::int64_t timeUs { 0 };
    std::string reason;
};

/** Judges a history against the guarantees, from the history alone.
    @see docs/notes/measure.md for what each guarantee means in terms of events
*/
class HistoryChecker {
public:
    /** Returns all violations in the order of the guarantees; none for a history that keeps them. */
    static std::vector<Violation> check(const History& history);
};

}
