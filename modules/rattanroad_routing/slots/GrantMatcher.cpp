#include "rattanroad_routing/slots/GrantMatcher.h"

#include <algorithm>

namespace rattanroad {

namespace {

    // A round stops serving a class after skipping this many of its demands because they exclude the free targets.
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
    while (auto* const candidate = nextCandidate(demand)) {
        bool isWaiting = false;
        if (auto* const target = chooseTarget(*demand, isWaiting))
            return Match { demand, target };
        demand->skippedInRound = m_round;
        // When this demand waits for a faster target, the demands behind it have to wait even longer for one, so the
        // rest of the class is skipped.
        candidate->skipped = isWaiting ? maximumSkipped : candidate->skipped + 1;
    }
    return std::nullopt;
}

GrantMatcher::Candidate* GrantMatcher::nextCandidate(Demand*& demand)
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

KeptTarget* GrantMatcher::chooseTarget(const Demand& demand, bool& isWaiting)
{
    for (const auto& entry : demand.workClass->freeTargets) {
        if (demand.excluded.count(entry.target->definition.id))
            continue;
        isWaiting = isWorthWaiting(demand, *entry.target);
        return isWaiting ? nullptr : entry.target;
    }
    return nullptr;
}

bool GrantMatcher::isWorthWaiting(const Demand& demand, const KeptTarget& slowTarget)
{
    auto& workClass = *demand.workClass;
    m_pool.updateFastTargets(workClass);
    const double score = std::max(m_pool.score(slowTarget, workClass), 1e-3);
    if (slowTarget.health.isEjected() || workClass.fastTargetSlots == 0
        || score >= stragglerSpeedShare * workClass.fastTargetScore)
        return false;
    const double run = seconds(m_speed.expectedRunTime(workClass.kind, demand.declared));
    const double saved = run / score - run / workClass.fastTargetScore;
    const double wait = static_cast<double>(workClass.queue.waitingSlots())
        * seconds(m_speed.meanRunTime(workClass.kind)) / workClass.fastTargetSlots;
    if (wait >= saved)
        return false;
    // Waits at most as long as the time saved, which bounds the loss when the estimates are wrong.
    const auto until = demand.receivedAt + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(saved));
    if (m_clock.now() >= until)
        return false;
    m_waitingUntil = std::min(m_waitingUntil, until);
    return true;
}

}
