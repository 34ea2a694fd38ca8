#include "shards/FleetChecks.h"

using namespace rattanroad;
using namespace rattanroad::emulator;
using namespace rattanroad::shards;
using namespace std::chrono_literals;

namespace {

bool isAccepted(const EmulatedFleet::Call& call)
{
    return !call.verdicts.empty() && call.verdicts.back() == EntranceVerdict::Accepted;
}

void refuseAllHosts(EmulatedFleet& fleet)
{
    for (const HostId& host : fleet.hosts())
        fleet.store().faults.refusedHosts.insert(host);
}

/** Asks a host for the state of a job once. */
bool isShownAsEnded(EmulatedFleet& fleet, const HostId& host, const std::string& job)
{
    bool isEnded = false;
    fleet.node(host).entrance().query(JobId(job), 100ms, [&isEnded](JobEntrance::QueryResult result, JobState state) {
        isEnded = result == JobEntrance::QueryResult::Known && hasEnded(state);
    });
    fleet.run(110ms);
    return isEnded;
}

/** Returns the shard on whose targets the first task of a job runs. */
std::string shardOf(EmulatedFleet& fleet, const std::string& job)
{
    const TargetId target = fleet.targets().runs().at({ JobId(job), 0, 0 }).front().target;
    return fleet.targets().reports().at(target).failureDomain.value();
}

}

// Guards against a holder that refuses all stored jobs for good after the store has refused its transactions once: no
// record was left to be written again, and only a written record showed that the store was back.
TEST_CASE("stored jobs are accepted again after the store has refused calls for a second")
{
    EmulatedFleet fleet;
    fleet.startAll();
    for (const HostId& host : fleet.hosts())
        fleet.store().faults.refusedHosts.insert(host);
    auto& refused = fleet.submit(fleet.hosts().front(), "a", 1, 50ms, false);
    fleet.run(1s);
    REQUIRE(refused.verdicts.front() == EntranceVerdict::Refused);
    fleet.store().faults.refusedHosts.clear();
    fleet.run(200ms);
    std::vector<EmulatedFleet::Call*> calls;
    calls.reserve(8);
    for (int i = 0; i < 8; ++i)
        calls.push_back(&fleet.submit(fleet.hosts().front(), "b" + std::to_string(i), 1, 50ms, false));
    fleet.run(1s);
    for (const EmulatedFleet::Call* const call : calls)
        REQUIRE(isAccepted(*call));
    REQUIRE(fleet.startCount("a") == 0);
    requireNoViolations(fleet);
}

// Guards against a state that is shown and then lost: targets forget what they ran when they leave, so only the record
// tells the next holder that a job has ended.
TEST_CASE("the end of a stored job is shown once its record holds it")
{
    EmulatedFleet fleet;
    fleet.startAll();
    const HostId origin = fleet.holderOf("north");
    auto& call = fleet.submit(origin, "a", 1, 300ms, false);
    fleet.run(150ms);
    REQUIRE(isAccepted(call));
    refuseAllHosts(fleet);
    fleet.run(500ms);
    REQUIRE(fleet.targets().running() == 0);
    const std::string shard = shardOf(fleet, "a");
    REQUIRE(fleet.node(fleet.holderOf(shard)).dispatcher(ShardId(shard))->state(JobId("a")) == JobState::Running);
    for (const HostId& host : fleet.hosts())
        REQUIRE_FALSE(isShownAsEnded(fleet, host, "a"));
    fleet.store().faults.refusedHosts.clear();
    fleet.run(300ms);
    REQUIRE(stateOf(fleet, origin, "a") == JobState::Done);
    requireNoViolations(fleet);
}

// Guards against a cancellation that one host shows for good while a later holder, which never learned of it, runs the
// job.
TEST_CASE("a cancelled stored job is shown as cancelled once its record holds it")
{
    EmulatedFleet fleet;
    fleet.startAll();
    const HostId origin = fleet.holderOf("north");
    auto& call = fleet.submit(origin, "a", 1, 2s, false);
    fleet.run(150ms);
    REQUIRE(isAccepted(call));
    refuseAllHosts(fleet);
    bool isAnswered = false;
    fleet.node(origin).entrance().cancel(JobId("a"), 400ms, [&isAnswered](JobEntrance::QueryResult result, JobState) {
        isAnswered = result == JobEntrance::QueryResult::Known;
    });
    fleet.run(500ms);
    REQUIRE_FALSE(isAnswered);
    const std::string shard = shardOf(fleet, "a");
    REQUIRE(fleet.node(fleet.holderOf(shard)).dispatcher(ShardId(shard))->state(JobId("a")) == JobState::Running);
    for (const HostId& host : fleet.hosts())
        REQUIRE_FALSE(isShownAsEnded(fleet, host, "a"));
    fleet.store().faults.refusedHosts.clear();
    fleet.run(300ms);
    for (const HostId& host : fleet.hosts())
        REQUIRE(stateOf(fleet, host, "a") == JobState::Cancelled);
}

// Guards against the loss of an end that only the holder knows: the store refuses the holder until another host has
// acquired its shard, and the target that ran the job leaves before that host polls it.
TEST_CASE("a holder hands over the ends that it could not store")
{
    EmulatedFleet fleet;
    fleet.startAll();
    const HostId origin = fleet.holderOf("north");
    auto& call = fleet.submit(origin, "a", 1, 300ms, false);
    fleet.run(150ms);
    REQUIRE(isAccepted(call));
    const std::string shard = shardOf(fleet, "a");
    const HostId holder = fleet.holderOf(shard);
    const TargetId target = fleet.targets().runs().begin()->second.front().target;
    fleet.store().faults.refusedHosts.insert(holder);
    fleet.run(500ms);
    REQUIRE(fleet.targets().running() == 0);
    fleet.targets().remove(target);
    fleet.unlistTarget(target);
    REQUIRE(fleet.runUntil([&] { return fleet.holderOf(shard) != holder; }, 6s));
    fleet.run(1s);
    REQUIRE(fleet.store().faults.refusedHosts.count(holder) == 1);
    for (const HostId& host : fleet.hosts()) {
        if (host != holder)
            REQUIRE(stateOf(fleet, host, "a") == JobState::Done);
    }
    fleet.store().faults.refusedHosts.clear();
    fleet.run(20s);
    REQUIRE(fleet.startCount("a") == 1);
    requireNoViolations(fleet);
}
