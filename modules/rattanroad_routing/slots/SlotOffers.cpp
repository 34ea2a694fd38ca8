#include "rattanroad_routing/slots/SlotOffers.h"

namespace rattanroad {

SlotOffers::SlotOffers(TargetPool& pool, const SpeedModel& speed)
    : m_pool(pool)
    , m_speed(speed)
{
}

protocol::FreeSlots SlotOffers::offer(const WorkKind& kind) const
{
    auto& workClass = m_pool.workClass(kind, {});
    m_pool.updateFastTargets(workClass);
    std::uint64_t free = 0;
    std::uint64_t total = 0;
    for (const auto* target : workClass.eligible) {
        if (target->isLeaving() || target->isReserved() || target->health.isEjected())
            continue;
        total += target->limit.limit();
        if (m_pool.score(*target, workClass) >= stragglerSpeedShare * workClass.fastTargetScore)
            free += target->free();
    }
    const auto waiting = waitingSlots(kind);
    protocol::FreeSlots offer;
    offer.set_kind(kind.value());
    offer.set_free(static_cast<std::uint32_t>(free > waiting ? free - waiting : 0));
    offer.set_total(static_cast<std::uint32_t>(total));
    if (offer.free() > 0 || total == 0)
        return offer;
    const auto ahead = static_cast<std::int64_t>(waiting - free + 1);
    const auto wait = m_speed.meanRunTime(kind) * ahead / static_cast<std::int64_t>(total);
    // Rounded up, as a wait of 0 would mean a free slot.
    const auto milliseconds
        = std::chrono::duration_cast<std::chrono::milliseconds>(wait) + std::chrono::milliseconds(1);
    offer.set_expected_wait_ms(static_cast<std::uint32_t>(milliseconds.count()));
    return offer;
}

std::vector<protocol::FreeSlots> SlotOffers::all() const
{
    std::set<WorkKind> kinds;
    for (const auto& [id, target] : m_pool.targets())
        kinds.insert(target->definition.kinds.begin(), target->definition.kinds.end());
    std::vector<protocol::FreeSlots> offers;
    offers.reserve(kinds.size());
    for (const auto& kind : kinds)
        offers.push_back(offer(kind));
    return offers;
}

std::uint64_t SlotOffers::waitingSlots(const WorkKind& kind) const
{
    std::uint64_t waiting = 0;
    for (const auto& [key, workClass] : m_pool.classes()) {
        if (workClass->kind == kind)
            waiting += workClass->queue.waitingSlots();
    }
    return waiting;
}

}
