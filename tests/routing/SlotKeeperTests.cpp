#include "routing/support/KeeperFixture.h"

#include <catch2/catch.hpp>

using namespace rattanroad;
using namespace rattanroad::test;
using namespace std::chrono_literals;

namespace {

using Slot = protocol::ReturnedSlot;

std::vector<protocol::LentSlot> slotsOf(const std::vector<protocol::SlotGrant>& grants, std::uint64_t demand)
{
    std::vector<protocol::LentSlot> slots;
    for (const auto& grant : grants) {
        if (grant.demand() == demand)
            slots.insert(slots.end(), grant.slots().begin(), grant.slots().end());
    }
    return slots;
}

std::vector<Team> manyTeams(int count, std::uint32_t quota)
{
    std::vector<Team> teams;
    teams.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index)
        teams.push_back({ TeamId("team" + std::to_string(index)), SlotCount(quota), 1 });
    return teams;
}

}

// Guards against a lost grant or a dead borrower keeping slots for ever.
TEST_CASE("a slot whose borrower is silent is free again after the lease")
{
    KeeperFixture bench;
    bench.keeper.setKeptTargets(makeInventory(1, 2), targetIds(0, 1), {});
    bench.demand(1, 2);
    REQUIRE(slotsOf(bench.turn(), 1).size() == 2);
    bench.keeper.hostDied(HostId("a"));
    bench.clock.advance(1900ms);
    CHECK_FALSE(bench.lendOne());
    bench.clock.advance(200ms);
    CHECK(bench.lendOne());
    CHECK(bench.keeper.statistics().leasesExpired == 2);
}

// Guards against a running task losing its slot to another task.
TEST_CASE("a kept slot is renewed")
{
    KeeperFixture bench;
    bench.keeper.setKeptTargets(makeInventory(1, 1), targetIds(0, 1), {});
    const auto slot = bench.lendOne();
    REQUIRE(slot);
    bench.clock.advance(1500ms);
    bench.giveBack(*slot, Slot::UNUSED, 0, "a", true);
    bench.clock.advance(1500ms);
    CHECK_FALSE(bench.lendOne());
    bench.clock.advance(600ms);
    CHECK(bench.lendOne());
}

// Guards against duplicated and late messages freeing a slot that now belongs to somebody else.
TEST_CASE("a return counts once and not after its lease")
{
    KeeperFixture bench;
    bench.keeper.setKeptTargets(makeInventory(1, 1), targetIds(0, 1), {});
    const auto first = bench.lendOne();
    REQUIRE(first);
    bench.giveBack(*first, Slot::SUCCEEDED);
    const auto second = bench.lendOne();
    REQUIRE(second);
    bench.giveBack(*first, Slot::SUCCEEDED);
    CHECK_FALSE(bench.lendOne());
    bench.clock.advance(2100ms);
    const auto third = bench.lendOne();
    REQUIRE(third);
    bench.giveBack(*second, Slot::SUCCEEDED);
    CHECK_FALSE(bench.lendOne());
    bench.giveBack(*third, Slot::SUCCEEDED, 100, "not-the-holder");
    CHECK_FALSE(bench.lendOne());
    CHECK(bench.status("t0").used == SlotCount(1));
}

// Guards against a duplicated demand, or one overtaken by its withdrawal, being granted a second time.
TEST_CASE("demands are counted in all, and ended ones stay ended")
{
    KeeperFixture bench;
    bench.keeper.setKeptTargets(makeInventory(1, 8), targetIds(0, 1), {});
    bench.demand(1, 2);
    bench.demand(1, 2);
    CHECK(slotsOf(bench.turn(), 1).size() == 2);
    bench.demand(1, 2);
    CHECK(slotsOf(bench.turn(), 1).empty());
    bench.demand(2, 0);
    bench.demand(2, 0);
    bench.demand(2, 3);
    CHECK(slotsOf(bench.turn(), 2).empty());
    CHECK(bench.keeper.statistics().demandsWaiting == 0);
}

// Guards against an urgent or old job waiting behind a new one, and a team with many jobs starving the others.
TEST_CASE("demands go by priority, then fairness between teams, then age")
{
    KeeperFixture bench;
    bench.keeper.setKeptTargets(
        makeInventory(1, 1, { { TeamId("a"), SlotCount(0), 1 }, { TeamId("b"), SlotCount(0), 1 } }), targetIds(0, 1),
        {});
    bench.demand(1, 1, "a", 0, 10);
    bench.demand(2, 1, "a", 0, 50);
    bench.demand(3, 1, "b", 0, 0);
    bench.demand(4, 1, "b", 5, 0);
    std::vector<std::uint64_t> order;
    for (int round = 0; round < 4; ++round) {
        const auto grants = bench.turn();
        REQUIRE(grants.size() == 1);
        order.push_back(grants[0].demand());
        bench.giveBack(grants[0].slots(0), Slot::SUCCEEDED);
    }
    // Team b has had a slot for its urgent job, so team a comes next, with its older job; then age decides again.
    CHECK(order == std::vector<std::uint64_t> { 4, 2, 1, 3 });
}

// Guards against a heavy team taking more than its weight when all teams wait.
TEST_CASE("waiting teams share slots by weight")
{
    KeeperFixture bench;
    bench.keeper.setKeptTargets(
        makeInventory(1, 1, { { TeamId("a"), SlotCount(0), 3 }, { TeamId("b"), SlotCount(0), 1 } }), targetIds(0, 1),
        {});
    bench.demand(1, 400, "a", 0, 9000);
    bench.demand(2, 400, "b", 0, 0);
    int servedA = 0;
    for (int round = 0; round < 400; ++round) {
        const auto grants = bench.turn();
        REQUIRE(grants.size() == 1);
        servedA += grants[0].demand() == 1 ? 1 : 0;
        bench.giveBack(grants[0].slots(0), Slot::SUCCEEDED);
    }
    CHECK(servedA >= 295);
    CHECK(servedA <= 305);
}

// Guards against one of 34 teams holding more than its share, and against idle slots while others are at their quota.
TEST_CASE("team quotas hold under contention of 34 teams")
{
    KeeperFixture bench;
    // The keeper has 4 of 8 targets, so 10 slots of quota are 5 here.
    bench.keeper.setKeptTargets(makeInventory(8, 8, manyTeams(34, 10)), targetIds(0, 4), {});
    for (int team = 0; team < 34; ++team)
        bench.demand(static_cast<std::uint64_t>(team) + 1, 100, "team" + std::to_string(team));
    std::map<std::uint64_t, std::size_t> held;
    for (const auto& grant : bench.turn())
        held[grant.demand()] += static_cast<std::size_t>(grant.slots_size());
    std::size_t sum = 0;
    for (const auto& [demand, count] : held) {
        CHECK(count <= 2);
        sum += count;
    }
    CHECK(held.size() == 32);
    CHECK(sum == 32);
    KeeperFixture single;
    single.keeper.setKeptTargets(makeInventory(8, 8, manyTeams(34, 10)), targetIds(0, 4), {});
    single.demand(1, 100, "team0");
    CHECK(slotsOf(single.turn(), 1).size() == 5);
}

// Guards against work on a target that is about to go away.
TEST_CASE("leaving targets get no grants")
{
    KeeperFixture bench;
    bench.keeper.setKeptTargets(makeInventory(2, 4, {}, { 0 }), targetIds(0, 2), {});
    bench.demand(1, 8);
    for (const auto& slot : slotsOf(bench.turn(), 1))
        CHECK(slot.target() == "t1");
    bench.keeper.setLeavingTargets({ TargetId("t1") });
    const auto grants = bench.turn();
    const bool isRefused = std::any_of(
        bench.sent.begin(), bench.sent.end(), [](const auto& each) { return each.second.slot_grant().refused(); });
    CHECK((isRefused || bench.keeper.statistics().demandsWaiting == 0));
    bench.demand(2, 1);
    CHECK(slotsOf(bench.turn(), 2).empty());
}

// Guards against a job that waits for ever for work that nobody runs.
TEST_CASE("a demand that no kept target can serve is refused with a typed reason")
{
    KeeperFixture bench;
    bench.keeper.setKeptTargets(makeInventory(1, 4), targetIds(0, 1), {});
    protocol::Envelope envelope;
    envelope.mutable_slot_demand()->set_demand(7);
    envelope.mutable_slot_demand()->set_kind("unheard-of");
    envelope.mutable_slot_demand()->set_count(1);
    bench.keeper.peerMessage(HostId("a"), envelope);
    REQUIRE(bench.sent.size() == 1);
    const auto& grant = bench.sent[0].second.slot_grant();
    CHECK(grant.refused());
    CHECK(protocol::fromMessage(grant.reason()).code == FailureCode::NoEligibleTarget);
    CHECK(protocol::fromMessage(grant.reason()).runState == RunState::NotRun);
}

// Guards against a retried task going back to the target that failed it.
TEST_CASE("excluded targets are not lent and do not block other demands")
{
    KeeperFixture bench;
    bench.keeper.setKeptTargets(makeInventory(2, 1), targetIds(0, 2), {});
    bench.demand(1, 2, "buyers", 0, 100, "a", { TargetId("t0") });
    bench.demand(2, 1);
    const auto grants = bench.turn();
    REQUIRE(slotsOf(grants, 1).size() == 1);
    CHECK(slotsOf(grants, 1)[0].target() == "t1");
    REQUIRE(slotsOf(grants, 2).size() == 1);
    CHECK(slotsOf(grants, 2)[0].target() == "t0");
}

// Guards against a borrower keeping slots for its own jobs while another team waits.
TEST_CASE("reuse is allowed only while nobody else waits")
{
    KeeperFixture bench;
    bench.keeper.setKeptTargets(
        makeInventory(1, 1, { { TeamId("a"), SlotCount(0), 1 }, { TeamId("b"), SlotCount(0), 1 } }), targetIds(0, 1),
        {});
    bench.demand(1, 2, "a");
    auto grants = bench.turn();
    REQUIRE(grants.size() == 1);
    CHECK(grants[0].reusable());
    const auto lease = grants[0].slots(0).lease();
    bench.demand(2, 1, "b", 0, 0, "c");
    grants = bench.turn();
    REQUIRE(grants.size() == 1);
    CHECK(grants[0].demand() == 0);
    CHECK_FALSE(grants[0].reusable());
    CHECK(grants[0].slots(0).lease() == lease);
}

// Guards against a new keeper lending slots on which tasks of the earlier keeper's borrowers still run.
TEST_CASE("a new keeper lends nothing until the live hosts reported or a lease has passed")
{
    KeeperFixture bench;
    bench.keeper.setKeptTargets(makeInventory(1, 2), targetIds(0, 1), { HostId("a"), HostId("b") });
    CHECK(bench.sent.size() == 2);
    CHECK_FALSE(bench.lendOne());
    protocol::Envelope report;
    auto* held = report.mutable_slot_report()->add_slots();
    held->set_lease(77);
    held->set_target("t0");
    report.mutable_slot_report()->add_slots()->set_target("t0");
    bench.keeper.peerMessage(HostId("a"), report);
    bench.keeper.peerMessage(HostId("a"), report);
    CHECK_FALSE(bench.lendOne());
    bench.keeper.hostDied(HostId("b"));
    CHECK(bench.lendOne());
    CHECK_FALSE(bench.lendOne());
    protocol::LentSlot reported;
    reported.set_lease(77);
    reported.set_target("t0");
    bench.giveBack(reported, Slot::SUCCEEDED);
    CHECK(bench.lendOne());
}
