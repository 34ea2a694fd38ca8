#include "rattanroad_routing/slots/GrantMatcher.h"

#include <algorithm>

namespace rattanroad {

namespace {

    // Demands passed over per class and round, because they exclude the free targets, before the round moves on.
    constexpr std::uint32_t maximumSkipped = 64;

    double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}

GrantMatcher::GrantMatcher(const Clock& clock, TargetPool& pool, const SpeedModel& speed)
    : m_clock(clock)
    , m_pool(pool)
    , m_speed(speed)
{
}

void GrantMatcher::beginRound()
{
    ++m_round;
    m_candidates.clear();
    m_waitingUntil = TimePoint::max();
    for (const auto& [key, workClass] : m_pool.classes()) {
        if (workClass->queue.waitingSlots() > 0 && !workClass->freeTargets.empty())
            m_candidates.push_back({ workClass.get(), 0 });
    }
}

std::optional<GrantMatcher::Match> GrantMatcher::next()
{
    Demand* demand = nullptr;
    while (auto* const candidate = best(demand)) {
        bool isWaiting = false;
        if (auto* const target = choose(*demand, isWaiting))
            return Match { demand, target };
        demand->skippedInRound = m_round;
        // Demands behind one that waits for a faster target would have to wait even longer.
        candidate->skipped = isWaiting ? maximumSkipped : candidate->skipped + 1;
    }
    return std::nullopt;
}

GrantMatcher::Candidate* GrantMatcher::best(Demand*& demand)
{
    Candidate* best = nullptr;
    for (auto& candidate : m_candidates) {
        if (candidate.skipped >= maximumSkipped || candidate.workClass->freeTargets.empty())
            continue;
        Demand* const head = candidate.workClass->queue.next(m_round);
        if (!head || (best && !DemandQueue::isBefore(*head, *demand)))
            continue;
        best = &candidate;
        demand = head;
    }
    return best;
}

KeptTarget* GrantMatcher::choose(const Demand& demand, bool& isWaiting)
{
    for (const auto& place : demand.workClass->freeTargets) {
        if (demand.excluded.count(place.target->contract.id))
            continue;
        isWaiting = isWorthWaiting(demand, *place.target);
        return isWaiting ? nullptr : place.target;
    }
    return nullptr;
}

bool GrantMatcher::isWorthWaiting(const Demand& demand, const KeptTarget& slow)
{
    auto& workClass = *demand.workClass;
    m_pool.updateFast(workClass);
    const double score = std::max(m_pool.score(slow, workClass), 1e-3);
    if (slow.health.isEjected() || workClass.fastSlots == 0 || score >= slowShare * workClass.fastScore)
        return false;
    const double run = seconds(m_speed.expectedRunTime(workClass.kind, demand.declared));
    const double saved = run / score - run / workClass.fastScore;
    const double wait = static_cast<double>(workClass.queue.waitingSlots())
        * seconds(m_speed.meanRunTime(workClass.kind)) / workClass.fastSlots;
    if (wait >= saved)
        return false;
    // Waiting no longer than the time that can be saved bounds the loss when the expectation was wrong.
    const auto until = demand.receivedAt + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(saved));
    if (m_clock.now() >= until)
        return false;
    m_waitingUntil = std::min(m_waitingUntil, until);
    return true;
}

}
