#pragma once

#include "rattanroad_core/rattanroad_core.h"
#include "rattanroad_inventory/inventory/Inventory.h"
#include "rattanroad_routing/rattanroad_routing.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace rattanroad::test {

inline const WorkKind quoteKind("quote");

/** Builds an inventory of equal targets "t0", "t1", ... for work of kind "quote", each on a worker of its own. */
inline std::shared_ptr<const Inventory> makeInventory(
    int targetCount, std::uint32_t slots, std::vector<Team> teams = {}, const std::set<int>& leaving = {})
{
    Inventory::Parts parts;
    parts.failureDomains.push_back({ FailureDomainId("remera"), RegionId("kigali") });
    for (int index = 0; index < targetCount; ++index) {
        const auto number = std::to_string(index);
        Worker worker { WorkerId("w" + number), FailureDomainId("remera"), RackId("r1"),
            { 32, MebibyteCount(65536), 0 } };
        Target target;
        target.id = TargetId("t" + number);
        target.worker = worker.id;
        target.failureDomain = worker.failureDomain;
        target.rack = worker.rack;
        target.address = "192.0.2.1:" + std::to_string(9000 + index);
        target.path = "/run";
        target.kinds = { quoteKind };
        target.slots = SlotCount(slots);
        target.connections = ConnectionCount(64);
        target.state = leaving.count(index) ? TargetState::Leaving : TargetState::Active;
        parts.workers.push_back(worker);
        parts.targets.push_back(target);
    }
    parts.teams = std::move(teams);
    if (parts.teams.empty())
        parts.teams.push_back({ TeamId("buyers"), SlotCount(0), 1 });
    return *Inventory::create(std::move(parts));
}

inline std::vector<TargetId> targetIds(int first, int end)
{
    std::vector<TargetId> ids;
    for (int index = first; index < end; ++index)
        ids.emplace_back("t" + std::to_string(index));
    return ids;
}

/** Drives one keeper by messages on a virtual clock and collects the messages that it sends. */
class KeeperFixture {
public:
    explicit KeeperFixture(SlotKeeper::Settings settings = {}, std::uint64_t seed = 1)
        : random(seed)
        , keeper(settings, clock, random, { [this](const HostId& host, protocol::Envelope&& envelope) {
            sent.emplace_back(host, std::move(envelope));
        } })
    {
    }

    void demand(std::uint64_t number, std::uint32_t count, const std::string& team = "buyers", int priority = 0,
        std::uint32_t ageMs = 0, const std::string& host = "a", const std::set<TargetId>& excluded = {})
    {
        protocol::Envelope envelope;
        auto& message = *envelope.mutable_slot_demand();
        message.set_demand(number);
        message.set_kind(quoteKind.value());
        message.set_team(team);
        message.set_priority(priority);
        message.set_count(count);
        message.set_age_ms(ageMs);
        message.set_declared_ms(100);
        for (const auto& target : excluded)
            message.add_excluded_targets(target.value());
        keeper.peerMessage(HostId(host), envelope);
    }

    void returnSlot(const protocol::LentSlot& slot, protocol::ReturnedSlot::Use use, int runMs = 100,
        const std::string& host = "a", bool isKept = false)
    {
        protocol::Envelope envelope;
        auto& returned = *envelope.mutable_slot_return()->add_slots();
        returned.set_lease(slot.lease());
        returned.set_target(slot.target());
        returned.set_use(use);
        returned.set_kind(quoteKind.value());
        returned.set_declared_ms(100);
        returned.set_run_us(static_cast<std::uint32_t>(runMs) * 1000);
        returned.set_kept(isKept);
        keeper.peerMessage(HostId(host), envelope);
    }

    /** Runs one iteration of the event loop and returns the grants that the keeper sends in it. */
    std::vector<protocol::SlotGrant> runLoopIteration()
    {
        sent.clear();
        keeper.tick();
        keeper.flush();
        std::vector<protocol::SlotGrant> grants;
        for (const auto& [host, envelope] : sent) {
            if (envelope.has_slot_grant())
                grants.push_back(envelope.slot_grant());
        }
        return grants;
    }

    /** Demands one slot and returns it; withdraws the demand and returns nothing if it is not granted at once. */
    std::optional<protocol::LentSlot> requestSlot(const std::string& team = "buyers")
    {
        const auto number = nextDemand++;
        demand(number, 1, team);
        for (const auto& grant : runLoopIteration()) {
            if (grant.demand() == number && grant.slots_size() == 1)
                return grant.slots(0);
        }
        demand(number, 0, team);
        return std::nullopt;
    }

    SlotKeeper::TargetStatus status(const std::string& id) const
    {
        for (const auto& each : keeper.status()) {
            if (each.id == TargetId(id))
                return each;
        }
        return {};
    }

    VirtualClock clock;
    PcgRandomSource random;
    std::vector<std::pair<HostId, protocol::Envelope>> sent;
    SlotKeeper keeper;
    std::uint64_t nextDemand { 1000 };
};

}
