#include "rattanroad_inventory/inventory/InventoryFaults.h"

namespace rattanroad {

void InventoryFaults::add(const std::string& place, const std::string& reason)
{
    if (!m_places.insert(place).second)
        return;
    m_lines.push_back(place.empty() ? reason : place + ": " + reason);
}

Failure InventoryFaults::failure() const
{
    std::string detail;
    for (const auto& line : m_lines)
        detail += (detail.empty() ? "" : "\n") + line;
    return { FailureCode::ConfigurationInvalid, RunState::NotRun, detail };
}

}
