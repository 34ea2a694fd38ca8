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

/** All demands that wait at a keeper, by identity. Duplicated and reordered messages have no further effect: the count
    of a message is the total since the demand began, and the identities of ended demands are remembered for a while.
*/
class DemandBook {
public:
    DemandBook(const Clock& clock, TargetPool& pool, TeamQuota& quota, Duration memory);

    /** Enters a new demand or changes the count of a known one. Returns null when nothing waits afterwards. */
    Demand* update(const DemandKey& key, const protocol::SlotDemand& message);
    Demand* find(const DemandKey& key);
    void withdrawAll(const HostId& host);
    /** Removes a demand and remembers that it ended. */
    void end(Demand& demand);
    /** Counts one slot granted; the demand is removed when it has all it wants. */
    void countGrant(Demand& demand);

    /** Returns all demands for which @p isWanted holds, in the order of their keys. */
    template <typename Predicate> std::vector<Demand*> select(Predicate isWanted)
    {
        std::vector<Demand*> selected;
        for (auto& [key, demand] : m_demands) {
            if (isWanted(demand))
                selected.push_back(&demand);
        }
        return selected;
    }

    /** Drops memories of ended demands that are older than the time given at construction. */
    void tick();
    std::size_t size() const { return m_demands.size(); }

private:
    void remember(const DemandKey& key);

    const Clock& m_clock;
    TargetPool& m_pool;
    TeamQuota& m_quota;
    const Duration m_memory;
    std::map<DemandKey, Demand> m_demands;
    std::set<DemandKey> m_ended;
    std::deque<std::pair<TimePoint, DemandKey>> m_endedByTime;
    std::uint64_t m_nextSequence { 1 };
};

}
