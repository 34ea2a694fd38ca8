#include "routing/support/Cluster.h"

#include "rattanroad_routing/health/ConcurrencyLimit.h"
#include "rattanroad_routing/health/TargetHealth.h"
#include "rattanroad_routing/speed/SpeedModel.h"

#include <catch2/catch.hpp>

#include <cmath>

using namespace rattanroad;
using namespace rattanroad::test;
using namespace std::chrono_literals;

// Guards against errors of declared run times hiding the speed of targets. The errors have a constant factor of the
// kind and a random part.
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
        model.record(target, quoteKind, 100ms, std::chrono::milliseconds(static_cast<int>(100 * error / speed)));
    }
    const auto usual = model.relativeSpeed(TargetId("usual"), quoteKind);
    CHECK(model.relativeSpeed(TargetId("slow"), quoteKind) / usual == Approx(0.1).margin(0.04));
    CHECK(model.relativeSpeed(TargetId("fast"), quoteKind) / usual == Approx(2).margin(0.6));
    CHECK(model.relativeSpeed(TargetId("new"), quoteKind) == 1);
    // The estimate of a recovered straggler rises slowly without new tasks, and quickly with them.
    clock.advance(180s);
    CHECK(model.relativeSpeed(TargetId("slow"), quoteKind) > 0.5);
    for (int task = 0; task < 30; ++task)
        model.record(TargetId("slow"), quoteKind, 100ms, 700ms);
    CHECK(model.relativeSpeed(TargetId("slow"), quoteKind) > 0.7 * model.relativeSpeed(TargetId("usual"), quoteKind));
}

// Guards against trials that fail as many tasks as the target did before its ejection, and against a target that never
// returns to service.
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

// Guards against a fault of the work itself being attributed to the first target on which it occurs.
TEST_CASE("the failure share of a target is compared with that of its peers")
{
    VirtualClock clock;
    TargetHealth health;
    for (int task = 0; task < 16; ++task)
        health.record(task % 4 == 0, clock.now());
    CHECK(health.shouldEject(0.1));
    CHECK_FALSE(health.shouldEject(0.75));
}

// Guards against a target that rejects tasks being sent as many as before, and against its slots staying unused when it
// has recovered.
TEST_CASE("the concurrency limit decreases by a factor and recovers slot by slot")
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

// Guards against the slot of a task that is longer than a lease being lent again when the first lease would expire.
TEST_CASE("a task that runs longer than a lease keeps its slot")
{
    Cluster cluster(2, makeInventory(2, 1), 1);
    cluster.assignTargets();
    cluster.run(300ms);
    cluster.submit(0, 6, 5s);
    cluster.run(21s);
    CHECK(cluster.succeeded == 6);
    for (const auto& [target, maximum] : cluster.maximumRunning)
        CHECK(maximum == 1);
}
