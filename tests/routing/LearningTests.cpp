#include "routing/support/Cluster.h"

#include "rattanroad_routing/health/ConcurrencyLimit.h"
#include "rattanroad_routing/health/TargetHealth.h"
#include "rattanroad_routing/speed/SpeedModel.h"

#include <catch2/catch.hpp>

#include <cmath>

using namespace rattanroad;
using namespace rattanroad::test;
using namespace std::chrono_literals;

// Guards against declared times that are far off, by a factor of the kind and by chance, hiding how fast targets are.
TEST_CASE("speed is learned from declared times with large errors")
{
    VirtualClock clock;
    PcgRandomSource random(3);
    SpeedModel model(clock);
    const std::vector<std::pair<TargetId, double>> targets { { TargetId("slow"), 0.1 }, { TargetId("usual"), 1 },
        { TargetId("good"), 1.1 }, { TargetId("fast"), 2 } };
    for (int task = 0; task < 400; ++task) {
        const auto& [target, speed] = targets[random.below(targets.size())];
        const double error = 7 * std::exp(2 * (random.uniform() - 0.5));
        model.record(target, quote, 100ms, std::chrono::milliseconds(static_cast<int>(100 * error / speed)));
    }
    const auto usual = model.relativeSpeed(TargetId("usual"), quote);
    CHECK(model.relativeSpeed(TargetId("slow"), quote) / usual == Approx(0.1).margin(0.04));
    CHECK(model.relativeSpeed(TargetId("fast"), quote) / usual == Approx(2).margin(0.6));
    CHECK(model.relativeSpeed(TargetId("new"), quote) == 1);
    // A straggler that recovers must not stay condemned: by new tasks at once, without tasks slowly.
    clock.advance(180s);
    CHECK(model.relativeSpeed(TargetId("slow"), quote) > 0.5);
    for (int task = 0; task < 30; ++task)
        model.record(TargetId("slow"), quote, 100ms, 700ms);
    CHECK(model.relativeSpeed(TargetId("slow"), quote) > 0.7 * model.relativeSpeed(TargetId("usual"), quote));
}

// Guards against trials that cost as many tasks as the failing target did, and against a target that never returns.
TEST_CASE("an ejected target gets single trials with growing intervals")
{
    VirtualClock clock;
    TargetHealth health;
    for (int task = 0; task < 30; ++task)
        health.record(true, clock.now());
    int failures = 0;
    for (; !health.shouldEject(0); ++failures)
        health.record(false, clock.now());
    CHECK(failures <= 8);
    health.eject(clock.now());
    int trials = 0;
    for (int second = 0; second < 120; ++second) {
        clock.advance(1s);
        if (!health.isTrialDue(clock.now()))
            continue;
        ++trials;
        health.beginTrial();
        CHECK_FALSE(health.isTrialDue(clock.now()));
        health.endTrial(false, clock.now());
    }
    CHECK(trials >= 5);
    CHECK(trials <= 7);
    clock.advance(64s);
    health.beginTrial();
    health.endTrial(true, clock.now());
    CHECK_FALSE(health.isEjected());
    health.record(false, clock.now());
    CHECK(health.shouldEject(0));
}

// Guards against a fault of the work being blamed on the first target that shows it.
TEST_CASE("a target is judged against its peers")
{
    VirtualClock clock;
    TargetHealth health;
    for (int task = 0; task < 16; ++task)
        health.record(task % 4 == 0, clock.now());
    CHECK(health.shouldEject(0.1));
    CHECK_FALSE(health.shouldEject(0.75));
}

// Guards against a target that rejects work being sent more of it, and against its slots staying unused afterwards.
TEST_CASE("the concurrency limit falls by a factor and recovers slot by slot")
{
    VirtualClock clock;
    ConcurrencyLimit limit;
    limit.setMaximum(SlotCount(8));
    limit.recordOverload(8, clock.now());
    CHECK(limit.limit() == 5);
    limit.recordOverload(8, clock.now());
    CHECK(limit.limit() == 5);
    for (int round = 0; round < 20; ++round) {
        clock.advance(200ms);
        limit.recordOverload(limit.limit(), clock.now());
    }
    CHECK(limit.limit() == 1);
    for (int task = 0; task < 20; ++task)
        limit.recordSuccess();
    CHECK(limit.limit() < 8);
    for (int task = 0; task < 40; ++task)
        limit.recordSuccess();
    CHECK(limit.limit() == 8);
}

// Guards against the slot of a long task being lent again when its first lease would have ended.
TEST_CASE("a task of several seconds keeps its slot")
{
    Cluster cluster(2, makeInventory(2, 1), 1);
    cluster.assignTargets();
    cluster.run(300ms);
    cluster.submit(0, 6, 5s);
    cluster.run(21s);
    CHECK(cluster.succeeded == 6);
    for (const auto& [target, most] : cluster.mostRunning)
        CHECK(most == 1);
}
