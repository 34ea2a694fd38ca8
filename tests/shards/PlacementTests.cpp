#include "emulator/EmulatedTargets.h"
#include "rattanroad_core/random/PcgRandomSource.h"
#include "rattanroad_shards/jobs/TaskRunner.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace rattanroad;
using namespace rattanroad::emulator;
using namespace rattanroad::shards;
using namespace std::chrono_literals;

namespace {

/** The targets of a shard and the jobs that run on them. */
class PlacementFixture {
public:
    PlacementFixture()
        : m_queue(m_clock)
        , m_emulated(m_queue)
        , m_calls(m_emulated.callsFrom(HostId("host")))
        , m_targets({}, m_calls, timers(), m_clock, sessionHooks(), {})
        , m_jobs({}, m_clock)
        , m_runner({}, m_jobs, m_targets, timers(), m_clock, runnerHooks())
    {
        m_targets.open(FencingToken(1));
        m_runner.begin(Generation(1));
    }

    static TargetReport report(const std::string& id, Resources capacity)
    {
        TargetReport report;
        report.id = TargetId(id);
        report.service = ServiceId("quotes");
        report.address = id;
        report.capacity = capacity;
        report.labels = { "a", "rack-1" };
        report.bornMs = 1;
        return report;
    }

    void add(const TargetReport& report)
    {
        m_emulated.add(report);
        m_targets.listed(report);
    }

    /** Opens a best-effort job with one task of 10 s. */
    void open(const std::string& id, Resources resources)
    {
        protocol::PlacedJob description;
        description.set_id(id);
        description.set_best_effort(true);
        description.set_payload(taskPayload(10s, resources));
        description.mutable_rule()->set_service("quotes");
        description.mutable_rule()->set_maximum_attempts(3);
        description.mutable_rule()->set_target_duration_ms(1000);
        protocol::PhaseDescription* const phase = description.add_phases();
        phase->set_count(1);
        phase->set_millicores(resources.millicores);
        phase->set_memory_mb(resources.memoryMb);
        phase->set_estimated_ms(10000);
        auto job = m_jobs.makeJob(description);
        job->acceptedIn = Generation(1);
        m_jobs.open(m_jobs.add(std::move(job)));
    }

    /** Runs one scheduling pass and returns how many targets it examined. */
    std::uint64_t examinedInPass()
    {
        const std::uint64_t before = m_targets.examinedTargets();
        m_runner.scheduleSoon();
        run(0ms);
        return m_targets.examinedTargets() - before;
    }

    void run(Duration duration)
    {
        m_targets.listUpdated(m_clock.now());
        m_queue.runUntil(m_clock.now() + duration);
    }
    EmulatedTargets& emulated() { return m_emulated; }
    ShardTargets& targets() { return m_targets; }
    const Clock& clock() const { return m_clock; }

private:
    Timers timers()
    {
        return { [this](Duration delay, std::function<void()> action) { m_queue.after(delay, std::move(action)); } };
    }

    static TargetSession::Hooks sessionHooks()
    {
        TargetSession::Hooks hooks;
        hooks.ready = [](TargetSession&) {};
        hooks.ended = [](TargetSession&, const RunCompletion&) {};
        hooks.lost = [](TargetSession&, const RunLoss&) {};
        hooks.foundRun = [](TargetSession&, const RunningTask&) { return std::nullopt; };
        hooks.rejected = [](TargetSession&, const TaskId&, std::uint32_t, TargetCallResult) {};
        hooks.roomChanged = [] {};
        hooks.fenced = [] {};
        return hooks;
    }

    static TaskRunner::Hooks runnerHooks()
    {
        TaskRunner::Hooks hooks;
        hooks.finished = [](ShardJob&, JobState, const std::string&) {};
        hooks.lossesChanged = [](ShardJob&) {};
        hooks.completionReported = [](ShardJob&, TargetSession&, std::uint64_t) {};
        hooks.log = [](const char*, const JobId&, const std::string&) {};
        return hooks;
    }

    VirtualClock m_clock;
    EventQueue m_queue;
    EmulatedTargets m_emulated;
    TargetCalls m_calls;
    ShardTargets m_targets;
    JobTable m_jobs;
    TaskRunner m_runner;
};

/** Searches all targets for each task, with models of its own that get the same samples as those of the targets. */
class ExhaustiveSearch {
public:
    ExhaustiveSearch(const ShardTargets& targets, std::vector<TargetId> ids, const Clock& clock)
        : m_targets(targets)
        , m_ids(std::move(ids))
        , m_clock(clock)
        , m_outliers({}, clock)
    {
    }

    void runFailed(const TargetId& target) { m_outliers.recordFailure(target, m_ids.size()); }
    void addRunTimeSample(const TargetSession& session, const PlacementRequest& task, TimePoint startedAt)
    {
        const auto estimate = m_placer.predict(task, { &session.report(), {}, 1, 0 });
        const std::chrono::duration<double, std::milli> elapsed = m_clock.now() - startedAt;
        m_runTimes.add(session.report(), elapsed.count() / static_cast<double>(estimate.count()));
    }

    std::optional<PlacementPass::Choice> choose(
        const TaskId& id, const PlacementRequest& task, const std::vector<TargetId>& avoided) const
    {
        std::vector<TargetSession*> usable;
        std::vector<TargetSession*> preferred;
        for (const TargetId& target : m_ids) {
            TargetSession* const session = m_targets.session(target);
            if (!isUsable(*session) || !TaskPlacer::isEligible(task, session->report()))
                continue;
            usable.push_back(session);
            if (std::find(avoided.begin(), avoided.end(), target) == avoided.end())
                preferred.push_back(session);
        }
        const std::vector<TargetSession*>& sessions = preferred.empty() ? usable : preferred;
        std::vector<PlacementCandidate> candidates;
        for (const TargetSession* const session : sessions) {
            const auto tasksOfPhase = std::count_if(session->runs().begin(), session->runs().end(),
                [&id](const auto& run) { return run.first.job == id.job && run.first.phase == id.phase; });
            candidates.push_back({ &session->report(), session->free(), m_runTimes.factor(session->report()),
                static_cast<std::uint32_t>(tasksOfPhase) });
        }
        const Placement placement = m_placer.choose(task, candidates);
        if (placement.target == candidates.size())
            return std::nullopt;
        return PlacementPass::Choice { sessions[placement.target], placement.predicted };
    }

private:
    bool isUsable(const TargetSession& session) const
    {
        const TargetId& target = session.report().id;
        const bool isTrialRunning = m_outliers.isOnTrial(target) && !session.runs().empty();
        return session.canStart() && !m_outliers.isEjected(target) && !isTrialRunning;
    }

    const ShardTargets& m_targets;
    const std::vector<TargetId> m_ids;
    const Clock& m_clock;
    const TaskPlacer m_placer { TaskPlacer::Settings() };
    RunTimeModel m_runTimes;
    OutlierDetector m_outliers;
};

}

// A backlog must not slow the holder down, or it falls further behind and the backlog stays.
TEST_CASE("a scheduling pass examines each target once when none has room, however many jobs wait")
{
    constexpr int targetCount = 20;
    PlacementFixture fixture;
    for (int target = 0; target < targetCount; ++target)
        fixture.add(PlacementFixture::report("target-" + std::to_string(target), { 32000, 65536, 0 }));
    fixture.run(50ms);
    for (int job = 0; job < targetCount; ++job)
        fixture.open("running-" + std::to_string(job), { 30000, 64, 0 });
    fixture.examinedInPass();
    fixture.run(50ms);
    REQUIRE(fixture.emulated().running() == targetCount);
    for (std::uint32_t job = 0; job < 200; ++job)
        fixture.open("waiting-" + std::to_string(job), { 12000 + job * 10, 64, 0 });
    REQUIRE(fixture.examinedInPass() <= targetCount);
}

// A pass remembers which targets are usable and how much room they have, and must notice each start.
TEST_CASE("a target whose capacity shrinks gets no further run, also when that was listed while the shard was not held")
{
    PlacementFixture fixture;
    fixture.add(PlacementFixture::report("target", { 32000, 65536, 0 }));
    fixture.run(50ms);
    fixture.open("a", { 14000, 64, 0 });
    fixture.examinedInPass();
    fixture.run(50ms);
    REQUIRE(fixture.emulated().running() == 1);
    const bool isHeld = GENERATE(true, false);
    if (!isHeld)
        fixture.targets().close();
    const TargetReport shrunken = PlacementFixture::report("target", { 20000, 65536, 0 });
    fixture.targets().listed(shrunken);
    fixture.targets().listed(PlacementFixture::report("another", { 20000, 65536, 0 }));
    if (!isHeld)
        fixture.targets().setToken(FencingToken(2));
    fixture.run(50ms);
    const TargetSession* const session = fixture.targets().session(TargetId("target"));
    CHECK(session->free().millicores == 6000);
    CHECK(fixture.targets().session(TargetId("another")) != nullptr);
}

TEST_CASE("each task of a scheduling pass is placed where a search of all targets places it")
{
    const auto seed = GENERATE(range(1, 41));
    CAPTURE(seed);
    PcgRandomSource random(static_cast<std::uint64_t>(seed));
    PlacementFixture fixture;
    std::vector<TargetId> ids;
    for (std::uint32_t target = 0; target < 15; ++target) {
        TargetReport report = PlacementFixture::report(
            "target-" + std::to_string(10 + target), { random.below(2) == 0 ? 32000U : 48000U, 4096, 0 });
        report.service = ServiceId(random.below(4) == 0 ? "plans" : "quotes");
        report.labels = { random.below(3) == 0 ? "b" : "a", "rack-" + std::to_string(random.below(3)) };
        report.isDraining = random.below(10) == 0;
        ids.push_back(report.id);
        fixture.add(report);
    }
    ShardTargets& targets = fixture.targets();
    ExhaustiveSearch search(targets, ids, fixture.clock());
    fixture.run(50ms);
    const auto failTwice = [&](const TargetId& target) {
        for (int run = 0; run < 2; ++run) {
            targets.runFailed(*targets.session(target), {});
            search.runFailed(target);
        }
    };
    const auto anyTarget = [&] { return ids[random.below(ids.size())]; };
    // The first targets are on trial when the pass begins, the second are ejected.
    failTwice(anyTarget());
    failTwice(anyTarget());
    fixture.run(600ms);
    failTwice(anyTarget());
    const PlacementRequest sampled { {}, 100ms, ServiceId("quotes"), "", "", 0 };
    for (int sample = 0; sample < 30; ++sample) {
        const TargetSession& session = *targets.session(anyTarget());
        const TimePoint startedAt = fixture.clock().now() - std::chrono::milliseconds(30 + random.below(300));
        targets.addRunTimeSample(session, sampled, startedAt);
        search.addRunTimeSample(session, sampled, startedAt);
    }

    PlacementPass pass = targets.beginPass();
    std::size_t placed = 0;
    for (int index = 0; index < 60; ++index) {
        const TaskId id { JobId("job-" + std::to_string(index / 5)), 0, static_cast<std::uint32_t>(index) };
        PlacementRequest task;
        task.resources = { 4000 + static_cast<std::uint32_t>(random.below(30000)),
            64 + static_cast<std::uint32_t>(random.below(1500)), 0 };
        task.estimate = std::chrono::milliseconds(10 + random.below(100));
        task.service = ServiceId(random.below(4) == 0 ? "plans" : "quotes");
        task.requiredLabel = random.below(4) == 0 ? "b" : "";
        task.dataRack = random.below(2) == 0 ? "rack-" + std::to_string(random.below(3)) : "";
        task.maximumPerTarget = static_cast<std::uint32_t>(random.below(3));
        std::vector<TargetId> avoided;
        for (std::uint64_t failures = random.below(4); failures > 0; --failures)
            avoided.push_back(anyTarget());
        const auto expected = search.choose(id, task, avoided);
        if (expected)
            REQUIRE(pass.mayHaveRoom(task.resources));
        const auto choice = pass.choose(id, task, avoided);
        REQUIRE(choice.has_value() == expected.has_value());
        if (!choice)
            continue;
        REQUIRE(choice->session == expected->session);
        REQUIRE(choice->predicted == expected->predicted);
        choice->session->start(id, 1, taskPayload(10s, task.resources), task.resources, choice->predicted, "");
        pass.started(*choice->session);
        ++placed;
    }
    REQUIRE(placed >= ids.size() / 2);
}
