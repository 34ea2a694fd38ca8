#include "fakes/FleetSettings.h"

#include <stdexcept>

namespace rattanroad {

namespace {
    constexpr int statusUnavailable = 503;
}

std::string FleetSettings::hostAddress(std::size_t host) const
{
    return "10.0.0." + std::to_string(host + 1) + ":7001";
}

std::shared_ptr<const Inventory> FleetSettings::inventory(const std::set<TargetId>& leaving) const
{
    Inventory::Parts parts;
    std::map<FailureDomainId, RegionId> domains;
    for (std::size_t host = 0; host < hosts.size(); host++) {
        domains[hosts[host].failureDomain] = hosts[host].region;
        parts.entryHosts.push_back({ hostId(host), hosts[host].failureDomain });
    }
    for (std::size_t index = 0; index < targets.size(); index++) {
        const FakeTargets::Settings& settings = targets[index];
        domains[settings.place.failureDomain] = settings.place.region;
        Worker worker;
        worker.id = WorkerId("w" + std::to_string(index));
        worker.failureDomain = settings.place.failureDomain;
        worker.rack = RackId(settings.place.failureDomain.value() + "-rack" + std::to_string(index / workersPerRack));
        worker.resources = { 32, MebibyteCount(65536), 0 };
        Target target;
        target.id = settings.id;
        target.worker = worker.id;
        target.address = "10.1." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1) + ":9001";
        target.path = "/run";
        target.kinds = std::set<WorkKind>(kinds.begin(), kinds.end());
        target.slots = SlotCount(settings.slots);
        target.connections = ConnectionCount(settings.connections);
        target.state = leaving.count(settings.id) ? TargetState::Leaving : TargetState::Active;
        if (areRejectionsProof)
            target.notRunStatuses = { statusUnavailable };
        parts.workers.push_back(std::move(worker));
        parts.targets.push_back(std::move(target));
    }
    for (const auto& [domain, region] : domains)
        parts.failureDomains.push_back({ domain, region });
    parts.teams = teams;
    const Result<std::shared_ptr<const Inventory>> inventory = Inventory::create(std::move(parts));
    if (!inventory)
        throw std::logic_error(inventory.lastReason().detail);
    return *inventory;
}

EntryHostSettings FleetSettings::engineSettings(std::size_t host, Incarnation incarnation) const
{
    EntryHostSettings settings;
    Member& self = settings.membership.self;
    self.host = hostId(host);
    self.incarnation = incarnation;
    self.failureDomain = hosts[host].failureDomain;
    self.region = hosts[host].region;
    self.rack = RackId(hosts[host].failureDomain.value() + "-rack" + std::to_string(host));
    self.address = hostAddress(host);
    for (std::size_t other = 0; other < hosts.size(); other++) {
        if (other != host)
            settings.membership.seedAddresses.push_back(hostAddress(other));
    }
    settings.ledger.self = self.host;
    settings.ledger.failureDomain = self.failureDomain;
    settings.ledger.incarnation = incarnation;
    settings.keeper.wasteWeight = wasteWeight;
    settings.keyHome.self = self.host;
    settings.borrower.self = self.host;
    settings.borrower.wasteWeight = wasteWeight;
    return settings;
}

}
