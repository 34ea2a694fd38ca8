#include "routing/support/KeeperFixture.h"

#include <catch2/catch.hpp>

using namespace rattanroad;
using namespace rattanroad::test;
using namespace std::chrono_literals;

namespace {

using Slot = protocol::ReturnedSlot;

std::vector<protocol::LentSlot> slotsGrantedTo(const std::vector<protocol::SlotGrant>& grants, std::uint64_t demand)
{
    std::vector<protocol::LentSlot> slots;
    for (const auto& grant : grants) {
        if (grant.demand() == demand)
            slots.insert(slots.end(), grant.slots().begin(), grant.slots().end());
    }
    return slots;
}

std::vector<Team> makeTeams(int count, std::uint32_t quota)
{
    std::vector<Team> teams;
    teams.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index)
        teams.push_back({ TeamId("team" + std::to_string(index)), SlotCount(quota), 1 });
    return teams;
}

}

// Guards against slots that are never freed after a lost grant or the death of a borrower.
TEST_CASE("a slot whose lease is not renewed is free after the lease")
{
    KeeperFixture fixture;
    fixture.keeper.setKeptTargets(makeInventory(1, 2), targetIds(0, 1), {});
    fixture.demand(1, 2);
    REQUIRE(slotsGrantedTo(fixture.runLoopIteration(), 1).size() == 2);
    fixture.keeper.hostDied(HostId("a"));
    fixture.clock.advance(1900ms);
    CHECK_FALSE(fixture.requestSlot());
    fixture.clock.advance(200ms);
    CHECK(fixture.requestSlot());
    CHECK(fixture.keeper.statistics().leasesExpired == 2);
}

// Guards against a running task losing its slot to another task.
TEST_CASE("a kept slot has its lease renewed")
{
    KeeperFixture fixture;
    fixture.keeper.setKeptTargets(makeInventory(1, 1), targetIds(0, 1), {});
    const auto slot = fixture.requestSlot();
    REQUIRE(slot);
    fixture.clock.advance(1500ms);
    fixture.returnSlot(*slot, Slot::UNUSED, 0, "a", true);
    fixture.clock.advance(1500ms);
    CHECK_FALSE(fixture.requestSlot());
    fixture.clock.advance(600ms);
    CHECK(fixture.requestSlot());
}

// Guards against duplicated or late returns, or returns by another host, freeing a slot that is leased to someone else.
TEST_CASE("a slot return takes effect once, before its lease expires, and only from the holder")
{
    KeeperFixture fixture;
    fixture.keeper.setKeptTargets(makeInventory(1, 1), targetIds(0, 1), {});
    const auto first = fixture.requestSlot();
    REQUIRE(first);
    fixture.returnSlot(*first, Slot::SUCCEEDED);
    const auto second = fixture.requestSlot();
    REQUIRE(second);
    fixture.returnSlot(*first, Slot::SUCCEEDED);
    CHECK_FALSE(fixture.requestSlot());
    fixture.clock.advance(2100ms);
    const auto third = fixture.requestSlot();
    REQUIRE(third);
    fixture.returnSlot(*second, Slot::SUCCEEDED);
    CHECK_FALSE(fixture.requestSlot());
    fixture.returnSlot(*third, Slot::SUCCEEDED, 100, "not-the-holder");
    CHECK_FALSE(fixture.requestSlot());
    CHECK(fixture.status("t0").used == SlotCount(1));
}

// Guards against a demand being granted again when its message is duplicated, or granted after its withdrawal when the
// withdrawal arrives first.
TEST_CASE("the count of a demand is a total, and an ended demand stays ended")
{
    KeeperFixture fixture;
    fixture.keeper.setKeptTargets(makeInventory(1, 8), targetIds(0, 1), {});
    fixture.demand(1, 2);
    fixture.demand(1, 2);
    CHECK(slotsGrantedTo(fixture.runLoopIteration(), 1).size() == 2);
    fixture.demand(1, 2);
    CHECK(slotsGrantedTo(fixture.runLoopIteration(), 1).empty());
    fixture.demand(2, 0);
    fixture.demand(2, 0);
    fixture.demand(2, 3);
    CHECK(slotsGrantedTo(fixture.runLoopIteration(), 2).empty());
    CHECK(fixture.keeper.statistics().demandsWaiting == 0);
}

// Guards against an urgent or old job waiting behind a newer one, and against a team with many jobs starving the
// others.
TEST_CASE("demands are served by priority, then fairness between teams, then age")
{
    KeeperFixture fixture;
    fixture.keeper.setKeptTargets(
        makeInventory(1, 1, { { TeamId("a"), SlotCount(0), 1 }, { TeamId("b"), SlotCount(0), 1 } }), targetIds(0, 1),
        {});
    fixture.demand(1, 1, "a", 0, 10);
    fixture.demand(2, 1, "a", 0, 50);
    fixture.demand(3, 1, "b", 0, 0);
    fixture.demand(4, 1, "b", 5, 0);
    std::vector<std::uint64_t> order;
    for (int round = 0; round < 4; ++round) {
        const auto grants = fixture.runLoopIteration();
        REQUIRE(grants.size() == 1);
        order.push_back(grants[0].demand());
        fixture.returnSlot(grants[0].slots(0), Slot::SUCCEEDED);
    }
    // Team b has had a slot for its urgent job, so the older job of team a is next; then age decides again.
    CHECK(order == std::vector<std::uint64_t> { 4, 2, 1, 3 });
}

// Guards against a team getting more than its weighted share when all teams wait.
TEST_CASE("waiting teams share slots by weight")
{
    KeeperFixture fixture;
    fixture.keeper.setKeptTargets(
        makeInventory(1, 1, { { TeamId("a"), SlotCount(0), 3 }, { TeamId("b"), SlotCount(0), 1 } }), targetIds(0, 1),
        {});
    fixture.demand(1, 400, "a", 0, 9000);
    fixture.demand(2, 400, "b", 0, 0);
    int servedToTeamA = 0;
    for (int round = 0; round < 400; ++round) {
        const auto grants = fixture.runLoopIteration();
        REQUIRE(grants.size() == 1);
        servedToTeamA += grants[0].demand() == 1 ? 1 : 0;
        fixture.returnSlot(grants[0].slots(0), Slot::SUCCEEDED);
    }
    CHECK(servedToTeamA >= 295);
    CHECK(servedToTeamA <= 305);
}

// Guards against one of 34 teams holding more than its quota, and against idle slots while other teams are at theirs.
TEST_CASE("team quotas hold under contention of 34 teams")
{
    KeeperFixture fixture;
    // The keeper has 4 of 8 targets, so 10 slots of quota are 5 here.
    fixture.keeper.setKeptTargets(makeInventory(8, 8, makeTeams(34, 10)), targetIds(0, 4), {});
    for (int team = 0; team < 34; ++team)
        fixture.demand(static_cast<std::uint64_t>(team) + 1, 100, "team" + std::to_string(team));
    std::map<std::uint64_t, std::size_t> held;
    for (const auto& grant : fixture.runLoopIteration())
        held[grant.demand()] += static_cast<std::size_t>(grant.slots_size());
    std::size_t sum = 0;
    for (const auto& [demand, count] : held) {
        CHECK(count <= 2);
        sum += count;
    }
    CHECK(held.size() == 32);
    CHECK(sum == 32);
    KeeperFixture singleTeamFixture;
    singleTeamFixture.keeper.setKeptTargets(makeInventory(8, 8, makeTeams(34, 10)), targetIds(0, 4), {});
    singleTeamFixture.demand(1, 100, "team0");
    CHECK(slotsGrantedTo(singleTeamFixture.runLoopIteration(), 1).size() == 5);
}

// Guards against tasks on a target that is being removed.
TEST_CASE("leaving targets get no grants")
{
    KeeperFixture fixture;
    fixture.keeper.setKeptTargets(makeInventory(2, 4, {}, { 0 }), targetIds(0, 2), {});
    fixture.demand(1, 8);
    for (const auto& slot : slotsGrantedTo(fixture.runLoopIteration(), 1))
        CHECK(slot.target() == "t1");
    fixture.keeper.setLeavingTargets({ TargetId("t1") });
    const auto grants = fixture.runLoopIteration();
    const bool isRefused = std::any_of(
        fixture.sent.begin(), fixture.sent.end(), [](const auto& each) { return each.second.slot_grant().refused(); });
    CHECK((isRefused || fixture.keeper.statistics().demandsWaiting == 0));
    fixture.demand(2, 1);
    CHECK(slotsGrantedTo(fixture.runLoopIteration(), 2).empty());
}

// Guards against a job that waits forever for a kind of work that no target runs.
TEST_CASE("a demand that no kept target can serve is refused with a typed reason")
{
    KeeperFixture fixture;
    fixture.keeper.setKeptTargets(makeInventory(1, 4), targetIds(0, 1), {});
    protocol::Envelope envelope;
    envelope.mutable_slot_demand()->set_demand(7);
    envelope.mutable_slot_demand()->set_kind("unheard-of");
    envelope.mutable_slot_demand()->set_count(1);
    fixture.keeper.peerMessage(HostId("a"), envelope);
    REQUIRE(fixture.sent.size() == 1);
    const auto& grant = fixture.sent[0].second.slot_grant();
    CHECK(grant.refused());
    CHECK(protocol::fromMessage(grant.reason()).code == FailureCode::NoEligibleTarget);
    CHECK(protocol::fromMessage(grant.reason()).runState == RunState::NotRun);
}

// Guards against a retried task running again on the target where it failed.
TEST_CASE("excluded targets are not lent and do not block other demands")
{
    KeeperFixture fixture;
    fixture.keeper.setKeptTargets(makeInventory(2, 1), targetIds(0, 2), {});
    fixture.demand(1, 2, "buyers", 0, 100, "a", { TargetId("t0") });
    fixture.demand(2, 1);
    const auto grants = fixture.runLoopIteration();
    REQUIRE(slotsGrantedTo(grants, 1).size() == 1);
    CHECK(slotsGrantedTo(grants, 1)[0].target() == "t1");
    REQUIRE(slotsGrantedTo(grants, 2).size() == 1);
    CHECK(slotsGrantedTo(grants, 2)[0].target() == "t0");
}

// Guards against a borrower keeping slots for its own jobs while another team waits.
TEST_CASE("a slot is reusable only while no other demand waits for it")
{
    KeeperFixture fixture;
    fixture.keeper.setKeptTargets(
        makeInventory(1, 1, { { TeamId("a"), SlotCount(0), 1 }, { TeamId("b"), SlotCount(0), 1 } }), targetIds(0, 1),
        {});
    fixture.demand(1, 2, "a");
    auto grants = fixture.runLoopIteration();
    REQUIRE(grants.size() == 1);
    CHECK(grants[0].reusable());
    const auto lease = grants[0].slots(0).lease();
    fixture.demand(2, 1, "b", 0, 0, "c");
    grants = fixture.runLoopIteration();
    REQUIRE(grants.size() == 1);
    CHECK(grants[0].demand() == 0);
    CHECK_FALSE(grants[0].reusable());
    CHECK(grants[0].slots(0).lease() == lease);
}

// Guards against a new keeper lending slots that the earlier keeper lent and that still run tasks.
TEST_CASE("a new keeper lends no slot before all live hosts have reported or died")
{
    KeeperFixture fixture;
    fixture.keeper.setKeptTargets(makeInventory(1, 2), targetIds(0, 1), { HostId("a"), HostId("b") });
    CHECK(fixture.sent.size() == 2);
    CHECK_FALSE(fixture.requestSlot());
    protocol::Envelope report;
    auto* held = report.mutable_slot_report()->add_slots();
    held->set_lease(77);
    held->set_target("t0");
    report.mutable_slot_report()->add_slots()->set_target("t0");
    fixture.keeper.peerMessage(HostId("a"), report);
    fixture.keeper.peerMessage(HostId("a"), report);
    CHECK_FALSE(fixture.requestSlot());
    fixture.keeper.hostDied(HostId("b"));
    CHECK(fixture.requestSlot());
    CHECK_FALSE(fixture.requestSlot());
    protocol::LentSlot reported;
    reported.set_lease(77);
    reported.set_target("t0");
    fixture.returnSlot(reported, Slot::SUCCEEDED);
    CHECK(fixture.requestSlot());
}
