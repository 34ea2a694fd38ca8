#include "rattanroad_shards/scheduling/Admission.h"

#include <algorithm>

namespace rattanroad::shards {

namespace {
    /** Wait when there is no capacity. */
    constexpr std::chrono::milliseconds unbounded { 60000 };
}

std::chrono::milliseconds Admission::expectedWait(const Figures& figures) const
{
    const auto waitFor = [](std::uint64_t work, double rate) {
        if (work == 0)
            return std::chrono::milliseconds(0);
        const double wait = rate > 0 ? static_cast<double>(work) / rate : static_cast<double>(unbounded.count());
        return std::min(unbounded, std::chrono::milliseconds(static_cast<std::int64_t>(std::min(wait, 1e9))));
    };
    const double share = m_settings.guaranteedShare * figures.rate;
    const double left
        = figures.rate - figures.higherPriorityRate - share * static_cast<double>(figures.lowerPriorities);
    const auto byPriority = waitFor(figures.workBefore, std::max(left, share));
    const auto byShare = waitFor(figures.workOfPriority, share);
    // Work of higher priorities is absent from the second only if it is present in the first.
    return figures.workBefore == figures.workOfPriority ? byPriority : std::min(byPriority, byShare);
}

Admission::Decision Admission::decide(const Request& request, const Figures& figures, TimePoint now) const
{
    Decision decision;
    if (request.isStored) {
        Figures stored = figures;
        stored.workBefore += figures.lateStoredWork;
        stored.workOfPriority += figures.lateStoredWork;
        decision.wait = expectedWait(stored);
        decision.maximumWait = std::chrono::milliseconds(
            static_cast<std::int64_t>(static_cast<double>(request.objective.count()) * m_settings.storedWaitFactor));
    } else {
        decision.wait = expectedWait(figures);
        const std::chrono::milliseconds runTime(
            static_cast<std::int64_t>(static_cast<double>(request.runTime.count()) * m_settings.runTimeMargin));
        const auto slack = std::chrono::duration_cast<std::chrono::milliseconds>(request.softDeadline - now) - runTime;
        decision.maximumWait = std::max(slack, std::chrono::milliseconds(0));
    }
    decision.isAccepted = decision.wait <= decision.maximumWait;
    if (!decision.isAccepted)
        decision.retryAfter = std::max(m_settings.minimumRetryAfter, decision.wait - decision.maximumWait);
    return decision;
}

}
