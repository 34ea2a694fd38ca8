#include "rattanroad_routing/slots/OpenDemands.h"

namespace rattanroad {

std::uint32_t OpenDemand::outstanding() const
{
    std::uint32_t sum = 0;
    for (const auto& [number, request] : requests)
        sum += request.outstanding();
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
    removeFromQueue(found->second);
    m_demands.erase(found);
}

void OpenDemands::setWanted(OpenDemand& demand, std::uint32_t wanted)
{
    if (wanted == 0)
        removeFromQueue(demand);
    else
        m_waiting[purposeOf(demand.work)].insert(sortKey(demand));
    demand.wanted = wanted;
    m_changed.insert(demand.id);
}

OpenDemands::SortKey OpenDemands::sortKey(const OpenDemand& demand)
{
    return { -static_cast<std::int64_t>(demand.work.priority), demand.work.arrivedAt, demand.id };
}

void OpenDemands::removeFromQueue(const OpenDemand& demand)
{
    const auto queue = m_waiting.find(purposeOf(demand.work));
    if (queue == m_waiting.end())
        return;
    queue->second.erase(sortKey(demand));
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

SlotRequest& OpenDemands::addRequest(OpenDemand& demand, const HostId& keeper, std::uint32_t count)
{
    const auto number = m_nextRequest++;
    auto& request = demand.requests[number];
    request.number = number;
    request.demand = demand.id;
    request.keeper = keeper;
    request.count = count;
    m_requestOwner.emplace(number, demand.id);
    m_byDueTime.emplace(request.dueAt, number);
    return request;
}

SlotRequest* OpenDemands::findRequest(std::uint64_t number)
{
    const auto owner = m_requestOwner.find(number);
    return owner == m_requestOwner.end() ? nullptr : &find(owner->second)->requests.at(number);
}

void OpenDemands::eraseRequest(SlotRequest& request)
{
    const auto number = request.number;
    auto& demand = *find(request.demand);
    m_byDueTime.erase({ request.dueAt, number });
    m_requestOwner.erase(number);
    demand.requests.erase(number);
    m_changed.insert(demand.id);
}

void OpenDemands::setDueTime(SlotRequest& request, TimePoint dueAt)
{
    m_byDueTime.erase({ request.dueAt, request.number });
    request.dueAt = dueAt;
    m_byDueTime.emplace(dueAt, request.number);
}

SlotRequest* OpenDemands::firstDue(TimePoint now)
{
    return m_byDueTime.empty() || m_byDueTime.begin()->first > now ? nullptr : findRequest(m_byDueTime.begin()->second);
}

std::optional<TimePoint> OpenDemands::firstDueTime() const
{
    if (m_byDueTime.empty())
        return std::nullopt;
    return m_byDueTime.begin()->first;
}

std::vector<std::uint64_t> OpenDemands::requestsWhere(const std::function<bool(const SlotRequest&)>& matches) const
{
    std::vector<std::uint64_t> numbers;
    for (const auto& [id, demand] : m_demands) {
        for (const auto& [number, request] : demand.requests) {
            if (matches(request))
                numbers.push_back(number);
        }
    }
    return numbers;
}

}
