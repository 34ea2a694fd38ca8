#pragma once

#include "rattanroad_inventory/inventory/Inventory.h"
#include "rattanroad_membership/membership/MemberTable.h"

#include <vector>

namespace rattanroad {

/** Decides which targets an entry host keeps: each target has one keeper among the live entry hosts of its failure
   domain, by rendezvous hashing, so that a host that comes or goes moves only its own share.
*/
class KeeperAssignment {
public:
    /** Returns the hosts of @p failureDomain that may keep targets: live and not draining, or all when all are
     * draining. */
    static std::vector<HostId> keepers(const FailureDomainId& failureDomain, const std::vector<Member>& members);

    /** Returns the targets of @p self's failure domain that @p self keeps. */
    static std::vector<TargetId> keptTargets(
        const Inventory& inventory, const Member& self, const std::vector<Member>& members);
};

}
