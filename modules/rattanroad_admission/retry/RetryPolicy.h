#pragma once

#include "rattanroad_core/random/RandomSource.h"
#include "rattanroad_core/time/Clock.h"
#include "rattanroad_protocol/rattanroad_protocol.h"
#include "rattanroad_routing/slots/SlotTypes.h"

#include <memory>

namespace rattanroad {

/** Decides whether a task is retried after an attempt.

    An attempt that may have started and whose outcome is unknown is never retried. An attempt that ran and failed is
    retried only when the caller opted in (REPEAT_AFTER_FAILURE) and no rule forbids it. An attempt that provably did
    not start may be retried under every policy. Each retry takes one from a budget that grows with successes, so that
    retries cannot multiply the load on a failing fleet.
*/
class RetryPolicy {
public:
    struct Settings {
        std::uint32_t maximumAttempts { 4 };
        /** Retries that each success adds to the budget, 0 to 1. */
        double budgetPerSuccess { 0.1 };
        /** Retries in the budget at the start, a reserve while few tasks have succeeded. */
        double initialBudget { 20 };
        Duration firstBackoff { std::chrono::milliseconds(2) };
        Duration maximumBackoff { std::chrono::milliseconds(200) };
    };

    struct Decision {
        bool mayRetry { false };
        /** Delay before the next attempt, with jitter. */
        Duration backoff { 0 };
        /** Failure of the attempt, to be reported for the task when no retry is allowed. */
        Failure failure;
    };

    RetryPolicy(Settings settings, RandomSource& random);

    /** Records a success, which adds to the budget. */
    void recordSuccess();

    /** Decides about a retry after attempt number @p attempt has ended with @p use.
        @param isNeverRepeated whether a rule forbids repeating a failed task of this kind
        @pre @p use is neither Succeeded nor Unused
    */
    Decision decide(SlotUse use, protocol::RepeatPolicy repeat, bool isNeverRepeated, AttemptNumber attempt);

    /** Returns the number of retries left in the budget. */
    double budget() const { return m_budget; }

private:
    Duration backoffAfter(AttemptNumber attempt);

    Settings m_settings;
    RandomSource& m_random;
    double m_budget;
};

}
