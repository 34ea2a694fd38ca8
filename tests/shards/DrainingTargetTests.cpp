#include "shards/FleetChecks.h"

using namespace rattanroad;
using namespace rattanroad::emulator;
using namespace rattanroad::shards;
using namespace std::chrono_literals;

namespace {

constexpr auto entryInterval = 1500ms;
constexpr auto drainNotice = 2000ms;
/** Within this time a host notices that the store answers again. */
constexpr auto storeRetryTime = 300ms;
/** No host acquires the shard of another one before its lease has ended. */
constexpr auto takeoverTime = 3s;
const TargetId drainingTarget("target-north-0");

/** A fleet whose targets write their entries regularly, so that the store limits what an answer to a watch holds. */
class DrainFleet {
public:
    explicit DrainFleet(int hostsPerDomain = 2)
        : m_fleet(settings(hostsPerDomain))
    {
        m_fleet.store().faults.maximumChanges = 25;
        m_fleet.startAll();
        m_fleet.repeatTargetEntries(entryInterval);
        m_fleet.run(8s);
        m_holder = m_fleet.holderOf("north");
    }

    EmulatedFleet& fleet() { return m_fleet; }
    const HostId& holder() const { return m_holder; }
    /** Returns a host that is not the holder and submits jobs. */
    HostId origin()
    {
        for (const HostId& host : m_fleet.hosts()) {
            if (host != m_fleet.holderOf("north") && m_fleet.isUp(host))
                return host;
        }
        return m_holder;
    }
    void drain() { m_fleet.drainTarget(drainingTarget); }
    /** Submits enough jobs for all targets, repeatedly for @p duration. */
    void submitJobsFor(Duration duration)
    {
        const TimePoint end = m_fleet.queue().now() + duration;
        while (m_fleet.queue().now() < end) {
            m_fleet.submit(origin(), "job-" + std::to_string(m_fleet.calls().size()), 12, 60ms, true);
            m_fleet.run(50ms);
        }
    }
    /** Requires that some job was done that was sent after @p time. */
    void requireServiceAfter(TimePoint time)
    {
        const auto& calls = m_fleet.calls();
        REQUIRE(std::any_of(calls.begin(), calls.end(), [time](const EmulatedFleet::Call& call) {
            return call.sentAt >= time && !call.verdicts.empty() && call.verdicts.back() == EntranceVerdict::Done;
        }));
    }

private:
    static EmulatedFleet::Settings settings(int hostsPerDomain)
    {
        EmulatedFleet::Settings settings;
        settings.hostsPerDomain = hostsPerDomain;
        settings.targetsPerDomain = 12;
        return settings;
    }

    EmulatedFleet m_fleet;
    HostId m_holder;
};

}

TEST_CASE("a new holder starts nothing on a target that began to drain before it acquired the shard")
{
    DrainFleet drain;
    drain.drain();
    drain.fleet().run(drainNotice);
    drain.fleet().kill(drain.holder());
    const TimePoint killedAt = drain.fleet().queue().now();
    drain.submitJobsFor(takeoverTime + 3s);
    REQUIRE(drain.fleet().holderOf("north") != drain.holder());
    requireNoViolations(drain.fleet());
    drain.requireServiceAfter(killedAt + takeoverTime);
}

TEST_CASE("a new holder starts nothing on a draining target while its read of the target list is slow")
{
    DrainFleet drain;
    drain.drain();
    drain.fleet().run(drainNotice);
    drain.fleet().store().faults.latency = 240ms;
    drain.fleet().kill(drain.holder());
    drain.submitJobsFor(takeoverTime + 5s);
    REQUIRE(drain.fleet().holderOf("north") != drain.holder());
    requireNoViolations(drain.fleet());
}

TEST_CASE("a holder that continues after an outage of the store starts nothing on a target that drains since")
{
    DrainFleet drain;
    auto& faults = drain.fleet().store().faults;
    for (const HostId& host : drain.fleet().hosts())
        faults.refusedHosts.insert(host);
    faults.maximumChanges = 5;
    drain.fleet().run(1500ms);
    drain.drain();
    drain.fleet().run(drainNotice);
    faults.refusedHosts.clear();
    drain.fleet().run(storeRetryTime);
    const TimePoint endedAt = drain.fleet().queue().now();
    drain.submitJobsFor(3s);
    requireNoViolations(drain.fleet());
    drain.requireServiceAfter(endedAt);
}

TEST_CASE("a holder that was paused starts nothing on a target that began to drain during the pause")
{
    DrainFleet drain(1);
    for (const HostId& host : drain.fleet().hosts())
        drain.fleet().pause(host);
    drain.fleet().store().faults.maximumChanges = 5;
    drain.fleet().run(1500ms);
    drain.drain();
    drain.fleet().run(drainNotice + 100ms);
    for (const HostId& host : drain.fleet().hosts())
        drain.fleet().resume(host);
    const TimePoint resumedAt = drain.fleet().queue().now();
    drain.submitJobsFor(3s);
    requireNoViolations(drain.fleet());
    drain.requireServiceAfter(resumedAt);
}

TEST_CASE("a holder whose watches go unanswered starts nothing on a target that began to drain meanwhile")
{
    DrainFleet drain;
    drain.fleet().store().faults.silentPrefix = "servers/";
    drain.fleet().run(500ms);
    drain.drain();
    const TimePoint drainedAt = drain.fleet().queue().now();
    drain.submitJobsFor(6s);
    requireNoViolations(drain.fleet());
    drain.requireServiceAfter(drainedAt + drainNotice);
}

TEST_CASE("a holder whose watches are told of no changes starts nothing on a target that began to drain meanwhile")
{
    DrainFleet drain;
    drain.fleet().store().faults.deafPrefix = "servers/";
    drain.fleet().run(500ms);
    drain.drain();
    const TimePoint drainedAt = drain.fleet().queue().now();
    drain.submitJobsFor(6s);
    requireNoViolations(drain.fleet());
    drain.requireServiceAfter(drainedAt + drainNotice);
}

TEST_CASE("a holder that reads changes more slowly than they are made starts nothing on a draining target")
{
    DrainFleet drain;
    drain.fleet().store().faults.maximumChanges = 4;
    drain.fleet().run(3s);
    drain.drain();
    const TimePoint drainedAt = drain.fleet().queue().now();
    drain.submitJobsFor(6s);
    requireNoViolations(drain.fleet());
    drain.requireServiceAfter(drainedAt + drainNotice);
}

TEST_CASE("a holder that cannot read the target list starts nothing until it can")
{
    DrainFleet drain;
    auto& faults = drain.fleet().store().faults;
    faults.unreadablePrefix = "servers/";
    drain.drain();
    drain.submitJobsFor(5s);
    faults.unreadablePrefix.clear();
    const TimePoint endedAt = drain.fleet().queue().now();
    drain.submitJobsFor(2s);
    requireNoViolations(drain.fleet());
    drain.requireServiceAfter(endedAt);
}

TEST_CASE("a new holder starts nothing until it has read the target list once")
{
    DrainFleet drain;
    auto& faults = drain.fleet().store().faults;
    faults.unreadablePrefix = "servers/";
    drain.drain();
    drain.fleet().kill(drain.holder());
    drain.submitJobsFor(takeoverTime + 3s);
    REQUIRE(drain.fleet().holderOf("north") != drain.holder());
    faults.unreadablePrefix.clear();
    const TimePoint endedAt = drain.fleet().queue().now();
    drain.submitJobsFor(2s);
    requireNoViolations(drain.fleet());
    drain.requireServiceAfter(endedAt);
}

// An entry that cannot be read names no target to use, and says nothing about the one that it named before.
TEST_CASE("a target whose entry was overwritten by an unreadable one gets no more starts")
{
    EmulatedFleet fleet;
    fleet.startAll();
    fleet.garbleTarget(drainingTarget);
    fleet.run(1s);
    for (int job = 0; job < 6; ++job)
        fleet.submit(HostId("north-0"), "job-" + std::to_string(job), 2, 60ms, true);
    fleet.run(1s);
    showLog(fleet);
    REQUIRE(!fleet.targets().runs().empty());
    for (const auto& task : fleet.targets().runs()) {
        for (const auto& run : task.second)
            REQUIRE(run.target != drainingTarget);
    }
}

TEST_CASE("a target whose entry names another failure domain gets starts from one holder only")
{
    EmulatedFleet::Settings settings;
    settings.targetsPerDomain = 1;
    EmulatedFleet fleet(settings);
    fleet.startAll();
    fleet.moveTarget(drainingTarget, "south");
    fleet.run(1s);
    for (int job = 0; job < 12; ++job)
        fleet.submit(HostId("north-0"), "job-" + std::to_string(job), 2, 300ms, true);
    fleet.run(2s);
    requireNoViolations(fleet);
    REQUIRE(!fleet.targets().runs().empty());
    for (const auto& line : fleet.log())
        REQUIRE(line.find("shard_lost") == std::string::npos);
}
