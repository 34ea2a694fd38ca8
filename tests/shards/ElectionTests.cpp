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

}

TEST_CASE("the log names the processor time of the holder of a shard")
{
    EmulatedFleet::Settings settings;
    settings.domains = { "north" };
    settings.hostsPerDomain = 1;
    settings.processors[HostId("north-0")] = HostMillicores(300);
    EmulatedFleet fleet(settings);
    fleet.startAll();
    const auto acquired = logLines(fleet, "north-0 shard_acquired");
    REQUIRE(acquired.size() == 1);
    CHECK_THAT(acquired.front(), Catch::Contains("millicores=300"));
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
