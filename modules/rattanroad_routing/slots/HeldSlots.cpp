#include "rattanroad_routing/slots/HeldSlots.h"

namespace rattanroad {

HeldSlot* HeldSlots::find(const Key& key)
{
    const auto found = m_slots.find(key);
    return found == m_slots.end() ? nullptr : &found->second;
}

HeldSlot* HeldSlots::findAtKeeper(const HostId& keeper, LeaseId lease)
{
    auto* const lent = find({ keeper, lease });
    if (lent)
        return lent->keeper == keeper ? lent : nullptr;
    for (auto& [key, held] : m_slots) {
        if (key.second == lease && held.keeper == keeper)
            return &held;
    }
    return nullptr;
}

void HeldSlots::remove(const Key& key, TimePoint until)
{
    m_slots.erase(key);
    if (m_ended.insert(key).second)
        m_endedByTime.emplace_back(until, key);
}

std::vector<HeldSlot*> HeldSlots::onTarget(const TargetId& target)
{
    std::vector<HeldSlot*> found;
    for (auto& [key, held] : m_slots) {
        if (held.slot.target == target)
            found.push_back(&held);
    }
    return found;
}

std::vector<HeldSlot*> HeldSlots::all()
{
    std::vector<HeldSlot*> found;
    for (auto& [key, held] : m_slots)
        found.push_back(&held);
    return found;
}

void HeldSlots::tick(TimePoint now)
{
    while (!m_endedByTime.empty() && m_endedByTime.front().first <= now) {
        m_ended.erase(m_endedByTime.front().second);
        m_endedByTime.pop_front();
    }
}

}
