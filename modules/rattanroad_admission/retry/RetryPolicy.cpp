#include "rattanroad_admission/retry/RetryPolicy.h"

#include <algorithm>
#include <cassert>

namespace rattanroad {

namespace {

    // Maximum budget as a multiple of the initial one, so that a long time without failures does not accumulate the
    // budget for a retry storm.
    constexpr double maximumBudgetFactor = 10;

    Failure failureOf(SlotUse use)
    {
        switch (use) {
        case SlotUse::Rejected:
            return { FailureCode::TargetUnreachable, RunState::NotRun,
                "the target rejected the task before running it" };
        case SlotUse::Unreachable:
            return { FailureCode::TargetUnreachable, RunState::NotRun, "no connection to the target could be opened" };
        case SlotUse::Failed:
            return { FailureCode::TaskFailed, RunState::RanAndFailed, "the target reported a failure" };
        default:
            return { FailureCode::OutcomeUnknown, RunState::OutcomeUnknown,
                "the task was sent to a target that gave no answer" };
        }
    }

    bool isRepeatable(SlotUse use, protocol::RepeatPolicy repeat, bool isNeverRepeated)
    {
        // The attempt provably did not start, so a retry cannot execute the task a second time.
        if (use == SlotUse::Rejected || use == SlotUse::Unreachable)
            return true;
        return use == SlotUse::Failed && repeat == protocol::REPEAT_AFTER_FAILURE && !isNeverRepeated;
    }

}

RetryPolicy::RetryPolicy(Settings settings, RandomSource& random)
    : m_settings(settings)
    , m_random(random)
    , m_budget(settings.initialBudget)
{
}

void RetryPolicy::recordSuccess()
{
    const double maximumBudget = std::max(m_settings.initialBudget, 1.0) * maximumBudgetFactor;
    m_budget = std::max(m_budget, std::min(m_budget + m_settings.budgetPerSuccess, maximumBudget));
}

RetryPolicy::Decision RetryPolicy::decide(
    SlotUse use, protocol::RepeatPolicy repeat, bool isNeverRepeated, AttemptNumber attempt)
{
    assert(use != SlotUse::Succeeded && use != SlotUse::Unused);
    Decision decision;
    decision.failure = failureOf(use);
    if (!isRepeatable(use, repeat, isNeverRepeated))
        return decision;
    if (attempt.value() >= m_settings.maximumAttempts) {
        decision.failure.detail += "; no attempts are left";
        return decision;
    }
    if (m_budget < 1) {
        decision.failure.detail += "; the retry budget is used up";
        return decision;
    }
    m_budget -= 1;
    decision.mayRetry = true;
    decision.backoff = backoffAfter(attempt);
    return decision;
}

Duration RetryPolicy::backoffAfter(AttemptNumber attempt)
{
    // The bound keeps the shift from overflowing; the maximum backoff is reached long before it.
    const auto doublings = std::min<std::uint32_t>(attempt.value() > 0 ? attempt.value() - 1 : 0, 20);
    const auto fullBackoff = std::min(m_settings.firstBackoff * (1 << doublings), m_settings.maximumBackoff);
    // Between half and all of the backoff, so that tasks that failed together are not retried together.
    return std::chrono::duration_cast<Duration>(fullBackoff * (0.5 + 0.5 * m_random.uniform()));
}

}
