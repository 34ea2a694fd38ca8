#include "rattanroad_inventory/inventory/ValidationErrors.h"

namespace rattanroad {

void ValidationErrors::add(const std::string& path, const std::string& reason)
{
    if (!m_paths.insert(path).second)
        return;
    m_errors.push_back({ path, reason });
}

Failure ValidationErrors::failure() const
{
    std::string detail;
    for (const auto& error : m_errors)
        detail += (detail.empty() ? "" : "\n") + error.path + ": " + error.reason;
    return { FailureCode::ConfigurationInvalid, RunState::NotRun, detail };
}

}
