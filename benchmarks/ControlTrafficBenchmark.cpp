// Measures what control costs a host: heartbeats sent and received per second, the age of signs of life, and the time
// until a configuration change is in force everywhere, on a virtual clock. Prints a table for docs/CAPACITY.md.
#include "configuration/ConfigurationFleet.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <string>
#include <vector>

using namespace rattanroad;

namespace {

constexpr std::uint64_t seed = 42;
constexpr std::chrono::seconds warmUp { 20 };
constexpr std::chrono::seconds measured { 300 };
constexpr std::chrono::milliseconds step { 100 };
constexpr int spreadRounds = 40;
constexpr double spreadBoundSeconds = 7;
constexpr double bytesPerSecondLimit = 4096;

struct Shape {
    int domains;
    int hostsPerDomain;
};

double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

double quantile(std::vector<double>& values, double share)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[static_cast<size_t>(share * static_cast<double>(values.size() - 1))];
}

/** Bytes and messages that arrive at each host. */
struct Received {
    std::map<std::string, std::uint64_t> bytes;
    std::uint64_t messages { 0 };
};

MemberTable::Statistics sumOf(const MemberFleet& fleet, std::uint64_t& largestBytes)
{
    MemberTable::Statistics sum;
    for (const auto& [name, host] : fleet.hosts) {
        const auto statistics = host.table->statistics();
        sum.heartbeatsSent += statistics.heartbeatsSent;
        sum.heartbeatBytesSent += statistics.heartbeatBytesSent;
        sum.membersDied += statistics.membersDied;
        largestBytes = std::max(largestBytes, statistics.heartbeatBytesSent);
    }
    return sum;
}

/** Free slots of @p kinds kinds of work, which a keeper adds to each heartbeat. */
void fillFreeSlots(protocol::Heartbeat& heartbeat, int kinds)
{
    heartbeat.set_configuration_revision(20'000);
    for (int index = 0; index < kinds; ++index) {
        auto& free = *heartbeat.add_free_slots();
        free.set_kind("kind-" + std::to_string(index));
        free.set_free(120);
        free.set_total(160);
        free.set_expected_wait_ms(25);
    }
}

void measureHeartbeats(Shape shape, std::chrono::milliseconds latency, double loss, int kinds)
{
    MemberFleet fleet(seed);
    Received received;
    fleet.network.latency = latency;
    fleet.network.loss = loss;
    fleet.fillHeartbeat
        = [kinds](const std::string&, protocol::Heartbeat& heartbeat) { fillFreeSlots(heartbeat, kinds); };
    fleet.received = [&](const std::string& host, const protocol::Envelope& envelope) {
        received.bytes[host] += envelope.ByteSizeLong();
        ++received.messages;
    };
    fleet.startAll(shape.domains, shape.hostsPerDomain);
    fleet.run(warmUp);
    std::uint64_t ignored = 0;
    const auto before = sumOf(fleet, ignored);
    received = {};
    std::vector<double> ages;
    for (Duration passed {}; passed < measured; passed += step) {
        fleet.run(step);
        for (const auto& [name, host] : fleet.hosts) {
            for (const auto& member : host.table->liveMembers())
                ages.push_back(seconds(fleet.clock.now() - member.lastHeard));
        }
    }
    std::uint64_t unused = 0;
    const auto after = sumOf(fleet, unused);
    const auto perHostSecond = static_cast<double>(fleet.hosts.size()) * seconds(measured);
    std::uint64_t arrived = 0;
    std::uint64_t largest = 0;
    for (const auto& [host, bytes] : received.bytes) {
        arrived += bytes;
        largest = std::max(largest, bytes);
    }
    const auto sent = static_cast<double>(after.heartbeatBytesSent - before.heartbeatBytesSent) / perHostSecond;
    std::printf("%5d %7d %7lld %5.0f%% %6d %10.1f %9.0f %9.0f %13.0f %8.2f %8.2f %7llu%s\n", shape.domains,
        shape.domains * shape.hostsPerDomain, static_cast<long long>(latency.count()), 100 * loss, kinds,
        static_cast<double>(after.heartbeatsSent - before.heartbeatsSent) / perHostSecond, sent,
        static_cast<double>(arrived) / perHostSecond, static_cast<double>(largest) / seconds(measured),
        quantile(ages, 0.99), quantile(ages, 1),
        static_cast<unsigned long long>(after.membersDied - before.membersDied),
        sent > bytesPerSecondLimit ? "  ABOVE 4 KB/s" : "");
}

/** Returns the time from the write of a change until the last host has it, or the bound's double. */
double spreadOnce(ConfigurationFleet& fleet, std::uint64_t revision)
{
    fleet.write(exampleConfigurationValue(revision));
    const auto start = fleet.members.clock.now();
    const auto limit = 2 * spreadBoundSeconds;
    while (
        fleet.installedHostCount(revision) < fleet.nodes.size() && seconds(fleet.members.clock.now() - start) < limit)
        fleet.members.run(std::chrono::milliseconds(10));
    return seconds(fleet.members.clock.now() - start);
}

std::uint64_t pullsSent(const ConfigurationFleet& fleet)
{
    std::uint64_t pulls = 0;
    for (const auto& [host, node] : fleet.nodes)
        pulls += node.distributor->statistics().pullsSent;
    return pulls;
}

/** An inventory of the planned size: 650 workers with a target each, 34 teams, 7 failure domains. */
Inventory::Parts plannedParts()
{
    constexpr int workers = 650;
    constexpr int teams = 34;
    constexpr int domains = 7;
    Inventory::Parts parts;
    for (int index = 0; index < domains; ++index)
        parts.failureDomains.push_back({ FailureDomainId("domain-" + std::to_string(index)), RegionId("region-0") });
    for (int index = 0; index < workers; ++index) {
        const auto number = std::to_string(index);
        parts.workers.push_back(
            { WorkerId("worker-" + number), FailureDomainId("domain-" + std::to_string(index % domains)),
                RackId("rack-" + std::to_string(index / 8)), { 32, MebibyteCount(131072), 0 } });
        Target target;
        target.id = TargetId("target-" + number);
        target.worker = WorkerId("worker-" + number);
        target.address = "192.0.2." + std::to_string(index % 256) + ":9001";
        target.path = "/run";
        target.kinds = { WorkKind("quote"), WorkKind("blocking-run") };
        target.slots = SlotCount(8);
        target.connections = ConnectionCount(64);
        parts.targets.push_back(target);
    }
    for (int index = 0; index < teams; ++index)
        parts.teams.push_back({ TeamId("team-" + std::to_string(index)), SlotCount(200), 1 });
    return parts;
}

/** Measures what one change of the planned inventory costs a host. */
void measureDocument()
{
    constexpr double changesPerDay = 580;
    constexpr double secondsPerDay = 86'400;
    constexpr int rounds = 20;
    const ConfigurationValue value { Revision(1), ChangeId("c"), "operator", "", *Inventory::create(plannedParts()) };
    const auto text = value.json();
    // CPU time, since the wall clock would measure what else runs on the machine.
    const auto start = std::clock();
    for (int round = 0; round < rounds; ++round) {
        if (!ConfigurationValue::parse(text))
            std::printf("the document cannot be parsed\n");
    }
    const auto milliseconds = 1000.0 * static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC / rounds;
    std::printf(
        "\nconfiguration of the planned size: %zu bytes, %.1f ms of CPU to parse and check; at 580 changes a day %.0f "
        "bytes/s received per host on average\n",
        text.size(), milliseconds, static_cast<double>(text.size()) * changesPerDay / secondsPerDay);
}

void measureSpread(Shape shape, std::chrono::milliseconds latency, double loss, bool isStoreCutOff)
{
    ConfigurationFleet fleet(seed);
    fleet.members.network.latency = latency;
    fleet.members.network.loss = loss;
    fleet.startAll(shape.domains, shape.hostsPerDomain);
    fleet.write(exampleConfigurationValue(1));
    fleet.members.run(warmUp);
    if (isStoreCutOff) {
        // Only the watches of the first domain still report; the others hang without an error.
        for (const auto& [host, node] : fleet.nodes) {
            if (host.compare(0, 2, "d0") != 0)
                fleet.store.disconnect(host);
        }
    }
    const auto watches = fleet.store.watchCount();
    const auto pullsBefore = pullsSent(fleet);
    std::vector<double> times;
    const std::uint64_t lastRevision = isStoreCutOff ? 2 : 1 + spreadRounds;
    for (std::uint64_t revision = 2; revision <= lastRevision; ++revision) {
        times.push_back(spreadOnce(fleet, revision));
        fleet.members.run(std::chrono::milliseconds(1700));
    }
    const auto pulls = pullsSent(fleet) - pullsBefore;
    const auto longest = quantile(times, 1);
    std::printf("%5d %7d %7lld %5.0f%% %-14s %8zu %8.2f %8.2f %12.1f%s\n", shape.domains,
        shape.domains * shape.hostsPerDomain, static_cast<long long>(latency.count()), 100 * loss,
        isStoreCutOff ? "one domain" : "all domains", watches, quantile(times, 0.5), longest,
        static_cast<double>(pulls) / static_cast<double>(times.size()),
        longest > spreadBoundSeconds ? "  ABOVE 7 s" : "");
}

}

int main()
{
    using namespace std::chrono_literals;
    std::printf("seed %llu, %lld s measured\nheartbeats, per host and second (limit for all control: 4096 bytes)\n",
        static_cast<unsigned long long>(seed), static_cast<long long>(measured.count()));
    std::printf(
        "domns   hosts latency  loss  kinds  msgs sent bytes out  bytes in  largest in  age p99  age max  deaths\n");
    for (const auto shape : { Shape { 3, 2 }, Shape { 7, 4 } }) {
        for (const auto latency : { 2ms, 100ms }) {
            for (const int kinds : { 0, 3 })
                measureHeartbeats(shape, latency, 0, kinds);
            measureHeartbeats(shape, latency, 0.01, 0);
        }
    }
    std::printf("\ntime until a change is in force on all hosts, in seconds (bound: 7 s)\n");
    std::printf("domns   hosts latency  loss store watches   watches   median  longest pulls/change\n");
    for (const auto shape : { Shape { 3, 2 }, Shape { 7, 4 } }) {
        measureSpread(shape, 2ms, 0, false);
        measureSpread(shape, 100ms, 0, false);
        measureSpread(shape, 100ms, 0.01, false);
        measureSpread(shape, 100ms, 0, true);
    }
    measureDocument();
    return 0;
}
