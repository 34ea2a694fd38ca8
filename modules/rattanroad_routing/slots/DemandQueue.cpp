#include "rattanroad_routing/slots/DemandQueue.h"

#include <algorithm>

namespace rattanroad {

void DemandQueue::insert(Demand& demand)
{
    m_levels[demand.priority][demand.team].insert(&demand);
    m_waitingSlots += demand.wanted;
}

void DemandQueue::erase(Demand& demand)
{
    const auto level = m_levels.find(demand.priority);
    if (level == m_levels.end())
        return;
    const auto queue = level->second.find(demand.team);
    if (queue == level->second.end() || queue->second.erase(&demand) == 0)
        return;
    m_waitingSlots -= demand.wanted;
    if (queue->second.empty())
        level->second.erase(queue);
    if (level->second.empty())
        m_levels.erase(level);
}

void DemandQueue::setWanted(Demand& demand, std::uint32_t wanted)
{
    m_waitingSlots -= demand.wanted;
    m_waitingSlots += wanted;
    demand.wanted = wanted;
}

Demand* DemandQueue::next(std::uint64_t round) const
{
    for (const auto& [priority, teams] : m_levels) {
        Demand* best = nullptr;
        for (const auto& [team, queue] : teams) {
            if (team->isExhausted())
                continue;
            const auto head = std::find_if(
                queue.begin(), queue.end(), [&](const Demand* demand) { return demand->skippedInRound != round; });
            if (head != queue.end() && (!best || isBefore(**head, *best)))
                best = *head;
        }
        if (best)
            return best;
    }
    return nullptr;
}

bool DemandQueue::hasWaiting(const std::function<bool(const Demand&)>& isCompeting) const
{
    for (const auto& [priority, teams] : m_levels) {
        for (const auto& [team, queue] : teams) {
            if (!team->isExhausted() && isCompeting(**queue.begin()))
                return true;
        }
    }
    return false;
}

bool DemandQueue::isBefore(const Demand& left, const Demand& right)
{
    if (left.priority != right.priority)
        return left.priority > right.priority;
    if (left.team != right.team && left.team->virtualTime != right.team->virtualTime)
        return left.team->virtualTime < right.team->virtualTime;
    return ByAge()(&left, &right);
}

}
