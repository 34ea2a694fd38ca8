#include "emulator/EmulatedFleet.h"

#include <catch2/catch.hpp>

using namespace rattanroad;
using namespace rattanroad::emulator;
using namespace rattanroad::shards;
using namespace std::chrono_literals;

namespace {

bool isDone(const EmulatedFleet::Call& call)
{
    return !call.verdicts.empty() && call.verdicts.back() == EntranceVerdict::Done;
}

/** Shows the hosts' log with the next assertion that fails. */
void showLog(const EmulatedFleet& fleet)
{
    for (const std::string& line : fleet.log())
        UNSCOPED_INFO(line);
}

void requireNoViolations(EmulatedFleet& fleet)
{
    showLog(fleet);
    for (const std::string& violation : fleet.targets().violations())
        UNSCOPED_INFO(violation);
    REQUIRE(fleet.targets().violations().empty());
    showLog(fleet);
}

HostId otherThan(EmulatedFleet& fleet, const HostId& host)
{
    for (const HostId& other : fleet.hosts()) {
        if (other != host && fleet.isUp(other))
            return other;
    }
    return HostId();
}

HostId hostWithoutShard(EmulatedFleet& fleet)
{
    HostId found;
    for (const HostId& host : fleet.hosts()) {
        if (host != fleet.holderOf("north") && host != fleet.holderOf("south"))
            found = host;
    }
    return found;
}

std::optional<JobState> stateOf(EmulatedFleet& fleet, const HostId& host, const std::string& job)
{
    std::optional<JobState> seen;
    fleet.node(host).entrance().query(JobId(job), 1000ms, [&seen](JobEntrance::QueryResult knowledge, JobState state) {
        if (knowledge == JobEntrance::QueryResult::Known)
            seen = state;
    });
    fleet.run(1200ms);
    return seen;
}

}

TEST_CASE("a best-effort job is answered when it ends")
{
    EmulatedFleet fleet;
    fleet.startAll();
    auto& call = fleet.submit(fleet.hosts().front(), "a", 4, 60ms, true);
    fleet.run(1s);
    requireNoViolations(fleet);
    REQUIRE(isDone(call));
    REQUIRE(std::chrono::duration_cast<std::chrono::milliseconds>(call.answeredAt - call.sentAt).count() < 90);
    REQUIRE(fleet.startCount("a") == 4);
    REQUIRE(fleet.store().keys("rattanroad/job/").empty());
}

TEST_CASE("a stored job is accepted, runs once and is shown as done")
{
    EmulatedFleet fleet;
    fleet.startAll();
    auto& call = fleet.submit(fleet.hosts().front(), "a", 4, 60ms, false);
    fleet.run(1s);
    REQUIRE(call.verdicts == std::vector<EntranceVerdict> { EntranceVerdict::Accepted });
    REQUIRE(fleet.startCount("a") == 4);
    REQUIRE(stateOf(fleet, fleet.hosts().back(), "a") == JobState::Done);
    requireNoViolations(fleet);
}

TEST_CASE("a task that always fails ends its job after the allowed attempts")
{
    EmulatedFleet fleet;
    fleet.startAll();
    auto& call = fleet.submit(fleet.hosts().front(), "a", 1, 20ms, true, true);
    fleet.run(1s);
    REQUIRE(call.verdicts == std::vector<EntranceVerdict> { EntranceVerdict::Failed });
    REQUIRE(fleet.startCount("a") == 3);
}

TEST_CASE("runs go on when a draining holder gives its shard up")
{
    EmulatedFleet fleet;
    fleet.startAll();
    const HostId holder = fleet.holderOf("north");
    const HostId entrance = otherThan(fleet, holder);
    auto& call = fleet.submit(entrance, "a", 3, 900ms, true);
    fleet.run(300ms);
    for (const char* const domain : { "north", "south" })
        fleet.node(fleet.holderOf(domain)).drain();
    fleet.run(2s);
    requireNoViolations(fleet);
    REQUIRE(isDone(call));
    REQUIRE(fleet.startCount("a") == 3);
}

TEST_CASE("runs go on when all hosts drain at once")
{
    EmulatedFleet fleet;
    fleet.startAll();
    auto& call = fleet.submit(hostWithoutShard(fleet), "a", 3, 900ms, true);
    fleet.run(300ms);
    for (const HostId& host : fleet.hosts())
        fleet.node(host).drain();
    fleet.run(2s);
    requireNoViolations(fleet);
    REQUIRE(isDone(call));
    REQUIRE(fleet.startCount("a") == 3);
    for (const HostId& host : fleet.hosts())
        REQUIRE(!fleet.node(host).isHolding());
}

TEST_CASE("runs go on when a host that has just started takes the shards of draining hosts")
{
    EmulatedFleet fleet;
    fleet.startAll();
    const HostId entrance = hostWithoutShard(fleet);
    auto& call = fleet.submit(entrance, "a", 3, 1100ms, true);
    fleet.run(50ms);
    HostId restarted;
    for (const HostId& host : fleet.hosts()) {
        const bool holds = host == fleet.holderOf("north") || host == fleet.holderOf("south");
        if (host != entrance && !holds)
            restarted = host;
    }
    fleet.kill(restarted);
    for (const HostId& host : fleet.hosts()) {
        if (host != restarted)
            fleet.node(host).drain();
    }
    fleet.run(300ms);
    fleet.start(restarted);
    fleet.run(2s);
    REQUIRE(fleet.holderOf("north") == restarted);
    requireNoViolations(fleet);
    REQUIRE(isDone(call));
    REQUIRE(fleet.startCount("a") == 3);
}

TEST_CASE("a new holder starts a job again only when the run of the earlier holder has ended")
{
    EmulatedFleet fleet;
    fleet.startAll();
    auto& call = fleet.submit(fleet.hosts().front(), "a", 2, 900ms, true);
    fleet.run(200ms);
    // Killed without a word: the lease ends, another host takes the shard, the caller's entrance asks again.
    for (const char* const domain : { "north", "south" }) {
        const HostId holder = fleet.holderOf(domain);
        if (holder != fleet.hosts().front())
            fleet.kill(holder);
    }
    fleet.run(6s);
    requireNoViolations(fleet);
    REQUIRE(!call.verdicts.empty());
}

TEST_CASE("a host that was cut off does not hand over jobs that it lost long ago")
{
    EmulatedFleet fleet;
    fleet.startAll();
    const HostId holder = fleet.holderOf("north");
    fleet.submit(holder, "a", 2, 900ms, true);
    fleet.run(100ms);
    fleet.isolate(holder);
    fleet.run(4s);
    const std::size_t before = fleet.startCount("a");
    fleet.reconnect(holder);
    fleet.run(3s);
    requireNoViolations(fleet);
    REQUIRE(fleet.startCount("a") == before);
}

TEST_CASE("a job ends before its caller turns to another host when its entrance dies")
{
    EmulatedFleet fleet;
    fleet.startAll();
    const HostId entrance = hostWithoutShard(fleet);
    fleet.submit(entrance, "a", 2, 3s, true);
    fleet.run(100ms);
    REQUIRE(fleet.targets().running() == 2);
    fleet.kill(entrance);
    fleet.run(1200ms);
    REQUIRE(fleet.targets().running() == 0);
    fleet.run(3s);
    requireNoViolations(fleet);
}

TEST_CASE("best-effort jobs are served while the store is away")
{
    EmulatedFleet fleet;
    fleet.startAll();
    const bool doLeasesExpireWhileDown = GENERATE(false, true);
    fleet.store().faults.doLeasesExpireWhileDown = doLeasesExpireWhileDown;
    fleet.store().faults.isDown = true;
    fleet.run(3s);
    auto& during = fleet.submit(fleet.hosts().front(), "a", 2, 100ms, true);
    auto& stored = fleet.submit(fleet.hosts().front(), "b", 2, 100ms, false);
    fleet.run(2s);
    REQUIRE(isDone(during));
    REQUIRE((stored.verdicts.empty() || stored.verdicts.back() != EntranceVerdict::Accepted));
    fleet.store().faults.isDown = false;
    fleet.run(3s);
    auto& after = fleet.submit(fleet.hosts().back(), "c", 2, 100ms, false);
    fleet.run(1s);
    REQUIRE(after.verdicts.back() == EntranceVerdict::Accepted);
    requireNoViolations(fleet);
}

TEST_CASE("an accepted job runs after all hosts lose power right after the answer")
{
    EmulatedFleet fleet;
    fleet.startAll();
    auto& call = fleet.submit(fleet.hosts().front(), "a", 3, 400ms, false);
    REQUIRE(fleet.runUntil([&call] { return !call.verdicts.empty(); }, 1s));
    REQUIRE(call.verdicts.back() == EntranceVerdict::Accepted);
    for (const HostId& host : fleet.hosts())
        fleet.kill(host);
    fleet.run(1500ms);
    for (const HostId& host : fleet.hosts())
        fleet.start(host);
    fleet.run(20s);
    requireNoViolations(fleet);
    REQUIRE(stateOf(fleet, fleet.hosts().front(), "a") == JobState::Done);
}

TEST_CASE("a job whose commit went unanswered is accepted once")
{
    EmulatedFleet fleet;
    fleet.startAll();
    SECTION("carried out") { fleet.store().faults.repliesToLose = 1; }
    SECTION("carried out late") { fleet.store().faults.lateTransactions = 1; }
    auto& call = fleet.submit(fleet.hosts().front(), "a", 2, 100ms, false);
    fleet.run(6s);
    requireNoViolations(fleet);
    REQUIRE(call.verdicts.back() == EntranceVerdict::Accepted);
    REQUIRE(fleet.startCount("a") == 2);
    REQUIRE(stateOf(fleet, fleet.hosts().back(), "a") == JobState::Done);
}

TEST_CASE("a holder that was paused past its lease gives no orders beside its successor")
{
    EmulatedFleet fleet;
    fleet.startAll();
    const HostId holder = fleet.holderOf("north");
    for (int i = 0; i < 8; ++i)
        fleet.submit(holder, "a" + std::to_string(i), 2, 700ms, i % 2 == 0);
    fleet.run(100ms);
    fleet.pause(holder);
    fleet.run(4s);
    fleet.resume(holder);
    fleet.run(20s);
    requireNoViolations(fleet);
    for (int i = 1; i < 8; i += 2)
        REQUIRE(stateOf(fleet, otherThan(fleet, holder), "a" + std::to_string(i)) == JobState::Done);
}

TEST_CASE("a start without an answer does no harm when it is carried out late")
{
    EmulatedFleet fleet;
    fleet.startAll();
    const bool isLate = GENERATE(true, false);
    (isLate ? fleet.targets().faults.lateStarts : fleet.targets().faults.startRepliesToLose) = 2;
    auto& call = fleet.submit(fleet.hosts().front(), "a", 2, 300ms, true);
    fleet.run(8s);
    requireNoViolations(fleet);
    REQUIRE(isDone(call));
}

TEST_CASE("a target that was restarted gets the interrupted tasks again")
{
    EmulatedFleet fleet;
    fleet.startAll();
    auto& call = fleet.submit(fleet.hosts().front(), "a", 4, 500ms, true);
    fleet.run(100ms);
    for (const auto& report : std::map<TargetId, TargetReport>(fleet.targets().reports()))
        fleet.targets().restart(report.first);
    fleet.run(2s);
    requireNoViolations(fleet);
    REQUIRE(isDone(call));
}

TEST_CASE("a holder whose keys the store takes away goes on")
{
    EmulatedFleet fleet;
    fleet.startAll();
    auto& call = fleet.submit(fleet.hosts().front(), "a", 4, 600ms, true);
    fleet.run(50ms);
    for (const char* const domain : { "north", "south" })
        fleet.store().revoke(std::string("rattanroad/fleet/shard/") + domain);
    fleet.store().compact();
    fleet.run(2s);
    requireNoViolations(fleet);
    REQUIRE(isDone(call));
    auto& next = fleet.submit(fleet.hosts().back(), "b", 2, 100ms, false);
    fleet.run(1s);
    REQUIRE(next.verdicts.back() == EntranceVerdict::Accepted);
}

TEST_CASE("a cancelled job starts nothing more and its cancel outlives its holder")
{
    EmulatedFleet fleet;
    fleet.startAll();
    fleet.submit(fleet.hosts().front(), "a", 2, 3s, false);
    fleet.run(200ms);
    bool isAcknowledged = false;
    fleet.node(fleet.hosts().back())
        .entrance()
        .cancel(JobId("a"), 1500ms, [&](JobEntrance::QueryResult known, JobState) {
            isAcknowledged = known == JobEntrance::QueryResult::Known;
        });
    REQUIRE(fleet.runUntil([&] { return isAcknowledged; }, 1s));
    for (const HostId& host : fleet.hosts())
        fleet.kill(host);
    fleet.run(1s);
    for (const HostId& host : fleet.hosts())
        fleet.start(host);
    fleet.run(18s);
    REQUIRE(fleet.targets().running() == 0);
    REQUIRE(fleet.startCount("a") == 2);
    REQUIRE(stateOf(fleet, fleet.hosts().front(), "a") == JobState::Cancelled);
    requireNoViolations(fleet);
}

TEST_CASE("a draining holder serves its shard until another host can take it")
{
    EmulatedFleet fleet;
    fleet.startAll();
    const HostId holder = fleet.holderOf("north");
    fleet.store().faults.isDown = true;
    fleet.run(200ms);
    fleet.node(holder).drain();
    fleet.run(500ms);
    auto& call = fleet.submit(otherThan(fleet, holder), "a", 3, 100ms, true);
    fleet.run(1s);
    REQUIRE(isDone(call));
    REQUIRE(fleet.holderOf("north") == holder);
    fleet.store().faults.isDown = false;
    fleet.run(3s);
    REQUIRE(fleet.holderOf("north") != holder);
    REQUIRE(fleet.holderOf("north") != HostId());
    requireNoViolations(fleet);
}

TEST_CASE("a job that finds no shard waits for one as long as it can be in time")
{
    EmulatedFleet fleet;
    for (const HostId& host : fleet.hosts())
        fleet.start(host);
    fleet.run(100ms);
    auto& patient = fleet.submit(fleet.hosts().front(), "a", 2, 500ms, true);
    auto& urgent = fleet.submit(fleet.hosts().front(), "b", 2, 5ms, true);
    fleet.run(2s);
    REQUIRE(isDone(patient));
    REQUIRE(urgent.verdicts == std::vector<EntranceVerdict> { EntranceVerdict::Refused });
    requireNoViolations(fleet);
}

TEST_CASE("a new holder starts no job again while targets may be missing from the list")
{
    EmulatedFleet fleet;
    fleet.startAll();
    const std::set<HostId> holders { fleet.holderOf("north"), fleet.holderOf("south") };
    const HostId entrance = hostWithoutShard(fleet);
    fleet.store().faults.doLeasesExpireWhileDown = true;
    fleet.store().faults.isDown = true;
    fleet.run(2500ms);
    fleet.submit(entrance, "a", 2, 1400ms, true);
    fleet.run(100ms);
    REQUIRE(fleet.targets().running() == 2);
    // The entries of the targets lapse with the store and come back later than the holders' keys are taken.
    const std::vector<std::string> entries = fleet.store().keys("servers/");
    for (const std::string& entry : entries)
        fleet.store().remove(entry);
    const std::string& listed = entries.back();
    fleet.store().put(listed, "");
    fleet.store().faults.isolatedHosts = holders;
    fleet.store().faults.isDown = false;
    fleet.run(1500ms);
    for (const std::string& entry : entries)
        fleet.store().put(entry, "");
    fleet.run(4s);
    requireNoViolations(fleet);
}

TEST_CASE("a job that was stopped while its entrance was silent is not said to have failed")
{
    EmulatedFleet fleet;
    fleet.startAll();
    const HostId entrance = hostWithoutShard(fleet);
    auto& call = fleet.submit(entrance, "a", 2, 1200ms, true);
    fleet.run(100ms);
    fleet.pause(entrance);
    fleet.run(1200ms);
    REQUIRE(fleet.targets().running() == 0);
    fleet.resume(entrance);
    fleet.run(4s);
    requireNoViolations(fleet);
    REQUIRE(std::count(call.verdicts.begin(), call.verdicts.end(), EntranceVerdict::Failed) == 0);
    REQUIRE(isDone(call));
}

TEST_CASE("tasks leave a target on which nothing ends")
{
    EmulatedFleet fleet;
    fleet.startAll();
    const TargetId north("target-north-0");
    const TargetId south("target-south-0");
    fleet.targets().faults.hangingTargets = { north, south };
    std::size_t done = 0;
    for (int i = 0; i < 30; ++i) {
        auto& call
            = fleet.submit(fleet.hosts()[static_cast<std::size_t>(i) % 4], "a" + std::to_string(i), 2, 60ms, true);
        fleet.run(400ms);
        done += isDone(call) && call.answeredAt - call.sentAt < 100ms;
    }
    showLog(fleet);
    std::size_t starts = 0;
    for (const auto& task : fleet.targets().runs()) {
        starts += static_cast<std::size_t>(std::count_if(task.second.begin(), task.second.end(),
            [&](const auto& run) { return run.target == north || run.target == south; }));
    }
    // At first each shard learns of its target; afterwards it is used no more while others have room.
    CHECK(starts <= 8);
    CHECK(done >= 25);
    requireNoViolations(fleet);
}

TEST_CASE("tasks leave targets that fail what they start")
{
    EmulatedFleet fleet;
    fleet.startAll();
    fleet.run(5s);
    const std::set<TargetId> failing { TargetId("target-north-0"), TargetId("target-south-0") };
    fleet.targets().faults.failingTargets = failing;
    constexpr int jobs = 120;
    for (int i = 0; i < jobs; ++i) {
        fleet.submit(fleet.hosts()[static_cast<std::size_t>(i) % 4], "a" + std::to_string(i), 2, 60ms, true);
        fleet.run(100ms);
    }
    fleet.run(1s);
    std::size_t starts = 0;
    for (const auto& task : fleet.targets().runs()) {
        starts += static_cast<std::size_t>(std::count_if(
            task.second.begin(), task.second.end(), [&](const auto& run) { return failing.count(run.target) != 0; }));
    }
    // Two at first on each, then one after each pause of 0.5, 1, 2 and 4 s; two more may be under way at first.
    CHECK(starts <= 16);
    for (const auto& call : fleet.calls())
        CHECK(isDone(call));
    requireNoViolations(fleet);
}

TEST_CASE("jobs that cannot be done leave the targets in use")
{
    EmulatedFleet fleet;
    fleet.startAll();
    fleet.run(5s);
    std::size_t inTime = 0;
    constexpr std::size_t jobs = 120;
    for (std::size_t i = 0; i < jobs; ++i) {
        const bool fails = i % 4 == 0;
        fleet.submit(fleet.hosts()[i % 4], "a" + std::to_string(i), 2, 100ms, true, fails);
        fleet.run(50ms);
    }
    fleet.run(2s);
    for (const auto& call : fleet.calls())
        inTime += isDone(call) && call.answeredAt - call.sentAt <= 220ms;
    // A third of the room is used; at most a tenth of the jobs that can be done may be late.
    REQUIRE(inTime >= jobs * 3 / 4 * 9 / 10);
    requireNoViolations(fleet);
}

TEST_CASE("a job stays in its shard while its holder is silent")
{
    EmulatedFleet fleet;
    fleet.startAll();
    const HostId entrance = hostWithoutShard(fleet);
    // A caller that waits for long; its entrance hears nothing for several seconds.
    fleet.setCallerWait(12s);
    auto& call = fleet.submit(entrance, "a", 2, 900ms, true);
    fleet.run(100ms);
    fleet.isolate(entrance);
    fleet.run(3400ms);
    fleet.reconnect(entrance);
    fleet.run(8s);
    requireNoViolations(fleet);
    std::set<std::string> shards;
    for (const auto& task : fleet.targets().runs()) {
        for (const auto& run : task.second)
            shards.insert(fleet.targets().reports().at(run.target).failureDomain.value());
    }
    REQUIRE(shards.size() == 1);
    REQUIRE(isDone(call));
}

TEST_CASE("a job that is sent again to another host stays in its shard while its run cannot be stopped")
{
    EmulatedFleet fleet;
    fleet.startAll();
    fleet.run(5s);
    const HostId entrance = hostWithoutShard(fleet);
    auto& call = fleet.submit(entrance, "a", 1, 2500ms, true);
    fleet.run(200ms);
    fleet.targets().faults.lateStops = 100;
    fleet.kill(entrance);
    fleet.run(2s);
    REQUIRE(call.attempts == 2);
    fleet.targets().faults.lateStops = 0;
    fleet.run(8s);
    requireNoViolations(fleet);
}

TEST_CASE("a late start does not run in the next life of its target")
{
    EmulatedFleet::Settings settings;
    settings.domains = { "north" };
    settings.targetsPerDomain = 2;
    EmulatedFleet fleet(settings);
    fleet.startAll();
    fleet.run(5s);
    auto& faults = fleet.targets().faults;
    faults.lateStarts = 1;
    faults.lateBy = 2s;
    faults.doRepeatsFailToConnect = true;
    auto& call = fleet.submit(fleet.hosts().front(), "a", 1, 3s, true);
    fleet.setCallerWait(8s);
    fleet.run(600ms);
    // It was stopped and has started again; the late start is still on the way.
    REQUIRE(fleet.targets().running() == 1);
    const auto reports = fleet.targets().reports();
    for (const auto& report : reports)
        fleet.targets().restart(report.first);
    fleet.run(6s);
    requireNoViolations(fleet);
    REQUIRE(fleet.startCount("a") == 2);
    REQUIRE(!call.verdicts.empty());
}

TEST_CASE("jobs end in time while one order in seven is delayed")
{
    // Half of the room of six targets with two tasks each.
    const auto [tasks, duration, interval, objective]
        = GENERATE(std::make_tuple(2U, 200ms, 67ms, 380ms), std::make_tuple(4U, 60ms, 40ms, 156ms));
    EmulatedFleet fleet;
    fleet.startAll();
    fleet.run(5s);
    fleet.targets().faults.delayEvery = 7;
    std::size_t inTime = 0;
    constexpr std::size_t jobs = 150;
    for (std::size_t i = 0; i < jobs; ++i) {
        fleet.submit(fleet.hosts()[i % 4], "a" + std::to_string(i), tasks, duration, true);
        fleet.run(interval);
    }
    fleet.targets().faults.delayEvery = 0;
    fleet.run(4s);
    for (const auto& call : fleet.calls())
        inTime += isDone(call) && call.answeredAt - call.sentAt <= objective;
    requireNoViolations(fleet);
    INFO(tasks << " tasks of " << duration.count() << " ms");
    // The highest worth that callers expect of a day with trouble is 0.743.
    REQUIRE(inTime >= jobs * 3 / 4);
}

TEST_CASE("a start that is on the way is not given up when its repetition finds no connection")
{
    EmulatedFleet fleet;
    fleet.startAll();
    fleet.run(5s);
    auto& faults = fleet.targets().faults;
    faults.lateStarts = 1;
    faults.lateBy = 200ms;
    faults.doRepeatsFailToConnect = true;
    auto& call = fleet.submit(fleet.hosts().front(), "a", 1, 400ms, true);
    fleet.run(4s);
    requireNoViolations(fleet);
    REQUIRE(isDone(call));
}

TEST_CASE("a host keeps the newest configuration that it has seen")
{
    EmulatedFleet fleet;
    fleet.startAll();
    fleet.store().put("config", "5");
    fleet.run(1s);
    fleet.store().put("config", "3");
    fleet.run(1s);
    for (const HostId& host : fleet.hosts())
        REQUIRE(fleet.node(host).queues()->version == 5);
    fleet.store().put("config", "6");
    fleet.run(1s);
    for (const HostId& host : fleet.hosts())
        REQUIRE(fleet.node(host).queues()->version == 6);
}
