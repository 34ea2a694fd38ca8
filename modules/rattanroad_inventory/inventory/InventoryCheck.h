#pragma once

#include "rattanroad_inventory/inventory/Inventory.h"
#include "rattanroad_inventory/inventory/InventoryFaults.h"

#include <string>
#include <unordered_map>

namespace rattanroad {

/** Checks the values of an inventory and the references between its parts, and completes each target with the failure
    domain and rack of its worker.
*/
class InventoryCheck {
public:
    /** Both arguments must outlive the check. */
    InventoryCheck(Inventory::Parts& parts, InventoryFaults& faults);

    /** Runs all checks; faults are added to the list given to the constructor. */
    void run();

private:
    void checkFailureDomains();
    void checkWorkers();
    void checkTargets();
    void checkTarget(Target& target, const std::string& place);
    void checkTeams();
    void checkRules();
    void checkEntryHosts();
    void checkPlaces(const PlaceSet& places, const std::string& place);
    void checkRuleLeavesTarget(const Rule& rule, const std::string& place);
    void checkFailureDomainExists(const FailureDomainId& id, const std::string& place);

    Inventory::Parts& m_parts;
    InventoryFaults& m_faults;
    std::unordered_map<FailureDomainId, const FailureDomain*> m_failureDomains;
    std::unordered_map<WorkerId, const Worker*> m_workers;
    std::unordered_map<TargetId, const Target*> m_targets;
    std::set<RackId> m_racks;
};

}
