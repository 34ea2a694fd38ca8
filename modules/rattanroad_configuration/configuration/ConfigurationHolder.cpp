#include "rattanroad_configuration/configuration/ConfigurationHolder.h"

#include <utility>

namespace rattanroad {

ConfigurationHolder::ConfigurationHolder(InstalledHook installed)
    : m_installed(std::move(installed))
{
}

bool ConfigurationHolder::offer(ConfigurationValue value)
{
    if (!value.inventory || value.revision <= revision())
        return false;
    m_current = std::move(value);
    if (m_installed)
        m_installed(*m_current);
    return true;
}

Revision ConfigurationHolder::revision() const { return m_current ? m_current->revision : Revision(0); }

const ConfigurationValue* ConfigurationHolder::current() const { return m_current ? &*m_current : nullptr; }

}
