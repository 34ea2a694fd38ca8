#include "rattanroad_dispatch/engine/KeyHome.h"

#include "rattanroad_membership/membership/MemberTable.h"

namespace rattanroad {

namespace {

    std::string rankingKey(const KeyHome::Key& key)
    {
        // The separator cannot occur in a team name, so two different keys never share a text.
        return key.team.value() + '\n' + key.text;
    }

    std::vector<HostId> configuredHosts(const Inventory& inventory)
    {
        std::vector<HostId> hosts;
        for (const auto& entry : inventory.parts().entryHosts)
            hosts.push_back(entry.id);
        return hosts;
    }

    Failure notDecidedHere(const std::string& detail)
    {
        return { FailureCode::NotDecidedHere, RunState::NotRun, detail };
    }

}

KeyHome::KeyHome(Settings settings, Clock& clock)
    : m_settings(std::move(settings))
    , m_clock(clock)
    , m_startedAt(clock.now())
{
}

std::optional<HostId> KeyHome::homeOf(const Key& key, const Inventory& inventory)
{
    const auto order = rendezvousOrder(rankingKey(key), configuredHosts(inventory));
    if (order.empty())
        return std::nullopt;
    return order.front();
}

void KeyHome::configurationInstalled(const Inventory& inventory)
{
    auto hosts = configuredHosts(inventory);
    if (hosts == m_hosts)
        return;
    if (!m_hosts.empty())
        m_formerHosts.emplace_back(m_clock.now(), std::move(m_hosts));
    m_hosts = std::move(hosts);
}

void KeyHome::registered(bool hadPredecessor)
{
    m_isRegistered = true;
    m_hadPredecessor = hadPredecessor;
}

std::optional<Failure> KeyHome::refusal(const Key& key) const
{
    const auto now = m_clock.now();
    const bool mayHaveLostBindings = !m_isRegistered || m_hadPredecessor;
    if (mayHaveLostBindings && now < m_startedAt + m_settings.retention)
        return notDecidedHere("this host has started recently and may not know earlier uses of the key");
    for (const auto& [changedAt, hosts] : m_formerHosts) {
        if (now < changedAt + m_settings.retention
            && rendezvousOrder(rankingKey(key), hosts).front() != m_settings.self)
            return notDecidedHere(
                "the list of entry hosts has changed recently and the key may have been used at another host");
    }
    return std::nullopt;
}

std::optional<SubmissionId> KeyHome::find(const Key& key) const
{
    const auto found = m_bindings.find(key);
    if (found == m_bindings.end())
        return std::nullopt;
    return found->second;
}

void KeyHome::bind(const Key& key, const SubmissionId& id)
{
    if (m_bindings.emplace(key, id).second)
        m_order.emplace_back(m_clock.now(), key);
}

void KeyHome::expire()
{
    const auto limit = m_clock.now() - m_settings.retention;
    while (!m_order.empty() && m_order.front().first < limit) {
        m_bindings.erase(m_order.front().second);
        m_order.pop_front();
    }
    while (!m_formerHosts.empty() && m_formerHosts.front().first < limit)
        m_formerHosts.pop_front();
}

}
