#include "shards/FleetChecks.h"

using namespace rattanroad;
using namespace rattanroad::emulator;
using namespace rattanroad::shards;
using namespace std::chrono_literals;

namespace {

/** Limits that are half or twice those of the first deployments. */
PlatformLimits limitsOf(int numerator, int denominator)
{
    const PlatformLimits known;
    PlatformLimits limits;
    limits.targetDrain = known.targetDrain * numerator / denominator;
    limits.targetLease = known.targetLease * numerator / denominator;
    limits.resubmission = known.resubmission * numerator / denominator;
    return limits;
}

EmulatedFleet::Settings settingsWith(const PlatformLimits& limits)
{
    EmulatedFleet::Settings settings;
    settings.hostsPerDomain = 3;
    settings.limits = limits;
    return settings;
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

}

TEST_CASE("the limits of the first deployments lead to the times that these were run with")
{
    const PlatformLimits limits;
    CHECK(limits.maximumListAge() == 1800ms);
    CHECK(limits.targetListPause() == 400ms);
    CHECK(limits.originTimeout() == 1000ms);
    CHECK(limits.repetition() == 300ms);
    CHECK(limits.maximumLeaseAfterSubmission() == 1250ms);
}

TEST_CASE("jobs run on targets that grant shorter or longer leases")
{
    const auto limits = GENERATE(limitsOf(1, 2), limitsOf(2, 1));
    EmulatedFleet fleet(settingsWith(limits));
    fleet.startAll();
    const EmulatedFleet::Call& call = fleet.submit(hostWithoutShard(fleet), "a", 2, 1200ms, true);
    fleet.run(2s);
    requireNoViolations(fleet);
    CHECK(call.verdicts == std::vector<EntranceVerdict> { EntranceVerdict::Done });
    CHECK(fleet.startCount("a") == 2);
}

TEST_CASE("a run ends before its caller submits the job again where callers come back earlier or later")
{
    const auto limits = GENERATE(limitsOf(1, 2), limitsOf(2, 1));
    EmulatedFleet fleet(settingsWith(limits));
    fleet.startAll();
    fleet.run(5s);
    const HostId origin = hostWithoutShard(fleet);
    fleet.setCallerWait(6s);
    fleet.submit(origin, "a", 2, 5s, true);
    fleet.run(200ms);
    REQUIRE(fleet.targets().running() == 2);
    fleet.targets().faults.lateStops = 100;
    fleet.kill(origin);
    fleet.run(limits.resubmission);
    CHECK(fleet.targets().running() == 0);
    fleet.run(6s);
    requireNoViolations(fleet);
}

TEST_CASE("nothing starts on a draining target where the time for it is shorter or longer")
{
    const auto limits = GENERATE(limitsOf(1, 2), limitsOf(2, 1));
    EmulatedFleet fleet(settingsWith(limits));
    fleet.startAll();
    fleet.run(5s);
    fleet.store().faults.deafPrefix = "servers/";
    fleet.store().faults.unreadablePrefix = "servers/";
    for (const auto& report : std::map<TargetId, TargetReport>(fleet.targets().reports()))
        fleet.drainTarget(report.first);
    for (int i = 0; i < 100; ++i) {
        fleet.submit(hostWithoutShard(fleet), "job-" + std::to_string(i), 1, 40ms, true);
        fleet.run(50ms);
    }
    requireNoViolations(fleet);
}

// Guards against a state that is forgotten before the deployment's bound, and against records that are kept for longer
// than it needs.
TEST_CASE("the state of a stored job is returned for as long as the deployment says")
{
    EmulatedFleet::Settings settings;
    settings.limits.jobStatus = GENERATE(std::chrono::seconds(20), std::chrono::seconds(200));
    EmulatedFleet fleet(settings);
    fleet.startAll();
    fleet.submit(fleet.hosts().front(), "a", 1, 50ms, false);
    fleet.run(1s + settings.limits.jobStatus);
    CHECK(stateOf(fleet, fleet.hosts().back(), "a") == JobState::Done);
    fleet.run(15s);
    CHECK(fleet.store().keys("rattanroad/job/").empty());
}
