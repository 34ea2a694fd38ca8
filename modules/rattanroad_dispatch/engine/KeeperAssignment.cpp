#include "rattanroad_dispatch/engine/KeeperAssignment.h"

namespace rattanroad {

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
    std::vector<TargetId> kept;
    for (const auto& target : inventory.parts().targets) {
        if (target.failureDomain != self.failureDomain)
            continue;
        if (rendezvousOrder(target.id.value(), hosts).front() == self.host)
            kept.push_back(target.id);
    }
    return kept;
}

}
