#include "rattanroad_shards/holding/StoreKeys.h"
#include "rattanroad_shards/placing/IsolationPolicy.h"
#include "shards/FleetChecks.h"

#include <algorithm>

using namespace rattanroad;
using namespace rattanroad::emulator;
using namespace rattanroad::shards;
using namespace std::chrono_literals;

namespace {

/** No task whose turn has come waits for longer while targets that it may use have room for it twice over. */
constexpr auto maximumWait = 3s;
constexpr std::uint32_t tasksPerJob = 2;
constexpr std::uint32_t millicores = 4000;

/** A fleet of three failure domains, each with one target that has the label that all jobs need. */
class LabelledFleet {
public:
    LabelledFleet()
        : m_fleet(settings(m_domains))
    {
        for (const std::string& domain : m_domains)
            addTarget(specialTarget(domain), domain);
        m_fleet.startAll();
    }

    EmulatedFleet& fleet() { return m_fleet; }
    static TargetId specialTarget(const std::string& domain) { return TargetId("special-" + domain); }

    /** Adds a target that has the label. */
    void addTarget(const TargetId& target, const std::string& domain)
    {
        TargetReport report = m_fleet.targets().reports().at(TargetId("target-" + domain + "-0"));
        report.id = target;
        report.labels = { "special" };
        m_targets.push_back(target);
        m_fleet.targets().add(report);
        m_fleet.listTarget(target);
    }
    void submit(const std::string& job, std::chrono::milliseconds duration)
    {
        const std::vector<HostId> hosts = m_fleet.hosts();
        auto& call = m_fleet.submit(hosts[m_jobs.size() % hosts.size()], job, tasksPerJob, duration, false);
        call.description.mutable_phases(0)->set_required_label("special");
        call.description.mutable_phases(0)->set_millicores(millicores);
        call.description.set_payload(taskPayload(duration, { millicores, 64, 0 }));
        m_jobs.emplace_back(job);
    }

    /** Ends a target for good, without notice. Its entry disappears when its lease has ended. */
    void loseTarget(const TargetId& target)
    {
        m_lost.insert(target);
        for (const auto& entry : m_fleet.targets().runs()) {
            const bool isRunning = std::any_of(entry.second.begin(), entry.second.end(),
                [&target](const auto& run) { return run.target == target && run.endedAt == TimePoint::max(); });
            m_lostRuns += isRunning;
        }
        m_fleet.targets().remove(target);
        m_fleet.queue().after(4500ms, [this, target] { m_fleet.unlistTarget(target); });
    }
    std::size_t lostRuns() const { return m_lostRuns; }
    /** Returns whether a task ran beside another on the same target after two targets had crashed under it. */
    bool ranBesideOthersAfterTwoCrashes() const
    {
        for (const auto& task : m_fleet.targets().runs()) {
            std::size_t crashes = 0;
            for (const auto& run : task.second) {
                if (crashes >= 2 && ranBesideOthers(task.first, run))
                    return true;
                crashes += run.ending == "crashed";
            }
        }
        return false;
    }

    /** Runs for @p delay and then for @p duration. Returns the longest time of the latter for which a job had nothing
        running while the targets with the label had room for what is left of it twice over. */
    Duration longestWait(Duration delay, Duration duration)
    {
        constexpr auto step = 50ms;
        m_fleet.run(delay);
        std::map<JobId, Duration> waits;
        Duration longest { 0 };
        for (Duration elapsed { 0 }; elapsed < duration; elapsed += step) {
            m_fleet.run(step);
            for (const JobId& job : m_jobs) {
                Duration& wait = waits[job];
                const std::size_t left = tasksLeft(job);
                wait = left == 0 || isRunning(job) || freeMillicores() < 2 * left * millicores ? Duration(0)
                                                                                               : wait + step;
                longest = std::max(longest, wait);
            }
        }
        return longest;
    }
    /** Returns the shards that jobs were transferred to. */
    std::set<std::string> transferDestinations() const
    {
        std::set<std::string> shards;
        for (const JobId& job : m_jobs) {
            protocol::JobRecord record;
            record.ParseFromString(m_fleet.store().value(storekeys::job(job)).value_or(""));
            if (!record.transferred_from().empty())
                shards.insert(record.shard());
        }
        return shards;
    }
    std::size_t tasksLeft(const JobId& job) const
    {
        std::size_t left = tasksPerJob;
        forRuns(job, [&left](const auto& run) { left -= run.ending == "done"; });
        return left;
    }

private:
    static EmulatedFleet::Settings settings(const std::vector<std::string>& domains)
    {
        EmulatedFleet::Settings settings;
        settings.domains = domains;
        settings.hostsPerDomain = 1;
        return settings;
    }
    template <typename Function> void forRuns(const JobId& job, Function function) const
    {
        for (const auto& entry : m_fleet.targets().runs()) {
            if (entry.first.job == job)
                std::for_each(entry.second.begin(), entry.second.end(), function);
        }
    }
    bool ranBesideOthers(const TaskId& id, const EmulatedTargets::Run& run) const
    {
        for (const auto& other : m_fleet.targets().runs()) {
            const bool isBeside = std::any_of(other.second.begin(), other.second.end(), [&run](const auto& candidate) {
                return candidate.target == run.target && candidate.startedAt < run.endedAt
                    && run.startedAt < candidate.endedAt;
            });
            if (isBeside && (other.first < id || id < other.first))
                return true;
        }
        return false;
    }
    bool isRunning(const JobId& job) const
    {
        bool isAny = false;
        forRuns(job, [&isAny](const auto& run) { isAny = isAny || run.endedAt == TimePoint::max(); });
        return isAny;
    }
    std::uint64_t freeMillicores() const
    {
        std::uint64_t free = 0;
        for (const TargetId& target : m_targets) {
            if (!m_lost.count(target))
                free += m_fleet.targets().reports().at(target).capacity.millicores;
        }
        for (const JobId& job : m_jobs) {
            forRuns(job, [&free](const auto& run) {
                if (run.endedAt == TimePoint::max())
                    free -= millicores;
            });
        }
        return free;
    }

    const std::vector<std::string> m_domains { "east", "north", "west" };
    mutable EmulatedFleet m_fleet;
    std::vector<JobId> m_jobs;
    std::vector<TargetId> m_targets;
    std::set<TargetId> m_lost;
    std::size_t m_lostRuns { 0 };
};

}

// Guards against tasks that were lost together and are isolated one after the other on the only target with their
// label.
TEST_CASE("tasks that were lost with one target do not wait for one another")
{
    LabelledFleet labelled;
    EmulatedFleet& fleet = labelled.fleet();
    for (int i = 0; i < 9; ++i)
        labelled.submit("job-" + std::to_string(i), 4s);
    fleet.run(1s);
    const std::string domain = GENERATE("east", "north", "west");
    labelled.loseTarget(LabelledFleet::specialTarget(domain));
    REQUIRE(labelled.lostRuns() >= 2);
    // The entry of the target is there for 4.5 s, and the jobs are transferred 2.5 s after that.
    const Duration longest = labelled.longestWait(7500ms, 20s);
    showLog(fleet);
    CHECK(longest <= maximumWait);
    for (int i = 0; i < 9; ++i)
        CHECK(labelled.tasksLeft(JobId("job-" + std::to_string(i))) == 0);
    requireNoViolations(fleet);
}

// Guards against transfers that all choose one shard, by a load that does not contain the others.
TEST_CASE("jobs that are transferred at one moment go to all shards that can run them")
{
    LabelledFleet labelled;
    for (int i = 0; i < 18; ++i)
        labelled.submit("job-" + std::to_string(i), 4s);
    labelled.fleet().run(1s);
    labelled.loseTarget(LabelledFleet::specialTarget("east"));
    labelled.fleet().run(9s);
    showLog(labelled.fleet());
    CHECK(labelled.transferDestinations() == std::set<std::string> { "north", "west" });
}

// Guards against a new job that waits for a task of another job which has lost a run and has the target to itself.
TEST_CASE("a new job does not wait for the isolation of a task that has lost one run")
{
    LabelledFleet labelled;
    EmulatedFleet& fleet = labelled.fleet();
    labelled.loseTarget(LabelledFleet::specialTarget("west"));
    labelled.loseTarget(LabelledFleet::specialTarget("north"));
    fleet.run(5s);
    labelled.submit("lost", 12s);
    fleet.run(500ms);
    fleet.targets().faults.crashDuration = 500ms;
    fleet.targets().crash(LabelledFleet::specialTarget("east"));
    fleet.run(2s);
    labelled.submit("new", 500ms);
    const Duration longest = labelled.longestWait(0ms, 6s);
    showLog(fleet);
    CHECK(longest <= maximumWait);
    CHECK(labelled.tasksLeft(JobId("new")) == 0);
    requireNoViolations(fleet);
}

// Guards against a target with room that is closed until a long run ends whose task has lost one run.
TEST_CASE("jobs start beside a task that has lost one run when the other targets are full")
{
    LabelledFleet labelled;
    EmulatedFleet& fleet = labelled.fleet();
    for (const char* const domain : { "west", "north" })
        labelled.loseTarget(LabelledFleet::specialTarget(domain));
    labelled.addTarget(TargetId("special-east-2"), "east");
    fleet.run(5s);
    labelled.submit("lost", 20s);
    fleet.run(500ms);
    fleet.targets().faults.crashDuration = 300ms;
    fleet.targets().crash(LabelledFleet::specialTarget("east"));
    fleet.targets().crash(TargetId("special-east-2"));
    fleet.run(1500ms);
    for (int i = 0; i < 5; ++i)
        labelled.submit("new-" + std::to_string(i), 10s);
    const Duration longest = labelled.longestWait(0ms, 9s);
    showLog(fleet);
    CHECK(longest <= maximumWait);
    CHECK(fleet.targets().running() == std::size_t { 6 } * tasksPerJob);
    requireNoViolations(fleet);
}

// Guards against jobs that fail by the crashes of another job's task, since they run beside it a third time.
TEST_CASE("a task under which two targets have crashed runs beside no other task")
{
    LabelledFleet labelled;
    EmulatedFleet& fleet = labelled.fleet();
    auto& faults = fleet.targets().faults;
    faults.crashingJobs = { JobId("crashing") };
    faults.crashAfter = GENERATE(100ms, 2500ms);
    faults.crashDuration = 1s;
    labelled.submit("crashing", 3s);
    for (int i = 0; i < 5; ++i)
        labelled.submit("job-" + std::to_string(i), 3s);
    fleet.run(90s);
    showLog(fleet);
    CHECK(!labelled.ranBesideOthersAfterTwoCrashes());
    for (int i = 0; i < 5; ++i)
        CHECK(labelled.tasksLeft(JobId("job-" + std::to_string(i))) == 0);
    CHECK(stateOf(fleet, fleet.hosts().front(), "crashing") == JobState::Failed);
    requireNoViolations(fleet);
}

// Guards against a task that waits for an idle target for ever, since each is used again as soon as a run ends.
TEST_CASE("a task under which two targets have crashed starts while other tasks keep all targets in use")
{
    LabelledFleet labelled;
    EmulatedFleet& fleet = labelled.fleet();
    fleet.targets().faults.crashDuration = 300ms;
    for (const char* const domain : { "west", "north" })
        labelled.loseTarget(LabelledFleet::specialTarget(domain));
    fleet.run(5s);
    labelled.submit("lost", 2s);
    for (int crash = 0; crash < 2; ++crash) {
        fleet.run(1s);
        fleet.targets().crash(LabelledFleet::specialTarget("east"));
    }
    for (int i = 0; i < 40; ++i) {
        labelled.submit("other-" + std::to_string(i), 1500ms);
        fleet.run(500ms);
    }
    showLog(fleet);
    CHECK(labelled.tasksLeft(JobId("lost")) == 0);
    CHECK(!labelled.ranBesideOthersAfterTwoCrashes());
    fleet.run(10s);
    for (int i = 0; i < 40; ++i)
        CHECK(labelled.tasksLeft(JobId("other-" + std::to_string(i))) == 0);
    requireNoViolations(fleet);
}

TEST_CASE("the isolation of a task weighs the losses under it against the targets that are left for others")
{
    const IsolationPolicy policy({});
    IsolationPolicy::Figures figures;
    figures.eligibleTargets = 8;
    figures.targets = 8;
    REQUIRE(policy.decide(figures) == Isolation::None);
    figures.lostRuns = 1;
    REQUIRE(policy.decide(figures) == Isolation::Preferred);
    SECTION("a task with one loss does not take the only target that others could use")
    {
        figures.eligibleTargets = 1;
        REQUIRE(policy.decide(figures) == Isolation::None);
        figures.eligibleTargets = 2;
        REQUIRE(policy.decide(figures) == Isolation::Preferred);
        figures.isolatedTargets = 1;
        REQUIRE(policy.decide(figures) == Isolation::None);
    }
    SECTION("a quarter of the targets is kept for tasks with one loss after a loss of many targets")
    {
        figures.isolatedTargets = 1;
        REQUIRE(policy.decide(figures) == Isolation::Preferred);
        figures.isolatedTargets = 2;
        REQUIRE(policy.decide(figures) == Isolation::None);
    }
    SECTION("a task with two losses is kept apart, also where there is one target")
    {
        figures.lostRuns = 2;
        figures.eligibleTargets = 1;
        figures.isolatedTasks = 16;
        REQUIRE(policy.decide(figures) == Isolation::Required);
    }
    SECTION("tasks with two losses are too many to be the cause when all targets of a domain have failed twice")
    {
        figures.lostRuns = 2;
        figures.isolatedTasks = 17;
        REQUIRE(policy.decide(figures) == Isolation::Preferred);
        figures.isolatedTargets = 2;
        REQUIRE(policy.decide(figures) == Isolation::None);
    }
}
