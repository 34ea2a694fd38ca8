#pragma once

#include "inventory/ExampleInventory.h"
#include "membership/MemberFleet.h"
#include "support/VirtualStore.h"

namespace rattanroad {

/** Returns a valid configuration value; @p quota is that of the first team. */
inline ConfigurationValue exampleConfigurationValue(
    std::uint64_t revision, const std::string& changeId = "c", SlotCount quota = SlotCount(6))
{
    auto parts = (*Inventory::parse(exampleDocument()))->parts();
    parts.teams[0].quota = quota;
    return { Revision(revision), ChangeId(changeId), "amina", "2026-12-04T09:00:00Z", *Inventory::create(parts) };
}

/** Simulates hosts with member tables and configuration distributors, and one store, on a virtual clock. */
class ConfigurationFleet {
public:
    struct Node {
        ConfigurationHolder holder { nullptr };
        std::unique_ptr<ConfigurationDistributor> distributor;
        std::uint64_t highestRevision { 0 };
    };

    explicit ConfigurationFleet(std::uint64_t seed)
        : members(seed)
        , store(members.clock)
    {
        members.changed = [this](const std::string& host) { updateMembers(host); };
        members.fillHeartbeat = [this](const std::string& host, protocol::Heartbeat& heartbeat) {
            const auto node = nodes.find(host);
            if (node != nodes.end())
                heartbeat.set_configuration_revision(node->second.holder.revision().value());
        };
        members.received
            = [this](const std::string& host, const protocol::Envelope& envelope) { receive(host, envelope); };
        members.nextExtension = [this] { return nextEvent(); };
        members.tickExtension = [this] { tickAll(); };
    }

    void startAll(int domains, int perDomain)
    {
        members.startAll(domains, perDomain);
        for (const auto& [host, entry] : members.hosts)
            startDistributor(host);
    }

    void startDistributor(const std::string& host)
    {
        auto& node = nodes[host];
        ConfigurationDistributor::Settings settings;
        settings.self = HostId(host);
        settings.incarnation = members.hosts.at(host).table->self().incarnation;
        ConfigurationDistributor::Hooks hooks;
        hooks.sendToPeer = [this, host](const HostId& to, protocol::Envelope&& envelope) {
            members.network.send(MemberFleet::addressOf(host), MemberFleet::addressOf(to.value()), std::move(envelope));
        };
        hooks.store.get = [this, host](const StoreGet& get) {
            store.get(get, [this, host](const auto& answer) { nodes.at(host).distributor->handleGetAnswer(answer); });
        };
        hooks.store.startWatch = [this, host](const StoreWatch& watch) {
            store.watch(
                host, watch, [this, host](const auto& event) { nodes.at(host).distributor->handleWatchEvent(event); });
        };
        hooks.store.stopWatch = [this, host](StoreWatchId watch) { store.stopWatch(host, watch); };
        node.distributor
            = std::make_unique<ConfigurationDistributor>(node.holder, settings, members.clock, members.random, hooks);
        updateMembers(host);
    }

    void write(const ConfigurationValue& value)
    {
        const auto* current = store.find(ConfigurationKeys::current());
        StorePutIf put;
        put.key = ConfigurationKeys::current();
        put.expectedModRevision = current ? current->modRevision : StoreRevision(0);
        put.puts = { { put.key, value.json(), std::nullopt } };
        store.apply(put);
    }

    std::size_t installedHostCount(std::uint64_t revision) const
    {
        std::size_t count = 0;
        for (const auto& [host, node] : nodes)
            count += node.holder.revision() >= Revision(revision);
        return count;
    }

    /** Simulates the end of the process of @p host. */
    void stop(const std::string& host)
    {
        members.stop(host);
        store.disconnect(host);
        // The node is kept because store answers to it may be in flight; without members it does nothing more.
        nodes.at(host).distributor->setMembers({}, {});
    }

    MemberFleet members;
    VirtualStore store;
    std::map<std::string, Node> nodes;
    /** Whether the revision of any host has ever decreased. */
    bool hasReverted { false };

private:
    void updateMembers(const std::string& host)
    {
        const auto node = nodes.find(host);
        if (node == nodes.end() || !node->second.distributor)
            return;
        const auto& table = *members.hosts.at(host).table;
        std::vector<HostId> domainHosts { HostId(host) };
        std::vector<HostId> otherHosts;
        for (const auto& member : table.liveMembers())
            (member.failureDomain == table.self().failureDomain ? domainHosts : otherHosts).push_back(member.host);
        node->second.distributor->setMembers(
            rendezvousOrder(ConfigurationDistributor::rankingKey(), domainHosts), otherHosts);
    }

    void receive(const std::string& host, const protocol::Envelope& envelope)
    {
        auto& node = nodes.at(host);
        if (envelope.has_heartbeat())
            node.distributor->handleHeartbeatRevision(
                HostId(envelope.from_host()), Revision(envelope.heartbeat().configuration_revision()));
        else
            node.distributor->handlePeerMessage(envelope);
    }

    TimePoint nextEvent() const
    {
        auto next = store.nextEvent();
        for (const auto& [host, node] : nodes)
            next = std::min(next, node.distributor->nextWakeup());
        return next;
    }

    void tickAll()
    {
        store.runDue();
        for (auto& [host, node] : nodes) {
            node.distributor->tick();
            const auto revision = node.holder.revision().value();
            hasReverted = hasReverted || revision < node.highestRevision;
            node.highestRevision = revision;
        }
    }
};

}
