#include "rattanroad_routing/slots/DemandTable.h"

namespace rattanroad {

DemandTable::DemandTable(const Clock& clock, TargetPool& pool, TeamQuota& quota, Duration endedRetention)
    : m_clock(clock)
    , m_pool(pool)
    , m_quota(quota)
    , m_endedRetention(endedRetention)
{
}

Demand* DemandTable::update(const DemandKey& key, const protocol::SlotDemand& message)
{
    if (m_ended.count(key))
        return nullptr;
    const auto known = m_demands.find(key);
    if (known != m_demands.end()) {
        auto& demand = known->second;
        if (message.count() <= demand.granted) {
            remove(demand);
            return nullptr;
        }
        demand.workClass->queue.setWanted(demand, message.count() - demand.granted);
        return &demand;
    }
    if (message.count() == 0) {
        // The withdrawal overtook the demand, which must be ignored when it arrives.
        rememberEnded(key);
        return nullptr;
    }
    const Resources needs { message.cores(), MebibyteCount(message.memory_mb()), message.accelerators() };
    auto& demand = m_demands[key];
    demand.key = key;
    demand.workClass = &m_pool.workClass(WorkKind(message.kind()), needs);
    demand.team = &m_quota.account(TeamId(message.team()));
    demand.priority = message.priority();
    demand.wanted = message.count();
    demand.receivedAt = m_clock.now();
    demand.jobArrivedAt = demand.receivedAt - std::chrono::milliseconds(message.age_ms());
    demand.sequence = m_nextSequence++;
    demand.declared = std::chrono::milliseconds(message.declared_ms());
    for (const auto& target : message.excluded_targets())
        demand.excluded.insert(TargetId(target));
    demand.workClass->queue.insert(demand);
    m_quota.demandAdded(*demand.team);
    return &demand;
}

Demand* DemandTable::find(const DemandKey& key)
{
    const auto found = m_demands.find(key);
    return found == m_demands.end() ? nullptr : &found->second;
}

void DemandTable::withdrawAll(const HostId& host)
{
    for (auto* demand : select([&](const Demand& each) { return each.key.host == host; }))
        remove(*demand);
}

void DemandTable::remove(Demand& demand)
{
    const auto key = demand.key;
    demand.workClass->queue.erase(demand);
    TeamQuota::demandRemoved(*demand.team);
    m_demands.erase(key);
    rememberEnded(key);
}

void DemandTable::countGrant(Demand& demand)
{
    demand.granted += 1;
    demand.isAnswered = true;
    if (demand.wanted == 1) {
        remove(demand);
        return;
    }
    demand.workClass->queue.setWanted(demand, demand.wanted - 1);
}

void DemandTable::rememberEnded(const DemandKey& key)
{
    if (m_ended.insert(key).second)
        m_endedByTime.emplace_back(m_clock.now(), key);
}

void DemandTable::tick()
{
    while (!m_endedByTime.empty() && m_endedByTime.front().first + m_endedRetention <= m_clock.now()) {
        m_ended.erase(m_endedByTime.front().second);
        m_endedByTime.pop_front();
    }
}

}
