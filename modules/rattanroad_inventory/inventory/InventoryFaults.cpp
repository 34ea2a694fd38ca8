#include "rattanroad_inventory/inventory/InventoryFaults.h"

namespace rattanroad {

void InventoryFaults::add(const std::string& place, const std::string& reason)
{
    if (!m_places.insert(place).second)
        return;
    m_faults.push_back({ place, reason });
}

Failure InventoryFaults::failure() const
{
    std::string detail;
    for (const auto& fault : m_faults)
        detail += (detail.empty() ? "" : "\n") + fault.place + ": " + fault.reason;
    return { FailureCode::ConfigurationInvalid, RunState::NotRun, detail };
}

}
