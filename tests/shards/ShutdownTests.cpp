#include "shards/FleetChecks.h"

using namespace rattanroad;
using namespace rattanroad::emulator;
using namespace rattanroad::shards;
using namespace std::chrono_literals;

namespace {

/** Submits jobs of 4 s that fill all targets, and one more for each target. */
std::vector<EmulatedFleet::Call*> submitMoreThanFits(EmulatedFleet& fleet, const HostId& origin)
{
    std::vector<EmulatedFleet::Call*> calls;
    const std::size_t count = fleet.targets().reports().size() * 4;
    for (std::size_t i = 0; i < count; ++i)
        calls.push_back(&fleet.submit(origin, "job-" + std::to_string(i), 1, 4s, true));
    fleet.run(500ms);
    return calls;
}

}

// Guards against a host that ends while callers wait, with their connections as the only answer.
TEST_CASE("a host that ends answers the callers of jobs that holders may have with an unknown result")
{
    EmulatedFleet fleet;
    fleet.setCallerWait(30s);
    fleet.startAll();
    const HostId origin = fleet.hosts().front();
    const auto calls = submitMoreThanFits(fleet, origin);
    const std::size_t running = fleet.targets().running();
    REQUIRE(running > 0);
    fleet.node(origin).entrance().answerWaiting();
    for (const EmulatedFleet::Call* const call : calls) {
        REQUIRE(call->verdicts.size() == 1);
        const bool isRefused = call->verdicts.front() == EntranceVerdict::Refused;
        if (isRefused)
            REQUIRE(fleet.startCount(call->job.value()) == 0);
        else
            REQUIRE(call->verdicts.front() == EntranceVerdict::Unknown);
    }
    // The holders were told to cancel the jobs.
    fleet.run(300ms);
    REQUIRE(fleet.targets().running() == 0);
    requireNoViolations(fleet);
}

// Guards against an unknown result, which makes callers wait, for a job that no holder was told of.
TEST_CASE("a host that ends refuses the jobs that it has sent to no holder")
{
    EmulatedFleet fleet;
    fleet.setCallerWait(30s);
    fleet.startAll();
    const HostId origin = fleet.hosts().front();
    // Nothing is known of the shards for a while after their holders were killed.
    for (const HostId& host : fleet.hosts()) {
        if (host != origin)
            fleet.kill(host);
    }
    fleet.isolate(origin);
    fleet.run(20s);
    auto& stored = fleet.submit(origin, "a", 1, 4s, false);
    auto& unstored = fleet.submit(origin, "b", 1, 4s, true);
    fleet.run(50ms);
    REQUIRE(stored.verdicts.empty());
    REQUIRE(unstored.verdicts.empty());
    fleet.node(origin).entrance().answerWaiting();
    REQUIRE(stored.verdicts.front() == EntranceVerdict::Refused);
    REQUIRE(unstored.verdicts.front() == EntranceVerdict::Refused);
    REQUIRE(fleet.targets().runs().empty());
}

// Guards against a query that is left without an answer by a host that ends.
TEST_CASE("a host that ends answers the callers that wait for a state")
{
    EmulatedFleet fleet;
    fleet.startAll();
    const HostId origin = fleet.hosts().front();
    fleet.store().faults.isDown = true;
    int answers = 0;
    const auto count = [&answers](JobEntrance::QueryResult, JobState) { ++answers; };
    JobEntrance& entrance = fleet.node(origin).entrance();
    entrance.query(JobId("a"), 30s, count);
    entrance.cancel(JobId("b"), 30s, count);
    fleet.run(100ms);
    REQUIRE(answers == 0);
    entrance.answerWaiting();
    REQUIRE(answers == 2);
    entrance.query(JobId("c"), 30s, count);
    REQUIRE(answers == 3);
    fleet.run(5s);
    REQUIRE(answers == 3);
}
