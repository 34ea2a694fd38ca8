#include "rattanroad_shards/entrance/LoadFeed.h"

#include "rattanroad_shards/types/RendezvousHash.h"

#include <algorithm>
#include <tuple>

namespace rattanroad::shards {

LoadFeed::LoadFeed(Settings settings, const FleetView& fleet, const ShardLoads& loads, const Clock& clock, Hooks hooks)
    : m_settings(std::move(settings))
    , m_fleet(fleet)
    , m_loads(loads)
    , m_clock(clock)
    , m_hooks(std::move(hooks))
{
}

void LoadFeed::update(const std::vector<protocol::ShardLoad>& ownLoads)
{
    if (!ownLoads.empty())
        sendOwnLoads(ownLoads);
    sendToSubscribers();
    renewSubscription(!ownLoads.empty());
}

void LoadFeed::sendOwnLoads(const std::vector<protocol::ShardLoad>& ownLoads)
{
    const TimePoint now = m_clock.now();
    for (const ShardId& shard : m_loads.shards()) {
        if (const std::string* const address = m_loads.holderAddress(shard))
            m_holders[*address] = now;
    }
    protocol::Envelope message = m_hooks.envelope();
    for (const protocol::ShardLoad& load : ownLoads)
        *message.mutable_shard_loads()->add_loads() = load;
    for (auto holder = m_holders.begin(); holder != m_holders.end();) {
        if (now - holder->second >= m_settings.earlierHolderMemory) {
            holder = m_holders.erase(holder);
            continue;
        }
        if (holder->first != m_settings.address)
            m_hooks.send(holder->first, message);
        ++holder;
    }
    for (const auto& host : m_fleet.hosts()) {
        if (host.second.subscribesToLoads || host.first == m_settings.host)
            continue;
        for (const protocol::ShardLoad& load : ownLoads) {
            protocol::Envelope single = m_hooks.envelope();
            *single.mutable_shard_load() = load;
            m_hooks.send(host.second.address, single);
        }
    }
}

protocol::Envelope LoadFeed::recentLoads() const
{
    protocol::Envelope message = m_hooks.envelope();
    message.mutable_shard_loads();
    for (protocol::ShardLoad& load : m_loads.recentLoads(m_settings.maximumLoadAge))
        *message.mutable_shard_loads()->add_loads() = std::move(load);
    return message;
}

void LoadFeed::sendToSubscribers()
{
    if (m_subscribers.empty())
        return;
    const protocol::Envelope message = recentLoads();
    for (auto subscriber = m_subscribers.begin(); subscriber != m_subscribers.end();) {
        if (m_clock.now() - subscriber->second >= m_settings.subscriptionLifetime) {
            subscriber = m_subscribers.erase(subscriber);
            continue;
        }
        m_hooks.send((subscriber++)->first, message);
    }
}

void LoadFeed::subscribed(const std::string& address)
{
    const bool isNew = m_subscribers.count(address) == 0;
    m_subscribers[address] = m_clock.now();
    if (isNew)
        m_hooks.send(address, recentLoads());
}

void LoadFeed::loadsReceived(const std::string& address, std::chrono::milliseconds youngestAge)
{
    // Hosts that only feed one another would pass on the same loads until they are too old.
    if (address != m_feeder || youngestAge >= m_settings.feederTimeout)
        return;
    m_lastFedAt = m_clock.now();
    m_silentInARow = 0;
}

void LoadFeed::correct(const protocol::ShardLoad& load)
{
    const ShardId shard(load.shard());
    protocol::Envelope message = m_hooks.envelope();
    for (const protocol::ShardLoad& known : m_loads.recentLoads(m_settings.earlierHolderMemory)) {
        if (known.shard() == load.shard() && known.generation() > load.generation())
            *message.mutable_shard_loads()->add_loads() = known;
    }
    const ShardHolder* const holder = m_fleet.holder(shard);
    if (!message.has_shard_loads() && holder && holder->generation.value() > load.generation()) {
        protocol::ShardLoad* const known = message.mutable_shard_loads()->add_loads();
        known->set_shard(shard.value());
        known->set_generation(holder->generation.value());
        known->set_address(holder->address);
    }
    if (message.has_shard_loads())
        m_hooks.send(load.address(), message);
}

void LoadFeed::renewSubscription(bool isHolding)
{
    const TimePoint now = m_clock.now();
    if (isHolding && m_loads.areAllRecent(m_settings.feederTimeout)) {
        m_feeder.clear();
        return;
    }
    const bool isFed = !m_feeder.empty() && now - m_lastFedAt < m_settings.feederTimeout;
    if (isFed && now - m_subscribedAt < m_settings.subscriptionInterval)
        return;
    if (!isFed && !m_feeder.empty()) {
        m_silentFeeders[m_feeder] = now + m_settings.feederPause;
        ++m_silentInARow;
    }
    const std::string feeder = chooseFeeder();
    if (feeder != m_feeder)
        m_lastFedAt = now;
    m_feeder = feeder;
    if (m_feeder.empty())
        return;
    protocol::Envelope message = m_hooks.envelope();
    message.mutable_load_subscription();
    // Repeated with the next loads when the link was not open yet.
    m_subscribedAt = m_hooks.send(m_feeder, message) ? now : distantPast;
}

std::string LoadFeed::chooseFeeder()
{
    const TimePoint now = m_clock.now();
    std::vector<std::tuple<bool, std::uint64_t, std::string>> holders;
    for (const ShardId& shard : m_loads.shards()) {
        const std::string* const address = m_loads.holderAddress(shard);
        if (!address || *address == m_settings.address)
            continue;
        const auto silent = m_silentFeeders.find(*address);
        if (silent != m_silentFeeders.end() && now < silent->second)
            continue;
        const bool isInOtherDomain = shard.value() != m_settings.failureDomain.value();
        holders.emplace_back(isInOtherDomain, rendezvousWeight(m_settings.host.value(), shard.value()), *address);
    }
    for (auto silent = m_silentFeeders.begin(); silent != m_silentFeeders.end();)
        silent = now < silent->second ? std::next(silent) : m_silentFeeders.erase(silent);
    // Every other attempt goes to an arbitrary host once several holders were silent: all of them may have changed.
    const bool isAnyHostTried = m_silentInARow > 2 && m_silentInARow % 2 == 1;
    if (!holders.empty() && !isAnyHostTried)
        return std::get<2>(*std::min_element(holders.begin(), holders.end()));
    const auto& hosts = m_fleet.hosts();
    if (hosts.empty())
        return "";
    const auto host = std::next(hosts.begin(), static_cast<std::ptrdiff_t>(m_silentInARow / 2 % hosts.size()));
    return host->first == m_settings.host ? "" : host->second.address;
}

}
