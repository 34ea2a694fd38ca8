#include "rattanroad_dispatch/engine/KeeperAssignment.h"

#include <set>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace rattanroad {

namespace {

    // A keeper decides best when it sees many targets. A domain of the planned size (93 targets) fits into one pool;
    // the bound keeps the grants of one keeper at the planned rate below about 6000 a second.
    constexpr std::size_t targetsPerPool = 128;

    std::string poolOf(const TargetId& target, const std::vector<std::string>& pools)
    {
        return pools[XXH64(target.value().data(), target.value().size(), 0) % pools.size()];
    }

}

std::vector<HostId> KeeperAssignment::keepers(const FailureDomainId& failureDomain, const std::vector<Member>& members)
{
    std::vector<HostId> staying;
    std::vector<HostId> all;
    for (const auto& member : members) {
        if (member.failureDomain != failureDomain)
            continue;
        all.push_back(member.host);
        if (!member.isDraining)
            staying.push_back(member.host);
    }
    return staying.empty() ? all : staying;
}

std::vector<TargetId> KeeperAssignment::keptTargets(
    const Inventory& inventory, const Member& self, const std::vector<Member>& members)
{
    const auto hosts = keepers(self.failureDomain, members);
    std::vector<TargetId> candidates;
    for (const auto& target : inventory.parts().targets) {
        if (target.failureDomain == self.failureDomain)
            candidates.push_back(target.id);
    }
    const auto poolCount = (candidates.size() + targetsPerPool - 1) / targetsPerPool;
    std::vector<std::string> pools;
    for (std::size_t pool = 0; pool < poolCount; ++pool)
        pools.push_back(self.failureDomain.value() + "/" + std::to_string(pool));
    std::set<std::string> keptPools;
    for (const auto& pool : pools) {
        if (rendezvousOrder(pool, hosts).front() == self.host)
            keptPools.insert(pool);
    }
    std::vector<TargetId> kept;
    for (const auto& target : candidates) {
        if (keptPools.count(poolOf(target, pools)))
            kept.push_back(target);
    }
    return kept;
}

}
