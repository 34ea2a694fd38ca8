#include "shards/FleetChecks.h"

using namespace rattanroad;
using namespace rattanroad::emulator;
using namespace rattanroad::shards;
using namespace std::chrono_literals;

namespace {

/** A fleet in which a job of "north" runs whose caller submits it next to a host that has just started and so does not
    know its shard.
*/
class ForgetfulFleet {
public:
    /** @param areTargetsBusy  all targets are in use at first, so that the job starts 0.8 s later */
    explicit ForgetfulFleet(bool areTargetsBusy = false)
        : m_fleet(settings())
    {
        m_fleet.startAll();
        m_fleet.run(5s);
        m_holder = m_fleet.holderOf("north");
        m_origin = hostWithoutShard("north");
        m_restarted = hostWithoutShard("south");
        if (areTargetsBusy) {
            m_fleet.submit(m_holder, "fills north", 6, 1100ms, true);
            m_fleet.submit(m_fleet.holderOf("south"), "fills south", 12, 600ms, true);
            m_fleet.run(250ms);
        }
        m_fleet.submit(m_origin, "a", 1, 3s, true).nextHost = m_restarted;
        m_fleet.run(300ms);
        REQUIRE(m_fleet.startCount("a") == (areTargetsBusy ? 0 : 1));
    }

    EmulatedFleet& fleet() { return m_fleet; }
    const HostId& holder() const { return m_holder; }
    const HostId& origin() const { return m_origin; }
    const HostId& restarted() const { return m_restarted; }

private:
    static EmulatedFleet::Settings settings()
    {
        EmulatedFleet::Settings settings;
        settings.hostsPerDomain = 3;
        return settings;
    }
    HostId hostWithoutShard(const std::string& domain)
    {
        for (const HostId& host : m_fleet.hosts()) {
            const bool isOfDomain = host.value().compare(0, domain.size(), domain) == 0;
            if (isOfDomain && host != m_fleet.holderOf("north") && host != m_fleet.holderOf("south"))
                return host;
        }
        return HostId();
    }

    EmulatedFleet m_fleet;
    HostId m_holder;
    HostId m_origin;
    HostId m_restarted;
};

/** A fleet of three failure domains with jobs whose callers got no answer in time and submit them to another host from
    now on for 0.3 s and longer. All jobs have the same homes.
*/
class ResubmittingFleet {
public:
    ResubmittingFleet()
        : m_fleet(settings())
    {
        m_fleet.startAll();
        std::vector<HostId> entrances;
        for (const HostId& host : m_fleet.hosts()) {
            if (host.value().compare(0, 5, "north") == 0 && host != home(0) && host != home(1))
                entrances.push_back(host);
        }
        REQUIRE(entrances.size() >= 2);
        for (int i = 0; i < 20; ++i) {
            EmulatedFleet::Call& call = m_fleet.submit(entrances[0], nextJob(), 1, 2s, true);
            call.description.mutable_phases(0)->set_estimated_ms(500);
            call.nextHost = entrances[1];
            m_fleet.run(15ms);
        }
        // The callers wait for 1.5 s and submit their jobs again 1.3 s later.
        m_fleet.run(2000ms);
    }

    EmulatedFleet& fleet() { return m_fleet; }
    /** Returns the holder of a home of the jobs, which come in this order. */
    HostId home(std::size_t index) { return m_fleet.holderOf(m_homes.at(index)); }

private:
    static EmulatedFleet::Settings settings()
    {
        EmulatedFleet::Settings settings;
        settings.domains = { "north", "south", "west" };
        settings.hostsPerDomain = 3;
        settings.targetsPerDomain = 8;
        return settings;
    }
    std::string nextJob()
    {
        const JobHomes& homes = m_fleet.node(home(0)).entrance().homes();
        const std::vector<ShardId> order { m_homes.begin(), m_homes.end() };
        do {
            ++m_number;
        } while (homes.homesOf(JobId("job-" + std::to_string(m_number))) != order);
        return "job-" + std::to_string(m_number);
    }

    const std::vector<std::string> m_homes { "north", "south", "west" };
    EmulatedFleet m_fleet;
    int m_number { 0 };
};

/** A fleet of one failure domain with few targets, on one of which a job runs. */
class SmallFleet {
public:
    explicit SmallFleet(int targets)
        : m_fleet(settings(targets))
    {
        m_fleet.startAll();
        m_fleet.run(5s);
        m_fleet.setCallerWait(8s);
    }

    EmulatedFleet& fleet() { return m_fleet; }
    void submit() { m_fleet.submit(m_fleet.hosts().front(), "a", 1, 4s, true); }
    void restartTargets()
    {
        for (const auto& report : std::map<TargetId, TargetReport>(m_fleet.targets().reports()))
            m_fleet.targets().restart(report.first);
    }
    TargetId targetWithRun() const
    {
        for (const auto& task : m_fleet.targets().runs()) {
            for (const auto& run : task.second) {
                if (run.endedAt == TimePoint::max())
                    return run.target;
            }
        }
        return TargetId();
    }

private:
    static EmulatedFleet::Settings settings(int targets)
    {
        EmulatedFleet::Settings settings;
        settings.domains = { "north" };
        settings.targetsPerDomain = targets;
        return settings;
    }

    mutable EmulatedFleet m_fleet;
};

}

TEST_CASE("a run ends before its caller resubmits the job when the holder dies soon after the origin")
{
    ForgetfulFleet forgetful;
    EmulatedFleet& fleet = forgetful.fleet();
    fleet.kill(forgetful.restarted());
    fleet.kill(forgetful.origin());
    fleet.run(700ms);
    fleet.kill(forgetful.holder());
    fleet.start(forgetful.restarted());
    fleet.run(5s);
    requireNoViolations(fleet);
}

TEST_CASE(
    "a run that starts after its origin has died ends before its caller resubmits the job when the holder dies too")
{
    ForgetfulFleet forgetful(true);
    EmulatedFleet& fleet = forgetful.fleet();
    fleet.kill(forgetful.restarted());
    fleet.kill(forgetful.origin());
    fleet.run(620ms);
    fleet.kill(forgetful.holder());
    fleet.start(forgetful.restarted());
    fleet.run(5s);
    requireNoViolations(fleet);
}

TEST_CASE("a run that cannot be stopped ends before its caller resubmits the job to a host that has just started")
{
    ForgetfulFleet forgetful;
    EmulatedFleet& fleet = forgetful.fleet();
    fleet.targets().faults.lateStops = 100;
    fleet.kill(forgetful.restarted());
    fleet.kill(forgetful.origin());
    fleet.run(1100ms);
    fleet.holdMessages(forgetful.holder());
    fleet.start(forgetful.restarted());
    fleet.run(400ms);
    fleet.releaseMessages(forgetful.holder());
    fleet.run(5s);
    requireNoViolations(fleet);
}

TEST_CASE("a handover that was held up revives no job that its caller has submitted to another host")
{
    ForgetfulFleet forgetful;
    EmulatedFleet& fleet = forgetful.fleet();
    fleet.kill(forgetful.restarted());
    fleet.holdMessages(forgetful.holder());
    fleet.node(forgetful.holder()).drain();
    fleet.run(100ms);
    fleet.kill(forgetful.origin());
    // The next holder of the job's home does not know where the job is, and the handover is still under way.
    fleet.node(fleet.holderOf("south")).drain();
    fleet.run(700ms);
    REQUIRE(fleet.holderOf("north") != forgetful.holder());
    fleet.start(forgetful.restarted());
    REQUIRE(fleet.runUntil([&fleet] { return fleet.targets().running() == 1; }, 3s));
    fleet.releaseMessages(forgetful.holder());
    fleet.run(5s);
    requireNoViolations(fleet);
}

// Guards against a home that was paused during a search and hands over a job that its origin has sent elsewhere since.
TEST_CASE("a job that is submitted again while two holders are paused one after the other runs in one shard")
{
    ResubmittingFleet resubmitting;
    EmulatedFleet& fleet = resubmitting.fleet();
    const HostId first = resubmitting.home(0);
    const HostId second = resubmitting.home(1);
    fleet.pause(first);
    fleet.run(GENERATE(620ms, 650ms, 680ms));
    fleet.pause(second);
    fleet.run(100ms);
    fleet.resume(first);
    fleet.run(500ms);
    fleet.resume(second);
    fleet.run(5s);
    requireNoViolations(fleet);
}

// Guards against a holder that starts a job on a submission which was under way for so long that its origin has sent
// the job elsewhere.
TEST_CASE("a job that is submitted again while the messages of its homes are late runs in one shard")
{
    ResubmittingFleet resubmitting;
    EmulatedFleet& fleet = resubmitting.fleet();
    fleet.run(GENERATE(0ms, 450ms));
    fleet.holdMessages(resubmitting.home(0));
    const Duration released = GENERATE(300ms, 400ms, 500ms, 600ms, 700ms, 800ms, 900ms);
    const Duration secondHeld = GENERATE(0ms, 200ms, 400ms, 600ms);
    fleet.run(std::min(released, secondHeld));
    if (secondHeld > 0ms)
        fleet.holdMessages(resubmitting.home(1));
    fleet.run(released - std::min(released, secondHeld));
    fleet.releaseMessages(resubmitting.home(0));
    fleet.run(GENERATE(10ms, 300ms));
    fleet.releaseMessages(resubmitting.home(1));
    fleet.run(6s);
    requireNoViolations(fleet);
}

TEST_CASE("a start that arrives after its target has restarted does not run when the first stop to it is lost")
{
    SmallFleet small(2);
    EmulatedFleet& fleet = small.fleet();
    auto& faults = fleet.targets().faults;
    faults.lateStarts = 1;
    faults.lateBy = 2s;
    small.submit();
    fleet.run(600ms);
    faults.lateStops = 1;
    faults.lateBy = 4s;
    small.restartTargets();
    fleet.run(8s);
    requireNoViolations(fleet);
}

TEST_CASE("a start that arrives after its target has restarted twice does not run")
{
    SmallFleet small(2);
    EmulatedFleet& fleet = small.fleet();
    auto& faults = fleet.targets().faults;
    faults.lateStarts = 1;
    faults.lateBy = 2s;
    small.submit();
    fleet.run(600ms);
    small.restartTargets();
    fleet.run(600ms);
    small.restartTargets();
    fleet.run(8s);
    requireNoViolations(fleet);
}

TEST_CASE("a start that was stopped before its call timed out does not run after its target has restarted")
{
    SmallFleet small(1);
    EmulatedFleet& fleet = small.fleet();
    auto& faults = fleet.targets().faults;
    // Polls return when runs end, and one of them shows that the stopped start has not been carried out.
    fleet.submit(fleet.hosts().front(), "b", 1, 40ms, true);
    fleet.run(10ms);
    faults.lateStarts = 1;
    faults.lateBy = 2s;
    small.submit();
    fleet.run(10ms);
    fleet.submit(fleet.hosts().front(), "c", 1, 20ms, true);
    fleet.node(fleet.holderOf("north")).dispatcher(ShardId("north"))->cancel(JobId("a"), [](bool, JobState) {});
    // The origin still repeats the submission, which reopens the job.
    fleet.run(800ms);
    REQUIRE(fleet.targets().running() == 1);
    REQUIRE(fleet.startCount("a") == 1);
    small.restartTargets();
    fleet.run(6s);
    requireNoViolations(fleet);
}

TEST_CASE("a run on a target that was lost is not started again while a late poll may have extended its lease")
{
    SmallFleet small(2);
    EmulatedFleet& fleet = small.fleet();
    auto& faults = fleet.targets().faults;
    // The late polls arrive shortly before the lease of the run would end.
    faults.lateBy = GENERATE(2000ms, 2100ms, 2200ms, 2300ms, 2400ms, 2500ms, 2600ms, 2700ms);
    faults.delayEvery = 1;
    fleet.run(420ms);
    faults.delayEvery = 0;
    small.restartTargets();
    fleet.run(500ms);
    small.submit();
    fleet.run(800ms);
    REQUIRE(fleet.targets().running() == 1);
    faults.unreachableTargets.insert(small.targetWithRun());
    fleet.run(6s);
    requireNoViolations(fleet);
}
