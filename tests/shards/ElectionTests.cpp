#include "emulator/EmulatedFleet.h"

#include <catch2/catch.hpp>

using namespace rattanroad;
using namespace rattanroad::emulator;
using namespace rattanroad::shards;
using namespace std::chrono_literals;

namespace {

/** Returns the lines of the log that contain @p text. */
std::vector<std::string> logLines(const EmulatedFleet& fleet, const std::string& text)
{
    std::vector<std::string> lines;
    for (const std::string& line : fleet.log()) {
        if (line.find(text) != std::string::npos)
            lines.push_back(line);
    }
    return lines;
}

/** A single failure domain in which each host has the given processor time. */
EmulatedFleet::Settings settingsOf(const std::vector<std::uint32_t>& millicores)
{
    EmulatedFleet::Settings settings;
    settings.domains = { "north" };
    settings.hostsPerDomain = static_cast<int>(millicores.size());
    for (std::size_t i = 0; i < millicores.size(); ++i) {
        if (millicores[i] != 0)
            settings.processors[HostId("north-" + std::to_string(i))] = HostMillicores(millicores[i]);
    }
    return settings;
}

}

TEST_CASE("the log names the processor time of the holder of a shard")
{
    EmulatedFleet fleet(settingsOf({ 300 }));
    fleet.startAll();
    const auto acquired = logLines(fleet, "north-0 shard_acquired");
    REQUIRE(acquired.size() == 1);
    CHECK_THAT(acquired.front(), Catch::Contains("millicores=300"));
}

TEST_CASE("a shard is not acquired by a small host while a large one is live")
{
    const auto largest = GENERATE(range(0, 4));
    std::vector<std::uint32_t> millicores(4, 90);
    millicores[static_cast<std::size_t>(largest)] = 500;
    EmulatedFleet fleet(settingsOf(millicores));
    fleet.startAll();
    REQUIRE(fleet.holderOf("north") == HostId("north-" + std::to_string(largest)));
}

TEST_CASE("after the death of a holder its shard goes to the largest host that is left")
{
    EmulatedFleet fleet(settingsOf({ 90, 300, 90, 500, 90, 500 }));
    fleet.startAll();
    for (const std::uint32_t expected : { 500U, 500U, 300U, 90U }) {
        const HostId holder = fleet.holderOf("north");
        CHECK(fleet.processorOf(holder) == HostMillicores(expected));
        fleet.kill(holder);
        fleet.run(4s);
    }
}

// Whichever host registers first sees no other and acquires the shard.
TEST_CASE("a shard moves to a much larger host that starts later, and its runs go on")
{
    EmulatedFleet fleet(settingsOf({ 90, 500, 90 }));
    fleet.start(HostId("north-0"));
    fleet.run(1s);
    REQUIRE(fleet.holderOf("north") == HostId("north-0"));
    fleet.startAll();
    fleet.setCallerWait(8s);
    auto& call = fleet.submit(HostId("north-2"), "a", 3, 2500ms, true);
    REQUIRE(fleet.runUntil([&] { return fleet.holderOf("north") == HostId("north-1"); }, 5s));
    REQUIRE(call.verdicts.empty());
    fleet.run(2s);
    CHECK(call.verdicts == std::vector<EntranceVerdict> { EntranceVerdict::Done });
    CHECK(fleet.startCount("a") == 3);
    CHECK(fleet.targets().violations().empty());
    fleet.run(20s);
    CHECK(logLines(fleet, "shard_acquired").size() == 2);
}

// Each move delays the jobs of the shard.
TEST_CASE("a shard does not move to a host that is little larger, of unknown size or draining")
{
    EmulatedFleet fleet(settingsOf({ 300, 400, 0, 1000 }));
    fleet.start(HostId("north-0"));
    fleet.run(1s);
    fleet.start(HostId("north-3"));
    fleet.run(1s);
    fleet.node(HostId("north-3")).drain();
    fleet.startAll();
    fleet.run(20s);
    REQUIRE(logLines(fleet, "shard_acquired").size() == 1);
}

// A host of an earlier build publishes no size.
TEST_CASE("hosts of unknown size hold shards, keep them and are replaced")
{
    EmulatedFleet fleet(settingsOf({ 0, 0, 0 }));
    fleet.startAll();
    fleet.run(20s);
    REQUIRE(logLines(fleet, "shard_acquired").size() == 1);
    fleet.kill(fleet.holderOf("north"));
    fleet.run(4s);
    REQUIRE(!fleet.holderOf("north").value().empty());
}

TEST_CASE("a host takes no second shard while another gives that shard more processor time")
{
    EmulatedFleet::Settings settings;
    settings.domains = { "north", "south" };
    // Half of 500 is more than 90 and less than 300.
    const auto [other, expected]
        = GENERATE(std::make_tuple(90U, HostId("north-0")), std::make_tuple(300U, HostId("north-1")));
    settings.processors = { { HostId("north-0"), HostMillicores(500) }, { HostId("north-1"), HostMillicores(other) },
        { HostId("south-0"), HostMillicores(500) }, { HostId("south-1"), HostMillicores(500) } };
    EmulatedFleet fleet(settings);
    fleet.startAll();
    REQUIRE(fleet.holderOf("north") == HostId("north-0"));
    fleet.kill(HostId("south-0"));
    fleet.kill(HostId("south-1"));
    fleet.run(6s);
    REQUIRE(fleet.holderOf("south") == expected);
}

// A log line for each late timer would take more of the processor time that the host already lacks.
TEST_CASE("a late event loop is logged at most once a second")
{
    EmulatedFleet fleet;
    fleet.startAll();
    REQUIRE(logLines(fleet, "loop_late").empty());
    const HostId host = fleet.hosts().front();
    for (int i = 0; i < 4; ++i) {
        fleet.pause(host);
        fleet.run(250ms);
        fleet.resume(host);
        fleet.run(20ms);
    }
    REQUIRE(logLines(fleet, "loop_late").size() <= 2);
    REQUIRE_FALSE(logLines(fleet, host.value() + " loop_late").empty());
}

TEST_CASE("a holder stops when the removal of its key was carried out but not answered")
{
    EmulatedFleet fleet;
    fleet.startAll();
    const HostId holder = fleet.holderOf("north");
    fleet.store().faults.deafPrefix = "rattanroad/fleet/";
    fleet.node(holder).drain();
    fleet.run(145ms);
    fleet.store().faults.repliesToLose = 1;
    fleet.run(1500ms);
    REQUIRE(fleet.store().keys("rattanroad/fleet/shard/north").empty());
    REQUIRE(!fleet.node(holder).dispatcher(ShardId("north")));
}
