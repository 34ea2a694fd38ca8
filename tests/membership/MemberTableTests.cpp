#include "membership/MemberFleet.h"

#include <catch2/catch.hpp>

using namespace rattanroad;
using namespace std::chrono_literals;

namespace {

protocol::Heartbeat heartbeatOf(const std::string& host, std::uint64_t incarnation, const std::string& domain)
{
    protocol::Heartbeat heartbeat;
    heartbeat.set_sequence(1);
    heartbeat.mutable_self()->set_host(host);
    heartbeat.mutable_self()->set_incarnation(incarnation);
    heartbeat.mutable_self()->set_failure_domain(domain);
    heartbeat.mutable_self()->set_address(MemberFleet::addressOf(host));
    return heartbeat;
}

}

// Guards against hosts that never find each other, and against live hosts declared dead in normal operation.
TEST_CASE("all hosts find each other and nobody is declared dead")
{
    const auto latency = GENERATE(2ms, 100ms);
    const auto loss = GENERATE(0.0, 0.01);
    MemberFleet fleet(7);
    fleet.network.latency = latency;
    fleet.network.loss = loss;
    fleet.startAll(7, 4);
    fleet.run(20s);
    CHECK(fleet.fewestKnown() == 27);
    const auto deathsAtStart = fleet.deaths();
    fleet.run(300s);
    INFO("latency " << latency.count() << " ms, loss " << loss);
    CHECK(fleet.deaths() == deathsAtStart);
    CHECK(fleet.fewestKnown() == 27);
}

// Guards against live hosts declared dead where each domain has few hosts to spread the news.
TEST_CASE("small domains keep each other alive")
{
    const auto shape = GENERATE(std::make_pair(3, 2), std::make_pair(7, 1), std::make_pair(2, 3));
    MemberFleet fleet(11);
    fleet.startAll(shape.first, shape.second);
    fleet.run(10s);
    const auto deathsAtStart = fleet.deaths();
    fleet.run(300s);
    CHECK(fleet.deaths() == deathsAtStart);
    CHECK(fleet.fewestKnown() == fleet.hosts.size() - 1);
}

// Guards against a dead host that digests keep alive by naming it to each other.
TEST_CASE("a dead host is forgotten by all within the timeouts")
{
    MemberFleet fleet(3);
    fleet.network.latency = GENERATE(2ms, 100ms);
    fleet.startAll(7, 4);
    fleet.run(20s);
    fleet.stop("d3-h1");
    fleet.run(1500ms + 250ms);
    CHECK_FALSE(fleet.knows("d3-h0", "d3-h1"));
    fleet.run(2500ms);
    for (const auto& [name, host] : fleet.hosts) {
        INFO(name);
        CHECK_FALSE(fleet.knows(name, "d3-h1"));
    }
}

// Guards against a peer whose digest names a dead or unknown host for ever.
TEST_CASE("a digest entry leads to contact, not to life")
{
    MemberFleet fleet(5);
    fleet.start("a", "d0");
    size_t contacts = 0;
    fleet.network.attach(MemberFleet::addressOf("ghost"), [&](const auto&) { ++contacts; });
    auto heartbeat = heartbeatOf("b", 9, "d1");
    auto& entry = *heartbeat.add_known_members();
    entry = heartbeatOf("ghost", 8, "d2").self();
    entry.set_age_ms(10);
    auto& table = *fleet.hosts.at("a").table;
    SECTION("unknown host") { }
    SECTION("host that was alive and died")
    {
        const auto last = heartbeatOf("ghost", 8, "d2");
        table.heardFrom(HostId("ghost"), Incarnation(8), &last);
        REQUIRE(fleet.knows("a", "ghost"));
        fleet.run(6s);
        contacts = 0;
    }
    for (int round = 0; round < 100; ++round) {
        heartbeat.set_sequence(heartbeat.sequence() + 1);
        table.heardFrom(HostId("b"), Incarnation(9), &heartbeat);
        REQUIRE_FALSE(fleet.knows("a", "ghost"));
        fleet.run(100ms);
        REQUIRE_FALSE(fleet.knows("a", "ghost"));
    }
    CHECK(contacts >= 9);
    CHECK(contacts <= 11);
}

// Guards against a restarted host that is taken for its former process, and against messages of that process.
TEST_CASE("a new incarnation replaces the old one at once")
{
    MemberFleet fleet(5);
    fleet.start("a", "d0");
    auto& table = *fleet.hosts.at("a").table;
    const auto older = heartbeatOf("b", 7, "d0");
    const auto newer = heartbeatOf("b", 9, "d0");
    table.heardFrom(HostId("b"), Incarnation(7), &older);
    SECTION("by its heartbeat")
    {
        table.heardFrom(HostId("b"), Incarnation(9), &newer);
        CHECK(table.find(HostId("b"))->incarnation == Incarnation(9));
    }
    SECTION("by another message, which ends the old one until the new one describes itself")
    {
        table.heardFrom(HostId("b"), Incarnation(9), nullptr);
        CHECK(table.find(HostId("b")) == nullptr);
        table.heardFrom(HostId("b"), Incarnation(9), &newer);
    }
    table.heardFrom(HostId("b"), Incarnation(7), nullptr);
    table.heardFrom(HostId("b"), Incarnation(7), &older);
    REQUIRE(table.find(HostId("b")));
    CHECK(table.find(HostId("b"))->incarnation == Incarnation(9));
    fleet.run(10s);
    table.heardFrom(HostId("b"), Incarnation(7), &older);
    CHECK(table.find(HostId("b")) == nullptr);
}

// Guards against a replacement host with a slow wall clock that is never accepted.
TEST_CASE("a lower incarnation is accepted once the current one is dead")
{
    MemberFleet fleet(5);
    fleet.start("a", "d0");
    auto& table = *fleet.hosts.at("a").table;
    const auto first = heartbeatOf("b", 9, "d0");
    const auto replacement = heartbeatOf("b", 7, "d0");
    table.heardFrom(HostId("b"), Incarnation(9), &first);
    table.heardFrom(HostId("b"), Incarnation(7), &replacement);
    CHECK(table.find(HostId("b"))->incarnation == Incarnation(9));
    fleet.run(2s);
    table.heardFrom(HostId("b"), Incarnation(7), &replacement);
    CHECK(table.find(HostId("b"))->incarnation == Incarnation(7));
}

// Guards against a host inside the domain that counts as alive though it cannot be heard.
TEST_CASE("a one-way cut hides a host of the same domain from the side that cannot hear it")
{
    MemberFleet fleet(2);
    fleet.startAll(2, 3);
    fleet.run(10s);
    fleet.network.isCut = [](const std::string& from, const std::string& to) {
        return from == MemberFleet::addressOf("d0-h1") && to == MemberFleet::addressOf("d0-h2");
    };
    fleet.run(2s);
    CHECK_FALSE(fleet.knows("d0-h2", "d0-h1"));
    CHECK(fleet.knows("d0-h1", "d0-h2"));
    CHECK(fleet.knows("d0-h0", "d0-h1"));
    fleet.network.isCut = nullptr;
    fleet.run(2s);
    CHECK(fleet.knows("d0-h2", "d0-h1"));
}

// Guards against domains that stay apart after a partition, with the seeds on one side only.
TEST_CASE("a partition separates domains and its end joins them again")
{
    MemberFleet fleet(2);
    fleet.startAll(7, 4);
    fleet.run(20s);
    const auto isFirst = [](const std::string& address) {
        return address.find("d0") != std::string::npos || address.find("d1") != std::string::npos;
    };
    fleet.network.isCut = [&](const std::string& from, const std::string& to) { return isFirst(from) != isFirst(to); };
    fleet.run(60s);
    CHECK(fleet.hosts.at("d0-h0").table->liveMembers().size() == 7);
    CHECK(fleet.hosts.at("d5-h0").table->liveMembers().size() == 19);
    fleet.network.isCut = nullptr;
    fleet.run(10s);
    CHECK(fleet.fewestKnown() == 27);
}

// Guards against a resumed host that declares everybody dead before it has read what arrived meanwhile.
TEST_CASE("a paused host is dead to the others and keeps its own view when it resumes")
{
    MemberFleet fleet(2);
    fleet.startAll(3, 2);
    fleet.run(10s);
    fleet.pause("d1-h0");
    fleet.run(30s);
    CHECK_FALSE(fleet.knows("d1-h1", "d1-h0"));
    CHECK_FALSE(fleet.knows("d0-h0", "d1-h0"));
    const auto died = fleet.hosts.at("d1-h0").table->statistics().membersDied;
    fleet.resume("d1-h0");
    fleet.run(10s);
    CHECK(fleet.hosts.at("d1-h0").table->statistics().membersDied == died);
    CHECK(fleet.fewestKnown() == 5);
}

// Guards against draining hosts that keep receiving new work because the mark does not spread.
TEST_CASE("a draining mark reaches every host within the bound for leaving")
{
    MemberFleet fleet(2);
    fleet.startAll(7, 4);
    fleet.run(20s);
    const auto changes = fleet.hosts.at("d0-h1").changes;
    fleet.hosts.at("d0-h0").table->setDraining(true);
    fleet.run(300ms);
    CHECK(fleet.hosts.at("d0-h1").table->find(HostId("d0-h0"))->isDraining);
    CHECK(fleet.hosts.at("d0-h1").changes > changes);
    fleet.run(4700ms);
    for (const auto& [name, host] : fleet.hosts) {
        INFO(name);
        CHECK((name == "d0-h0" || host.table->find(HostId("d0-h0"))->isDraining));
    }
}

// Guards against keys that change their home when an unrelated host comes or goes.
TEST_CASE("rendezvous order moves only the share of the host that left")
{
    std::vector<HostId> hosts;
    hosts.reserve(6);
    for (int index = 0; index < 6; ++index)
        hosts.emplace_back("host-" + std::to_string(index));
    const auto fewer = std::vector<HostId>(hosts.begin(), hosts.end() - 1);
    std::map<HostId, int> shares;
    for (int key = 0; key < 600; ++key) {
        auto order = rendezvousOrder(std::to_string(key), hosts);
        ++shares[order.front()];
        order.erase(std::find(order.begin(), order.end(), hosts.back()));
        CHECK(order == rendezvousOrder(std::to_string(key), fewer));
    }
    for (const auto& [host, share] : shares)
        CHECK(share > 60);
}
