#include "routing/support/Cluster.h"

#include <catch2/catch.hpp>

using namespace rattanroad;
using namespace rattanroad::test;
using namespace std::chrono_literals;

namespace {

/** Submits jobs of 1 to 10 tasks of about 200 ms at random hosts so that @p load of @p slots slots are busy. */
std::function<void()> randomLoad(Cluster& cluster, double load, int slots)
{
    return [&cluster, load, slots] {
        const double jobsPerMs = load * slots / 200.0 / 5.5;
        if (cluster.random.uniform() >= jobsPerMs)
            return;
        const auto host = cluster.random.below(cluster.hosts.size());
        if (cluster.hosts[host]->isAlive)
            cluster.submit(host, 1 + static_cast<std::uint32_t>(cluster.random.below(10)),
                std::chrono::milliseconds(100 + cluster.random.below(200)));
    };
}

}

// Guards against slots lent twice, or lost for ever, when messages are lost, duplicated or reordered, keepers change
// with slots in use and hosts die.
TEST_CASE("targets never run more tasks than their slots, whatever happens to messages")
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        INFO("seed " << seed);
        Cluster cluster(4, makeInventory(6, 3), seed);
        cluster.network = { 0, 40, 0.05 * static_cast<int>(seed % 3), 0.1 * static_cast<int>(seed % 2) };
        cluster.assignTargets();
        const auto load = randomLoad(cluster, 1.0, 18);
        for (std::size_t round = 1; round <= 5; ++round) {
            cluster.run(std::chrono::milliseconds(500 + cluster.random.below(1500)), [&] {
                load();
                for (const auto& host : cluster.hosts) {
                    for (const auto& status : host->keeper->status())
                        REQUIRE(status.used.value() <= 3);
                }
            });
            if (round == 3)
                cluster.kill(0);
            else
                cluster.assignTargets(round);
        }
        cluster.network = {};
        cluster.run(15s);
        for (const auto& [target, most] : cluster.mostRunning)
            CHECK(most <= 3);
        CHECK(cluster.slotsInUse() == 0);
        CHECK(cluster.started > 100);
        for (const auto& host : cluster.hosts)
            CHECK((!host->isAlive || host->borrower->statistics().demandsOpen == 0));
    }
}

// Guards against work waiting for a keeper that is paused or gone.
TEST_CASE("demands leave a keeper that does not answer")
{
    Cluster cluster(2, makeInventory(2, 4), 1);
    cluster.assignTargets();
    cluster.run(300ms);
    cluster.hosts[1]->isAlive = false;
    cluster.submit(0, 8, 50ms);
    cluster.run(400ms);
    CHECK(cluster.succeeded == 8);
}

// Guards against a job that waits for ever at a keeper that vanished, and for ever for a kind that nobody runs.
TEST_CASE("a demand moves when its keeper vanishes and fails when nobody can serve it")
{
    Cluster cluster(2, makeInventory(2, 1), 1);
    cluster.assignTargets();
    cluster.run(300ms);
    cluster.submit(0, 6, 100ms);
    cluster.run(20ms);
    cluster.kill(1);
    cluster.run(3s);
    CHECK(cluster.succeeded == 6);
    WorkDemand stranger;
    stranger.kind = WorkKind("unheard-of");
    stranger.count = 1;
    cluster.hosts[0]->borrower->addDemand(stranger);
    cluster.run(3s);
    REQUIRE(cluster.refusals.size() == 1);
    CHECK(cluster.refusals[0].code == FailureCode::NoEligibleTarget);
}

// Guards against tasks lost to targets that fail at once and therefore always seem free.
TEST_CASE("a tenth of failing targets costs few tasks and never ejects too many")
{
    Cluster cluster(3, makeInventory(30, 4), 5);
    for (int index : { 0, 4, 8 })
        cluster.behaviours[TargetId("t" + std::to_string(index))].failureShare = 1;
    cluster.assignTargets();
    cluster.run(5s, randomLoad(cluster, 0.8, 120));
    const auto failedAtFirst = cluster.failed;
    const auto startedAtFirst = cluster.started;
    CHECK(failedAtFirst < 60);
    cluster.run(20s, randomLoad(cluster, 0.8, 120));
    CHECK(static_cast<double>(cluster.failed - failedAtFirst)
        <= 0.01 * static_cast<double>(cluster.started - startedAtFirst));
    cluster.behaviours.clear();
    cluster.run(70s, randomLoad(cluster, 0.8, 120));
    for (const auto& host : cluster.hosts) {
        for (const auto& status : host->keeper->status())
            CHECK_FALSE(status.isEjected);
    }
}

// Guards against a fault of the work or of a whole domain taking all targets out of service.
TEST_CASE("a failure of all targets ejects at most the configured share")
{
    Cluster cluster(1, makeInventory(10, 4), 3);
    for (const auto& id : targetIds(0, 10))
        cluster.behaviours[id].failureShare = 1;
    cluster.assignTargets();
    cluster.run(20s, [&, load = randomLoad(cluster, 0.8, 40)] {
        load();
        const auto all = cluster.hosts[0]->keeper->status();
        REQUIRE(std::count_if(all.begin(), all.end(), [](const auto& each) { return each.isEjected; }) <= 3);
    });
    CHECK(cluster.failed > 0);
}

// Guards against tasks on a straggler while faster targets have room, and against a straggler that is never used.
TEST_CASE("a straggler is used last")
{
    Cluster cluster(1, makeInventory(10, 4), 7);
    cluster.behaviours[TargetId("t3")].slowness = 10;
    cluster.assignTargets();
    cluster.run(10s, randomLoad(cluster, 0.5, 40));
    cluster.startedAt.clear();
    const auto startedBefore = cluster.started;
    cluster.run(20s, randomLoad(cluster, 0.5, 40));
    CHECK(static_cast<double>(cluster.startedAt[TargetId("t3")])
        <= 0.005 * static_cast<double>(cluster.started - startedBefore));
    cluster.startedAt.clear();
    cluster.run(5s, randomLoad(cluster, 2.0, 40));
    CHECK(cluster.startedAt[TargetId("t3")] > 0);
}
