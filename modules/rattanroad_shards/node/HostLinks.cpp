#include "rattanroad_shards/node/HostLinks.h"

namespace rattanroad::shards {

HostLinks::HostLinks(Settings settings, const Clock& clock, Hooks hooks)
    : m_settings(std::move(settings))
    , m_clock(clock)
    , m_hooks(std::move(hooks))
{
}

bool HostLinks::send(const std::string& address, const protocol::Envelope& message)
{
    Link& link = m_links[address];
    link.lastTried = m_clock.now();
    if (!m_hooks.send(address, message))
        return false;
    link.lastSent = link.lastTried;
    return true;
}

void HostLinks::open(const std::string& address)
{
    if (address.empty() || address == m_settings.address)
        return;
    const auto link = m_links.find(address);
    if (link == m_links.end() || m_clock.now() - link->second.lastSent >= m_settings.refresh)
        send(address, m_hooks.envelope());
}

void HostLinks::hostStarted(const std::string& address)
{
    const auto link = m_links.find(address);
    if (link == m_links.end())
        return;
    link->second.lastSent = distantPast;
    m_hooks.reopen(address);
}

void HostLinks::removeUnused()
{
    for (auto link = m_links.begin(); link != m_links.end();) {
        const bool isUnused = m_clock.now() - link->second.lastTried >= 3 * m_settings.refresh;
        link = isUnused ? m_links.erase(link) : std::next(link);
    }
}

}
