#include "rattanroad_routing/slots/OpenDemands.h"

namespace rattanroad {

std::uint32_t OpenDemand::outstanding() const
{
    std::uint32_t sum = 0;
    for (const auto& [number, ask] : asks)
        sum += ask.outstanding();
    return sum;
}

SlotPurpose purposeOf(const WorkDemand& work)
{
    return { work.kind, work.team, work.needs.cores, work.needs.memory, work.needs.accelerators };
}

OpenDemand& OpenDemands::add(const WorkDemand& work)
{
    const DemandId id(m_nextDemand++);
    auto& demand = m_demands[id];
    demand.id = id;
    demand.work = work;
    setWanted(demand, work.count);
    return demand;
}

OpenDemand* OpenDemands::find(DemandId id)
{
    const auto found = m_demands.find(id);
    return found == m_demands.end() ? nullptr : &found->second;
}

const OpenDemand* OpenDemands::find(DemandId id) const
{
    const auto found = m_demands.find(id);
    return found == m_demands.end() ? nullptr : &found->second;
}

std::size_t OpenDemands::openCount() const
{
    std::size_t count = 0;
    for (const auto& [purpose, queue] : m_waiting)
        count += queue.size();
    return count;
}

void OpenDemands::erase(DemandId id)
{
    const auto found = m_demands.find(id);
    if (found == m_demands.end())
        return;
    unqueue(found->second);
    m_demands.erase(found);
}

void OpenDemands::setWanted(OpenDemand& demand, std::uint32_t wanted)
{
    if (wanted == 0)
        unqueue(demand);
    else
        m_waiting[purposeOf(demand.work)].insert(orderOf(demand));
    demand.wanted = wanted;
    m_changed.insert(demand.id);
}

OpenDemands::Order OpenDemands::orderOf(const OpenDemand& demand)
{
    return { -static_cast<std::int64_t>(demand.work.priority), demand.work.arrivedAt, demand.id };
}

void OpenDemands::unqueue(const OpenDemand& demand)
{
    const auto queue = m_waiting.find(purposeOf(demand.work));
    if (queue == m_waiting.end())
        return;
    queue->second.erase(orderOf(demand));
    if (queue->second.empty())
        m_waiting.erase(queue);
}

OpenDemand* OpenDemands::nextFor(const SlotPurpose& purpose, const TargetId& target)
{
    const auto queue = m_waiting.find(purpose);
    if (queue == m_waiting.end())
        return nullptr;
    for (const auto& order : queue->second) {
        auto* const demand = find(std::get<DemandId>(order));
        if (!demand->work.excludedTargets.count(target))
            return demand;
    }
    return nullptr;
}

Ask& OpenDemands::addAsk(OpenDemand& demand, const HostId& keeper, std::uint32_t count)
{
    const auto number = m_nextAsk++;
    auto& ask = demand.asks[number];
    ask.number = number;
    ask.demand = demand.id;
    ask.keeper = keeper;
    ask.count = count;
    m_askOwner.emplace(number, demand.id);
    m_due.emplace(ask.dueAt, number);
    return ask;
}

Ask* OpenDemands::findAsk(std::uint64_t number)
{
    const auto owner = m_askOwner.find(number);
    return owner == m_askOwner.end() ? nullptr : &find(owner->second)->asks.at(number);
}

void OpenDemands::eraseAsk(Ask& ask)
{
    const auto number = ask.number;
    auto& demand = *find(ask.demand);
    m_due.erase({ ask.dueAt, number });
    m_askOwner.erase(number);
    demand.asks.erase(number);
    m_changed.insert(demand.id);
}

void OpenDemands::setDue(Ask& ask, TimePoint dueAt)
{
    m_due.erase({ ask.dueAt, ask.number });
    ask.dueAt = dueAt;
    m_due.emplace(dueAt, ask.number);
}

Ask* OpenDemands::firstDue(TimePoint now)
{
    return m_due.empty() || m_due.begin()->first > now ? nullptr : findAsk(m_due.begin()->second);
}

std::optional<TimePoint> OpenDemands::firstDueTime() const
{
    if (m_due.empty())
        return std::nullopt;
    return m_due.begin()->first;
}

std::vector<std::uint64_t> OpenDemands::asksWhere(const std::function<bool(const Ask&)>& isWanted) const
{
    std::vector<std::uint64_t> numbers;
    for (const auto& [id, demand] : m_demands) {
        for (const auto& [number, ask] : demand.asks) {
            if (isWanted(ask))
                numbers.push_back(number);
        }
    }
    return numbers;
}

}
