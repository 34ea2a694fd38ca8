#include "rattanroad_core/random/PcgRandomSource.h"
#include "shards/FleetChecks.h"

using namespace rattanroad;
using namespace rattanroad::emulator;
using namespace rattanroad::shards;
using namespace std::chrono_literals;

namespace {

const std::string targetPrefix = "servers/";

/** Lets targets drain at random times while hosts are killed, paused and drained, and while the store is slow or tells
    of changes late. Every host can reach the store.
*/
class DrainingFaultRun {
public:
    explicit DrainingFaultRun(std::uint64_t seed)
        : m_random(seed)
        , m_fleet(settings())
    {
    }

    void execute()
    {
        m_fleet.startAll();
        m_fleet.repeatTargetEntries(1500ms);
        m_fleet.run(5s);
        for (int i = 0; i < jobCount; ++i)
            m_fleet.queue().after(randomTime(0ms, duration), [this, i] {
                m_fleet.submit(
                    anyHost(), "job-" + std::to_string(i), 8, randomTime(30ms, 200ms), m_random.below(4) != 0);
            });
        for (int i = 0; i < drainCount; ++i)
            m_fleet.queue().after(randomTime(0ms, duration),
                [this, i] { m_fleet.drainTarget(TargetId("target-" + anyDomain() + "-" + std::to_string(i))); });
        for (int i = 0; i < faultCount; ++i)
            m_fleet.queue().after(randomTime(0ms, duration), [this] { injectFault(); });
        m_fleet.run(duration + 8s);
    }

    EmulatedFleet& fleet() { return m_fleet; }

private:
    using Milliseconds = std::chrono::milliseconds;
    static constexpr int jobCount = 400;
    static constexpr int drainCount = 8;
    static constexpr int faultCount = 14;
    static constexpr Milliseconds duration { 20000 };

    static EmulatedFleet::Settings settings()
    {
        EmulatedFleet::Settings settings;
        settings.targetsPerDomain = 10;
        return settings;
    }

    Milliseconds randomTime(Milliseconds shortest, Milliseconds longest)
    {
        return shortest + Milliseconds(m_random.below(static_cast<std::uint64_t>((longest - shortest).count()) + 1));
    }
    HostId anyHost()
    {
        const auto hosts = m_fleet.hosts();
        return hosts[m_random.below(hosts.size())];
    }
    std::string anyDomain() { return m_random.below(2) == 0 ? "north" : "south"; }

    void injectFault()
    {
        const HostId host = anyHost();
        auto& faults = m_fleet.store().faults;
        const auto after = [this](Milliseconds longest, const std::function<void()>& action) {
            m_fleet.queue().after(randomTime(200ms, longest), action);
        };
        const std::uint64_t kind = m_random.below(8);
        m_fleet.addLogLine("fault " + std::to_string(kind) + " " + host.value());
        switch (kind) {
        case 0:
        case 1:
            m_fleet.kill(host);
            after(5s, [this, host] { m_fleet.start(host); });
            return;
        case 2:
            m_fleet.pause(host);
            after(6s, [this, host] { m_fleet.resume(host); });
            return;
        case 3:
            if (m_fleet.isUp(host))
                m_fleet.node(host).drain();
            after(4s, [this, host] {
                m_fleet.kill(host);
                m_fleet.start(host);
            });
            return;
        case 4:
            faults.latency = randomTime(4ms, 300ms);
            after(5s, [&faults] { faults.latency = 4ms; });
            return;
        case 5:
            faults.deafPrefix = targetPrefix;
            after(4s, [this, &faults] {
                faults.deafPrefix.clear();
                m_fleet.store().compact();
            });
            return;
        case 6:
            faults.silentPrefix = targetPrefix;
            after(4s, [&faults] { faults.silentPrefix.clear(); });
            return;
        default:
            faults.maximumChanges = 3 + m_random.below(20);
            return;
        }
    }

    PcgRandomSource m_random;
    EmulatedFleet m_fleet;
};

}

TEST_CASE("many faults at once lead to no start on a target that drains")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        DrainingFaultRun run(seed);
        run.execute();
        std::string late;
        for (const std::string& violation : run.fleet().targets().violations())
            late = violation.find("began to drain") == std::string::npos ? late : violation;
        INFO("seed " << seed << ": " << late);
        if (!late.empty())
            showLog(run.fleet());
        CHECK(late.empty());
        CHECK(!run.fleet().targets().runs().empty());
    }
}
