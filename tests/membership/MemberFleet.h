#pragma once

#include "rattanroad_membership/rattanroad_membership.h"
#include "support/VirtualNetwork.h"

#include <algorithm>

namespace rattanroad {

/** Member tables of many hosts on a virtual clock. */
class MemberFleet {
public:
    struct Host {
        std::unique_ptr<MemberTable> table;
        bool isPaused { false };
        /** Messages that arrived while the host was paused. */
        std::vector<protocol::Envelope> waiting;
        std::uint64_t changes { 0 };
    };

    explicit MemberFleet(std::uint64_t seed)
        : random(seed)
        , network(clock, random)
    {
    }

    static std::string addressOf(const std::string& host) { return "address of " + host; }

    void start(const std::string& host, const std::string& domain, std::uint64_t incarnation = 0)
    {
        MemberTable::Settings settings;
        settings.self.host = HostId(host);
        settings.self.incarnation = Incarnation(incarnation ? incarnation : ++m_lastIncarnation);
        settings.self.failureDomain = FailureDomainId(domain);
        settings.self.address = addressOf(host);
        settings.seedAddresses = seeds;
        auto& entry = hosts[host];
        MemberTable::Hooks hooks;
        hooks.send = [this, from = settings.self.address](const std::string& to, protocol::Envelope&& envelope) {
            network.send(from, to, std::move(envelope));
        };
        hooks.changed = [this, host, &entry] {
            ++entry.changes;
            if (changed && entry.table)
                changed(host);
        };
        hooks.fillHeartbeat = [this, host](protocol::Heartbeat& heartbeat) {
            if (fillHeartbeat)
                fillHeartbeat(host, heartbeat);
        };
        entry.table = std::make_unique<MemberTable>(settings, clock, random, hooks);
        network.attach(settings.self.address, [this, host](const auto& envelope) { receive(host, envelope); });
    }

    /** Starts @p perDomain hosts in each of @p domains failure domains: d0-h0, d0-h1, … */
    void startAll(int domains, int perDomain)
    {
        seeds = { addressOf("d0-h0"), addressOf("d1-h0") };
        for (int domain = 0; domain < domains; ++domain) {
            for (int index = 0; index < perDomain; ++index) {
                const auto name = "d" + std::to_string(domain);
                start(name + "-h" + std::to_string(index), name);
            }
        }
    }

    void stop(const std::string& host)
    {
        network.detach(addressOf(host));
        hosts.erase(host);
    }

    void pause(const std::string& host) { hosts.at(host).isPaused = true; }

    void resume(const std::string& host)
    {
        auto& entry = hosts.at(host);
        entry.isPaused = false;
        entry.table->tick();
        for (const auto& envelope : std::exchange(entry.waiting, {}))
            receive(host, envelope);
    }

    void run(Duration duration)
    {
        const auto end = clock.now() + duration;
        while (true) {
            auto next = network.nextDelivery();
            for (const auto& [name, host] : hosts) {
                if (!host.isPaused)
                    next = std::min(next, host.table->nextWakeup());
            }
            if (nextExtension)
                next = std::min(next, nextExtension());
            if (next > end)
                break;
            clock.advanceTo(std::max(next, clock.now()));
            network.deliverDue();
            for (auto& [name, host] : hosts) {
                if (!host.isPaused && host.table->nextWakeup() <= clock.now())
                    host.table->tick();
            }
            if (tickExtension)
                tickExtension();
        }
        clock.advanceTo(end);
    }

    bool knows(const std::string& host, const std::string& other) const
    {
        return hosts.at(host).table->find(HostId(other)) != nullptr;
    }

    /** Returns how many live members the host that knows fewest knows. */
    std::size_t fewestKnown() const
    {
        std::size_t fewest = hosts.size();
        for (const auto& [name, host] : hosts)
            fewest = std::min(fewest, host.table->liveMembers().size());
        return fewest;
    }

    std::uint64_t deaths() const
    {
        std::uint64_t sum = 0;
        for (const auto& [name, host] : hosts)
            sum += host.table->statistics().membersDied;
        return sum;
    }

    VirtualClock clock;
    PcgRandomSource random;
    VirtualNetwork network;
    std::vector<std::string> seeds;
    std::map<std::string, Host> hosts;

    /** Called for the named host; may be empty. They let other components run on the same hosts. */
    std::function<void(const std::string& host)> changed;
    std::function<void(const std::string& host, protocol::Heartbeat&)> fillHeartbeat;
    std::function<void(const std::string& host, const protocol::Envelope&)> received;
    std::function<TimePoint()> nextExtension;
    std::function<void()> tickExtension;

private:
    void receive(const std::string& host, const protocol::Envelope& envelope)
    {
        auto& entry = hosts.at(host);
        if (entry.isPaused) {
            entry.waiting.push_back(envelope);
            return;
        }
        entry.table->heardFrom(HostId(envelope.from_host()), Incarnation(envelope.from_incarnation()),
            envelope.has_heartbeat() ? &envelope.heartbeat() : nullptr);
        if (received)
            received(host, envelope);
    }

    std::uint64_t m_lastIncarnation { 100 };
};

}
