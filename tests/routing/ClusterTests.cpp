#include "routing/support/Cluster.h"

#include <catch2/catch.hpp>

using namespace rattanroad;
using namespace rattanroad::test;
using namespace std::chrono_literals;

namespace {

/** Submits jobs of 1 to 10 tasks of about 200 ms at random hosts, so that the share @p load of @p slots is in use. */
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

// Guards against slots that are lent twice or never freed when messages are lost, duplicated or reordered, targets
// change keepers while slots are in use, and hosts die.
TEST_CASE("targets never run more tasks than they have slots when messages are lost, duplicated or reordered")
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
        for (const auto& [target, maximum] : cluster.maximumRunning)
            CHECK(maximum <= 3);
        CHECK(cluster.slotsInUse() == 0);
        CHECK(cluster.started > 100);
        for (const auto& host : cluster.hosts)
            CHECK((!host->isAlive || host->borrower->statistics().demandsOpen == 0));
    }
}

// Guards against demands that stay at a keeper that is paused or has died.
TEST_CASE("demands move away from a keeper that does not answer")
{
    Cluster cluster(2, makeInventory(2, 4), 1);
    cluster.assignTargets();
    cluster.run(300ms);
    cluster.hosts[1]->isAlive = false;
    cluster.submit(0, 8, 50ms);
    cluster.run(400ms);
    CHECK(cluster.succeeded == 8);
}

// Guards against a job that waits forever, at a keeper that has died or for a kind of work that no target runs.
TEST_CASE("a demand moves when its keeper dies and fails when no target can serve it")
{
    Cluster cluster(2, makeInventory(2, 1), 1);
    cluster.assignTargets();
    cluster.run(300ms);
    cluster.submit(0, 6, 100ms);
    cluster.run(20ms);
    cluster.kill(1);
    cluster.run(3s);
    CHECK(cluster.succeeded == 6);
    WorkDemand unknownWork;
    unknownWork.kind = WorkKind("unheard-of");
    unknownWork.count = 1;
    cluster.hosts[0]->borrower->addDemand(unknownWork);
    cluster.run(3s);
    REQUIRE(cluster.refusals.size() == 1);
    CHECK(cluster.refusals[0].code == FailureCode::NoEligibleTarget);
}

// Guards against many tasks failing on targets that fail immediately, which therefore always have free slots, and
// against targets that stay ejected after they have recovered.
TEST_CASE("few tasks fail when a tenth of the targets fails, and recovered targets return to service")
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

// Guards against all targets being ejected for a fault of the work itself or of a whole failure domain.
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

// Guards against tasks on a straggler while faster targets have free slots, and against a straggler that is unused even
// under overload.
TEST_CASE("a straggler is used last")
{
    Cluster cluster(1, makeInventory(10, 4), 7);
    cluster.behaviours[TargetId("t3")].slowdown = 10;
    cluster.assignTargets();
    cluster.run(10s, randomLoad(cluster, 0.5, 40));
    cluster.startedPerTarget.clear();
    const auto startedBefore = cluster.started;
    cluster.run(20s, randomLoad(cluster, 0.5, 40));
    CHECK(static_cast<double>(cluster.startedPerTarget[TargetId("t3")])
        <= 0.005 * static_cast<double>(cluster.started - startedBefore));
    cluster.startedPerTarget.clear();
    cluster.run(5s, randomLoad(cluster, 2.0, 40));
    CHECK(cluster.startedPerTarget[TargetId("t3")] > 0);
}
