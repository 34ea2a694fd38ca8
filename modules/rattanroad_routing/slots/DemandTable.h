#pragma once

#include "rattanroad_core/time/Clock.h"
#include "rattanroad_protocol/rattanroad_protocol.h"
#include "rattanroad_routing/quota/TeamQuota.h"
#include "rattanroad_routing/slots/DemandQueue.h"
#include "rattanroad_routing/slots/TargetPool.h"

#include <deque>
#include <map>
#include <set>
#include <vector>

namespace rattanroad {

/** The demands that are queued at a keeper, by key.

    Duplicated and reordered messages are harmless: the count in a message is the total since the demand began, and the
    keys of ended demands are remembered for a retention time.
*/
class DemandTable {
public:
    DemandTable(const Clock& clock, TargetPool& pool, TeamQuota& quota, Duration endedRetention);

    /** Adds a demand or updates its count. Returns null when the demand is not queued afterwards. */
    Demand* update(const DemandKey& key, const protocol::SlotDemand& message);
    Demand* find(const DemandKey& key);
    void withdrawAll(const HostId& host);
    /** Removes a demand and remembers its key, so that late duplicates do not add it again. */
    void remove(Demand& demand);
    /** Counts one granted slot; the demand is removed when it wants no more. */
    void countGrant(Demand& demand);

    /** Returns all demands for which @p matches holds, in the order of their keys. */
    template <typename Predicate> std::vector<Demand*> select(Predicate matches)
    {
        std::vector<Demand*> selected;
        for (auto& [key, demand] : m_demands) {
            if (matches(demand))
                selected.push_back(&demand);
        }
        return selected;
    }

    /** Forgets the keys of ended demands whose retention time has passed. */
    void tick();
    std::size_t size() const { return m_demands.size(); }

private:
    void rememberEnded(const DemandKey& key);

    const Clock& m_clock;
    TargetPool& m_pool;
    TeamQuota& m_quota;
    const Duration m_endedRetention;
    std::map<DemandKey, Demand> m_demands;
    std::set<DemandKey> m_ended;
    std::deque<std::pair<TimePoint, DemandKey>> m_endedByTime;
    std::uint64_t m_nextSequence { 1 };
};

}
