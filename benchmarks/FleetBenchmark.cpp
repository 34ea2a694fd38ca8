// Prints what a host sends, receives and reads per second in fleets of 30 to 650 hosts with seven targets for each
// host, on a virtual clock: without jobs, and with 20 jobs a second for each host. Usage: benchmark_fleet [largest
// fleet]
#include "emulator/EmulatedFleet.h"

#include <cstdio>
#include <cstdlib>
#include <string>

using namespace rattanroad;
using namespace rattanroad::emulator;
using namespace rattanroad::shards;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> domains { "north", "south", "east", "west", "middle" };
constexpr int targetsPerHost = 7;
constexpr int jobsPerHostAndSecond = 20;
constexpr auto duration = 5s;

/** What some of the hosts have sent, received and read. */
struct Sum {
    std::size_t hosts { 0 };
    EmulatedFleet::Traffic traffic;

    void add(const EmulatedFleet::Traffic& before, const EmulatedFleet::Traffic& after)
    {
        ++hosts;
        traffic.messagesSent += after.messagesSent - before.messagesSent;
        traffic.bytesSent += after.bytesSent - before.bytesSent;
        traffic.messagesReceived += after.messagesReceived - before.messagesReceived;
        traffic.bytesReceived += after.bytesReceived - before.bytesReceived;
        traffic.storeCalls += after.storeCalls - before.storeCalls;
        traffic.targetEntries += after.targetEntries - before.targetEntries;
    }
    void print(const char* role) const
    {
        const auto rate = [this](std::uint64_t count) {
            return static_cast<double>(count) / static_cast<double>(hosts)
                / std::chrono::duration<double>(duration).count();
        };
        std::printf("  %-13s messages sent %7.1f received %7.1f, bytes sent %9.0f received %9.0f, store calls %5.1f, "
                    "target entries %7.1f\n",
            role, rate(traffic.messagesSent), rate(traffic.messagesReceived), rate(traffic.bytesSent),
            rate(traffic.bytesReceived), rate(traffic.storeCalls), rate(traffic.targetEntries));
    }
};

class MeasuredFleet {
public:
    explicit MeasuredFleet(int hosts)
        : m_fleet(settings(hosts))
    {
        m_fleet.startAll();
        m_fleet.run(5s);
    }

    void measure(const char* load)
    {
        std::map<HostId, EmulatedFleet::Traffic> before;
        for (const HostId& host : m_fleet.hosts())
            before[host] = m_fleet.trafficOf(host);
        m_fleet.run(duration);
        Sum holders;
        Sum others;
        for (const auto& host : before)
            (m_fleet.node(host.first).isHolding() ? holders : others).add(host.second, m_fleet.trafficOf(host.first));
        std::printf("%zu hosts, %s, per host and second\n", before.size(), load);
        holders.print("holders");
        others.print("other hosts");
    }
    void submitJobs()
    {
        const auto hosts = m_fleet.hosts();
        m_fleet.submit(hosts[m_jobs % hosts.size()], "job-" + std::to_string(++m_jobs), 3, 60ms, true);
        m_fleet.queue().after(1000000us / (hosts.size() * jobsPerHostAndSecond), [this] { submitJobs(); });
    }

private:
    static EmulatedFleet::Settings settings(int hosts)
    {
        EmulatedFleet::Settings settings;
        settings.domains = domains;
        settings.hostsPerDomain = hosts / static_cast<int>(domains.size());
        settings.targetsPerDomain = settings.hostsPerDomain * targetsPerHost;
        return settings;
    }

    EmulatedFleet m_fleet;
    std::size_t m_jobs { 0 };
};

}

int main(int argc, char** argv)
{
    const int largest = argc > 1 ? std::atoi(argv[1]) : 650;
    for (const int hosts : { 30, 100, 300, 650 }) {
        if (hosts > largest)
            break;
        MeasuredFleet fleet(hosts);
        fleet.measure("no jobs");
        fleet.submitJobs();
        fleet.measure("20 jobs a second each");
    }
    return 0;
}
