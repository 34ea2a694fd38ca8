#include "shards/FleetChecks.h"

#include <algorithm>

using namespace rattanroad;
using namespace rattanroad::emulator;
using namespace rattanroad::shards;
using namespace std::chrono_literals;

namespace {

EmulatedFleet::Settings settingsOf(int hostsPerDomain)
{
    EmulatedFleet::Settings settings;
    settings.hostsPerDomain = hostsPerDomain;
    return settings;
}

bool isDone(const EmulatedFleet::Call& call)
{
    return call.verdicts == std::vector<EntranceVerdict> { EntranceVerdict::Done };
}

/** Returns a host of a failure domain that holds no shard, starting with the last one. */
HostId hostWithoutShard(EmulatedFleet& fleet, const std::string& domain)
{
    HostId found;
    for (const HostId& host : fleet.hosts()) {
        const bool isOfDomain = host.value().compare(0, domain.size(), domain) == 0;
        if (isOfDomain && host != fleet.holderOf("north") && host != fleet.holderOf("south"))
            found = host;
    }
    return found;
}

/** What a host of a calm fleet sends, receives and reads in 10 s. */
struct CalmTraffic {
    explicit CalmTraffic(int hostsPerDomain)
    {
        EmulatedFleet fleet(settingsOf(hostsPerDomain));
        fleet.startAll();
        fleet.run(5s);
        const auto before = sum(fleet);
        fleet.run(10s);
        const auto after = sum(fleet);
        const auto perHost = [&fleet](std::uint64_t from, std::uint64_t to) {
            return static_cast<double>(to - from) / static_cast<double>(fleet.hosts().size());
        };
        messages = perHost(before.messagesSent, after.messagesSent);
        bytes = perHost(before.bytesSent, after.bytesSent);
        storeCalls = perHost(before.storeCalls, after.storeCalls);
        targetEntries = perHost(before.targetEntries, after.targetEntries);
    }

    double messages { 0 };
    double bytes { 0 };
    double storeCalls { 0 };
    double targetEntries { 0 };

private:
    static EmulatedFleet::Traffic sum(const EmulatedFleet& fleet)
    {
        EmulatedFleet::Traffic sum;
        for (const HostId& host : fleet.hosts()) {
            const EmulatedFleet::Traffic& traffic = fleet.trafficOf(host);
            sum.messagesSent += traffic.messagesSent;
            sum.bytesSent += traffic.bytesSent;
            sum.storeCalls += traffic.storeCalls;
            sum.targetEntries += traffic.targetEntries;
        }
        return sum;
    }
};

}

// Hosts that send to all others, or read all targets, cost more with each host that is added.
TEST_CASE("what a host of a calm fleet sends and reads does not grow with the number of hosts")
{
    const CalmTraffic few(15);
    const CalmTraffic many(60);
    CHECK(many.messages <= few.messages * 1.1);
    CHECK(many.bytes <= few.bytes * 1.1);
    CHECK(many.storeCalls <= few.storeCalls * 1.1);
    CHECK(many.targetEntries <= few.targetEntries);
}

TEST_CASE("a host chooses among the shards without a gap when its feeder dies")
{
    EmulatedFleet fleet(settingsOf(4));
    fleet.startAll();
    fleet.run(5s);
    const HostId origin = hostWithoutShard(fleet, "north");
    fleet.kill(fleet.holderOf("north"));
    for (int i = 0; i < 15; ++i) {
        fleet.run(100ms);
        CHECK(fleet.node(origin).isReady());
    }
    EmulatedFleet::Call& call = fleet.submit(origin, "a", 1, 50ms, true);
    fleet.run(300ms);
    CHECK(isDone(call));
    requireNoViolations(fleet);
}

TEST_CASE("a host that cannot reach the store learns of the new holders of all shards")
{
    EmulatedFleet fleet(settingsOf(4));
    fleet.startAll();
    fleet.run(5s);
    const HostId origin = hostWithoutShard(fleet, "north");
    fleet.store().faults.refusedHosts.insert(origin);
    for (const char* const domain : { "north", "south" })
        fleet.kill(fleet.holderOf(domain));
    fleet.run(6s);
    EmulatedFleet::Call& call = fleet.submit(origin, "a", 8, 50ms, true);
    fleet.run(500ms);
    showLog(fleet);
    CHECK(isDone(call));
    requireNoViolations(fleet);
}

TEST_CASE("a holder that cannot reach the store stops when a host that has just started takes its shard over")
{
    EmulatedFleet fleet(settingsOf(3));
    fleet.startAll();
    fleet.run(5s);
    const HostId holder = fleet.holderOf("north");
    for (const HostId& host : fleet.hosts()) {
        if (host != holder && host.value().compare(0, 5, "north") == 0)
            fleet.kill(host);
    }
    fleet.store().faults.refusedHosts.insert(holder);
    fleet.run(1700ms);
    for (const HostId& host : fleet.hosts()) {
        if (!fleet.isUp(host))
            fleet.start(host);
    }
    REQUIRE(fleet.runUntil(
        [&] {
            for (const HostId& host : fleet.hosts()) {
                if (host != holder && fleet.node(host).dispatcher(ShardId("north")))
                    return true;
            }
            return false;
        },
        4s));
    // The new holder reads the target list this long after its acquisition and relies on it from then on.
    fleet.run(500ms);
    showLog(fleet);
    CHECK(!fleet.node(holder).dispatcher(ShardId("north")));
}

TEST_CASE("a host of an earlier build, which does not subscribe to loads, serves its callers beside later ones")
{
    EmulatedFleet fleet(settingsOf(3));
    const HostId earlier("north-2");
    fleet.setEarlierBuild(earlier);
    fleet.startAll();
    fleet.run(5s);
    REQUIRE(fleet.holderOf("north") != earlier);
    EmulatedFleet::Call& call = fleet.submit(earlier, "a", 8, 50ms, true);
    fleet.run(500ms);
    CHECK(isDone(call));
    requireNoViolations(fleet);
}

// While a holder is gone, every job whose home asks it has an unknown shard.
TEST_CASE("jobs end in time at new holders while another shard has no holder")
{
    EmulatedFleet::Settings settings;
    settings.domains = { "north", "south", "west" };
    settings.hostsPerDomain = 3;
    EmulatedFleet fleet(settings);
    fleet.startAll();
    fleet.run(5s);
    for (const char* const domain : { "north", "south" })
        fleet.kill(fleet.holderOf(domain));
    fleet.run(4s);
    fleet.kill(fleet.holderOf("west"));
    const HostId origin = hostWithoutShard(fleet, "north");
    for (int i = 0; i < 60; ++i) {
        fleet.submit(origin, "job-" + std::to_string(i), 1, 100ms, true);
        fleet.run(20ms);
    }
    fleet.run(1s);
    showLog(fleet);
    int inTime = 0;
    for (const auto& call : fleet.calls())
        inTime += isDone(call) && call.answeredAt - call.sentAt <= 400ms;
    CHECK(inTime >= 54);
    requireNoViolations(fleet);
}

// Its caller may have submitted the job to another host, whose run the job would overlap.
TEST_CASE("an origin that was paused repeats no submission before it has seen that its caller has left")
{
    EmulatedFleet fleet(settingsOf(3));
    fleet.startAll();
    fleet.run(5s);
    const HostId origin = hostWithoutShard(fleet, "north");
    protocol::PlacedJob job = fleet.submit(origin, "a", 1, 10ms, true).description;
    fleet.run(500ms);
    job.set_id("b");
    job.set_payload(taskPayload(8s, { 14000, 64, 0 }));
    job.mutable_phases(0)->set_estimated_ms(8000);
    const std::uint64_t submission
        = fleet.node(origin).entrance().submit(job, 10s, [](EntranceVerdict, std::chrono::milliseconds) {});
    fleet.run(100ms);
    REQUIRE(fleet.targets().running() == 1);
    fleet.pause(origin);
    fleet.run(3s);
    REQUIRE(fleet.targets().running() == 0);
    fleet.resume(origin);
    fleet.queue().after(1ms, [&] { fleet.node(origin).entrance().abandon(submission); });
    fleet.run(1s);
    showLog(fleet);
    CHECK(fleet.startCount("b") == 1);
}

// The first host to start, or a large one that joins, may have no list at all when it acquires a shard.
TEST_CASE("a host that has not followed the target list refuses no job when it acquires a shard")
{
    EmulatedFleet fleet(settingsOf(6));
    fleet.startAll();
    fleet.run(15s);
    const HostId holder = fleet.holderOf("north");
    HostId successor;
    for (const HostId& host : fleet.hosts()) {
        const bool isFollower = std::any_of(fleet.log().begin(), fleet.log().end(), [&host](const std::string& line) {
            return line.find(host.value() + " target_list_followed") != std::string::npos;
        });
        if (!isFollower && host.value().compare(0, 5, "north") == 0)
            successor = host;
    }
    REQUIRE(!successor.value().empty());
    for (const HostId& host : fleet.hosts()) {
        if (host != successor && host.value().compare(0, 5, "north") == 0)
            fleet.kill(host);
    }
    for (int i = 0; i < 200; ++i) {
        fleet.submit(successor, "job-" + std::to_string(i), 1, 20ms, true);
        fleet.run(20ms);
    }
    fleet.run(2s);
    REQUIRE(fleet.holderOf("north") == successor);
    showLog(fleet);
    for (const auto& call : fleet.calls()) {
        INFO(call.job.value());
        CHECK(std::count(call.verdicts.begin(), call.verdicts.end(), EntranceVerdict::Refused) == 0);
    }
    requireNoViolations(fleet);
}
