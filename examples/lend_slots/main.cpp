// Embeds the slot keeper and the slot borrower without any network: a program that limits its own use of two back ends.

#include "rattanroad_core/rattanroad_core.h"
#include "rattanroad_routing/rattanroad_routing.h"

#include <deque>
#include <iostream>

using namespace rattanroad;

namespace {

std::shared_ptr<const Inventory> inventory()
{
    const auto parsed = Inventory::parse(R"({
        "failure_domains": [{"id": "here", "region": "home"}],
        "workers": [{"id": "w1", "failure_domain": "here", "rack": "r1", "cores": 8, "memory_mb": 1024, "accelerators": 0}],
        "targets": [{"id": "small", "worker": "w1", "address": "127.0.0.1:1", "path": "/", "kinds": ["resize"],
                     "slots": 1, "connections": 1, "state": "active", "not_run_statuses": []},
                    {"id": "large", "worker": "w1", "address": "127.0.0.1:2", "path": "/", "kinds": ["resize"],
                     "slots": 3, "connections": 3, "state": "active", "not_run_statuses": []}],
        "teams": [{"id": "photos", "quota_slots": 0, "weight": 1}],
        "rules": [], "entry_hosts": []})");
    if (!parsed) {
        std::cerr << parsed.lastReason().detail << '\n';
        return nullptr;
    }
    return *parsed;
}

}

int main()
{
    const auto current = inventory();
    if (!current)
        return 1;

    SteadyClock clock;
    PcgRandomSource random(1);
    const HostId self("self");
    std::deque<protocol::Envelope> toKeeper;
    std::deque<protocol::Envelope> toBorrower;

    SlotKeeper keeper({}, clock, random,
        { [&](const HostId&, protocol::Envelope&& message) { toBorrower.push_back(std::move(message)); } });
    keeper.setKeptTargets(current, { TargetId("small"), TargetId("large") }, {});

    std::vector<BorrowedSlot> held;
    SlotBorrower::Settings settings;
    settings.self = self;
    SlotBorrower::Hooks hooks;
    hooks.send = [&](const HostId&, protocol::Envelope&& message) { toKeeper.push_back(std::move(message)); };
    hooks.bind = [&](DemandId, const BorrowedSlot& slot) {
        held.push_back(slot);
        return true;
    };
    hooks.refused = [](DemandId, const Failure& failure) { std::cout << "refused: " << failure.detail << '\n'; };
    SlotBorrower borrower(settings, clock, random, hooks);
    borrower.setKeepers({ { self, 0, keeper.freeSlots(), clock.now() } });

    WorkDemand demand;
    demand.kind = WorkKind("resize");
    demand.team = TeamId("photos");
    demand.count = 6;
    demand.arrivedAt = clock.now();
    borrower.addDemand(demand);

    const auto exchange = [&] {
        for (int round = 0; round < 4; ++round) {
            borrower.flush();
            for (; !toKeeper.empty(); toKeeper.pop_front())
                keeper.peerMessage(self, toKeeper.front());
            keeper.flush();
            for (; !toBorrower.empty(); toBorrower.pop_front())
                borrower.peerMessage(self, toBorrower.front());
        }
    };
    exchange();
    std::cout << held.size() << " of 6 tasks may run now\n";
    const bool isLimited = held.size() == 4;

    const auto first = held.front();
    borrower.release(first, SlotUse::Succeeded, demand.kind, std::chrono::milliseconds(20), {});
    exchange();
    std::cout << "after one has finished, " << held.size() << " have started\n";
    return isLimited && held.size() == 5 ? 0 : 1;
}
