#include "emulator/EmulatedFleet.h"
#include "rattanroad_core/random/PcgRandomSource.h"

#include <catch2/catch.hpp>

using namespace rattanroad;
using namespace rattanroad::emulator;
using namespace rattanroad::shards;
using namespace std::chrono_literals;

namespace {

/** Submits jobs at random times within 20 s and injects random faults, all of which are over by the end of the run.
 */
class RandomFaultRun {
public:
    RandomFaultRun(std::uint64_t seed, EmulatedFleet::Settings settings)
        : m_random(seed)
        , m_fleet(std::move(settings))
    {
    }

    void execute()
    {
        m_fleet.startAll();
        for (int i = 0; i < 250; ++i) {
            m_fleet.queue().after(
                std::chrono::milliseconds(m_random.below(20000)), [this, i] { submit("job-" + std::to_string(i)); });
        }
        for (int i = 0; i < 8; ++i)
            m_fleet.queue().after(std::chrono::milliseconds(m_random.below(15000)), [this] { injectFault(); });
        m_fleet.run(45s);
    }

    EmulatedFleet& fleet() { return m_fleet; }

private:
    HostId anyHost()
    {
        const auto hosts = m_fleet.hosts();
        return hosts[m_random.below(hosts.size())];
    }

    TargetId anyTarget()
    {
        auto target = m_fleet.targets().reports().begin();
        std::advance(target, static_cast<std::ptrdiff_t>(m_random.below(m_fleet.targets().reports().size())));
        return target->first;
    }

    void submit(const std::string& job)
    {
        const auto duration = std::chrono::milliseconds(30 + m_random.below(m_random.below(4) == 0 ? 1500 : 200));
        m_fleet.submit(anyHost(), job, 1 + static_cast<std::uint32_t>(m_random.below(3)), duration,
            m_random.below(3) != 0, m_random.below(40) == 0);
    }

    void runLater(std::function<void()> action)
    {
        m_fleet.queue().after(std::chrono::milliseconds(200 + m_random.below(5000)), std::move(action));
    }

    void injectFault()
    {
        const HostId host = anyHost();
        const TargetId target = anyTarget();
        auto& store = m_fleet.store().faults;
        auto& targets = m_fleet.targets().faults;
        const std::uint64_t kind = m_random.below(12);
        m_fleet.addLogLine("fault " + std::to_string(kind) + " host " + host.value() + " target " + target.value());
        switch (kind) {
        case 0:
            m_fleet.kill(host);
            runLater([this, host] { m_fleet.start(host); });
            return;
        case 1:
            m_fleet.pause(host);
            runLater([this, host] { m_fleet.resume(host); });
            return;
        case 2:
            m_fleet.isolate(host);
            runLater([this, host] { m_fleet.reconnect(host); });
            return;
        case 3:
            store.doLeasesExpireWhileDown = m_random.below(2) == 0;
            store.isDown = true;
            runLater([&store] { store.isDown = false; });
            return;
        case 4:
            store.latency = 150ms;
            runLater([&store] { store.latency = 4ms; });
            return;
        case 5:
            store.repliesToLose += 10;
            return;
        case 6:
            store.lateTransactions += 5;
            return;
        case 7:
            store.refusedHosts.insert(host);
            runLater([&store, host] { store.refusedHosts.erase(host); });
            return;
        case 8:
            targets.lateStarts += 8;
            return;
        case 9:
            m_fleet.targets().restart(target);
            return;
        case 10:
            targets.unreachableTargets.insert(target);
            runLater([&targets, target] { targets.unreachableTargets.erase(target); });
            return;
        default:
            m_fleet.store().revoke("rattanroad/fleet/host/" + host.value());
            m_fleet.store().compact();
            return;
        }
    }

    PcgRandomSource m_random;
    EmulatedFleet m_fleet;
};

std::int64_t millisecondsSinceStart(TimePoint time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time - VirtualClock().now()).count();
}

/** Returns the first violated invariant at the end of a run, or an empty string. */
std::string findFailure(EmulatedFleet& fleet)
{
    if (!fleet.targets().violations().empty())
        return fleet.targets().violations().front();
    if (fleet.targets().running() != 0)
        return "a run is still active";
    for (const auto& call : fleet.calls()) {
        bool isAccepted = false;
        bool isRefused = !call.verdicts.empty();
        for (const EntranceVerdict verdict : call.verdicts) {
            isAccepted = isAccepted || verdict == EntranceVerdict::Accepted;
            isRefused = isRefused && verdict == EntranceVerdict::Refused;
        }
        const bool wasStarted = fleet.startCount(call.job.value()) != 0;
        if (isRefused && wasStarted && call.attempts == static_cast<int>(call.verdicts.size()))
            return call.job.value() + " was refused and has started";
        if (!isAccepted)
            continue;
        const auto value = fleet.store().value("rattanroad/job/" + call.job.value());
        protocol::JobRecord record;
        if (!value || !record.ParseFromString(*value))
            return call.job.value() + " was accepted and has no readable record";
        if (!hasEnded(static_cast<JobState>(record.state())))
            return call.job.value() + " was accepted and has not ended";
    }
    return "";
}

void requireNoFailure(const EmulatedFleet::Settings& settings, std::uint64_t first, std::uint64_t count)
{
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        RandomFaultRun run(seed, settings);
        run.execute();
        const std::string failure = findFailure(run.fleet());
        if (!failure.empty()) {
            for (const std::string& line : run.fleet().log())
                UNSCOPED_INFO(line);
            for (const auto& task : run.fleet().targets().runs()) {
                for (const auto& taskRun : task.second)
                    UNSCOPED_INFO(task.first.job.value()
                        << "." << task.first.index << " attempt " << taskRun.attempt << " on " << taskRun.target.value()
                        << " from " << millisecondsSinceStart(taskRun.startedAt) << " to "
                        << millisecondsSinceStart(taskRun.endedAt) << " " << taskRun.ending);
            }
        }
        INFO("seed " << seed << ": " << failure);
        REQUIRE(failure.empty());
    }
}

}

// The time limit of CTest for this program allows about 400 seeds.
TEST_CASE("random faults violate no invariant") { requireNoFailure({}, 1, 150); }

// Restarted hosts make shards move back to larger ones while jobs run.
TEST_CASE("random faults violate no invariant among hosts of different size")
{
    EmulatedFleet::Settings settings;
    settings.processors = { { HostId("north-0"), HostMillicores(90) }, { HostId("north-1"), HostMillicores(500) },
        { HostId("south-0"), HostMillicores(300) }, { HostId("south-1"), HostMillicores(1000) } };
    requireNoFailure(settings, 150, 100);
}
