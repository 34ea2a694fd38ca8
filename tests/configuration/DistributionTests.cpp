#include "configuration/ConfigurationFleet.h"

#include <catch2/catch.hpp>

using namespace rattanroad;
using namespace std::chrono_literals;

// Guards against hosts that miss a change, and against every host opening a watch at the store.
TEST_CASE("a change is in force on 28 hosts within 7 seconds with two watches per failure domain")
{
    ConfigurationFleet fleet(1);
    fleet.members.network.latency = 100ms;
    fleet.startAll(7, 4);
    fleet.members.run(20s);
    CHECK(fleet.store.watchCount() == 14);
    fleet.write(exampleConfigurationValue(1));
    fleet.members.run(7s);
    CHECK(fleet.installedHostCount(1) == 28);
    fleet.write(exampleConfigurationValue(2));
    fleet.members.run(7s);
    CHECK(fleet.installedHostCount(2) == 28);
    CHECK_FALSE(fleet.hasReverted);
}

// Guards against a new host that waits for the store although its peers have the configuration.
TEST_CASE("a new host gets the configuration from its peers while the store is down")
{
    ConfigurationFleet fleet(2);
    fleet.startAll(3, 2);
    fleet.write(exampleConfigurationValue(4));
    fleet.members.run(10s);
    CHECK(fleet.installedHostCount(4) == 6);
    fleet.store.stop();
    fleet.members.start("d0-h9", "d0");
    fleet.startDistributor("d0-h9");
    fleet.members.run(3s);
    CHECK(fleet.installedHostCount(4) == 7);
}

// Guards against watchers that do not reconnect after an outage, and against hosts that revert to an older value.
TEST_CASE("hosts watch the store again after an outage and ignore stale reads")
{
    ConfigurationFleet fleet(3);
    fleet.startAll(3, 2);
    fleet.write(exampleConfigurationValue(1));
    fleet.write(exampleConfigurationValue(2));
    fleet.members.run(10s);
    CHECK(fleet.installedHostCount(2) == 6);
    fleet.store.stop();
    CHECK(fleet.store.watchCount() == 0);
    fleet.members.run(60s);
    fleet.store.isStale = true;
    fleet.store.start();
    fleet.members.run(7s);
    CHECK(fleet.installedHostCount(2) == 6);
    fleet.store.isStale = false;
    fleet.write(exampleConfigurationValue(3));
    fleet.members.run(7s);
    CHECK(fleet.installedHostCount(3) == 6);
    CHECK_FALSE(fleet.hasReverted);
}

// Guards against a failure domain that misses changes because its watches no longer report them.
TEST_CASE("a failure domain without working watches gets changes from peers")
{
    ConfigurationFleet fleet(4);
    fleet.startAll(3, 2);
    fleet.members.run(10s);
    // Disconnected watches seem open to their hosts but report nothing. Only the watch of d2-h0 still works.
    for (const auto& [host, node] : fleet.nodes) {
        if (host != "d2-h0")
            fleet.store.disconnect(host);
    }
    fleet.write(exampleConfigurationValue(1));
    fleet.members.run(7s);
    CHECK(fleet.installedHostCount(1) == 6);
}

// Guards against a failure domain that misses changes after both of its watchers fail.
TEST_CASE("other hosts watch the store when both watchers of a failure domain fail")
{
    ConfigurationFleet fleet(5);
    fleet.startAll(2, 4);
    fleet.members.run(10s);
    std::vector<std::string> watchers;
    for (const auto& [host, node] : fleet.nodes) {
        if (node.distributor->isWatchingStore() && host[1] == '0')
            watchers.push_back(host);
    }
    REQUIRE(watchers.size() == 2);
    for (const auto& host : watchers)
        fleet.stop(host);
    fleet.write(exampleConfigurationValue(1));
    fleet.members.run(5s);
    CHECK(fleet.store.watchCount() == 4);
    CHECK(fleet.installedHostCount(1) == 6);
}

// Guards against a peer that pushes an older revision or a malformed value.
TEST_CASE("a push never lowers the revision and a malformed one is counted")
{
    ConfigurationFleet fleet(6);
    fleet.startAll(1, 2);
    fleet.members.run(2s);
    auto& node = fleet.nodes.at("d0-h0");
    protocol::Envelope envelope;
    envelope.set_from_host("d0-h1");
    auto& push = *envelope.mutable_configuration_push();
    const auto receive = [&](std::uint64_t revision, const std::string& value) {
        push.set_revision(revision);
        push.set_value(value);
        node.distributor->handlePeerMessage(envelope);
    };
    receive(5, exampleConfigurationValue(5).json());
    CHECK(node.holder.revision() == Revision(5));
    receive(4, exampleConfigurationValue(4).json());
    receive(9, exampleConfigurationValue(4).json());
    receive(9, "{\"revision\":9}");
    CHECK(node.holder.revision() == Revision(5));
    CHECK(node.distributor->statistics().malformedValues == 2);
}

// Guards against a host that floods its peers with requests when they announce a revision but don't answer.
TEST_CASE("at most one pull is in flight")
{
    VirtualClock clock;
    PcgRandomSource random(1);
    ConfigurationHolder holder(nullptr);
    holder.offer(exampleConfigurationValue(1));
    size_t pulls = 0;
    PeerPuller puller(holder, {}, clock, random, [&](const HostId&, const auto&) { ++pulls; });
    puller.setPeers({ HostId("a"), HostId("b") }, {});
    for (int step = 0; step < 100; ++step) {
        puller.setPeerRevision(HostId("a"), Revision(7));
        puller.setPeerRevision(HostId("b"), Revision(7));
        puller.tick();
        clock.advance(100ms);
    }
    CHECK(pulls <= 10);
    CHECK(pulls >= 8);
}
