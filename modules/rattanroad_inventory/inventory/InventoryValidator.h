#pragma once

#include "rattanroad_inventory/inventory/Inventory.h"
#include "rattanroad_inventory/inventory/ValidationErrors.h"

#include <string>
#include <unordered_map>

namespace rattanroad {

/** Validates the values of an inventory and the references between its parts, and sets the failure domain and rack of
    each target to those of its worker.
*/
class InventoryValidator {
public:
    /** Both arguments must outlive the validator. */
    InventoryValidator(Inventory::Parts& parts, ValidationErrors& errors);

    /** Runs all checks. Errors are added to the collection passed to the constructor. */
    void run();

private:
    void checkFailureDomains();
    void checkWorkers();
    void checkTargets();
    void checkTarget(Target& target, const std::string& path);
    void checkTeams();
    void checkRules();
    void checkEntryHosts();
    void checkSelector(const PlacementSelector& selector, const std::string& path);
    void checkRulePermitsTarget(const Rule& rule, const std::string& path);
    void checkFailureDomainExists(const FailureDomainId& id, const std::string& path);

    Inventory::Parts& m_parts;
    ValidationErrors& m_errors;
    std::unordered_map<FailureDomainId, const FailureDomain*> m_failureDomains;
    std::unordered_map<WorkerId, const Worker*> m_workers;
    std::unordered_map<TargetId, const Target*> m_targets;
    std::set<RackId> m_racks;
};

}
