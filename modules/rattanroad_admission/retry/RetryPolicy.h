#pragma once

#include "rattanroad_core/random/RandomSource.h"
#include "rattanroad_core/time/Clock.h"
#include "rattanroad_protocol/rattanroad_protocol.h"
#include "rattanroad_routing/slots/SlotTypes.h"

#include <memory>

namespace rattanroad {

/** Decides whether a task may start again after an attempt.

    An attempt that may have started and whose outcome is unknown is never followed by another one. A definite failure
   is followed by another attempt only when the caller opted in (REPEAT_AFTER_FAILURE) and no rule forbids it. An
   attempt that provably did not start may be repeated under every policy. Attempts beyond the first draw on a budget
   that grows with successes, so that retries cannot multiply the load of a failing fleet.
*/
class RetryPolicy {
public:
    struct Settings {
        std::uint32_t maximumAttempts { 4 };
        /** Retries allowed per success, 0 to 1. */
        double budgetPerSuccess { 0.1 };
        /** Retries that are always available, as a reserve when few tasks run. */
        double initialBudget { 20 };
        Duration firstBackoff { std::chrono::milliseconds(2) };
        Duration maximumBackoff { std::chrono::milliseconds(200) };
    };

    struct Decision {
        bool mayRetry { false };
        /** Wait before the next attempt; jittered. */
        Duration backoff { 0 };
        /** When no retry is allowed: the failure to report for the task. */
        Failure failure;
    };

    RetryPolicy(Settings settings, RandomSource& random);

    /** Counts a success, which refills the budget. */
    void recordSuccess();

    /** Decides after attempt number @p attempt ended with @p use. @pre use is neither Succeeded nor Unused */
    Decision decide(SlotUse use, protocol::RepeatPolicy repeat, bool isNeverRepeated, AttemptNumber attempt);

    /** Retries that the budget still allows. */
    double budget() const { return m_budget; }

private:
    Duration backoffAfter(AttemptNumber attempt);

    Settings m_settings;
    RandomSource& m_random;
    double m_budget;
};

}
