#include "emulator/EmulatedFleet.h"
#include "emulator/EmulatedStore.h"
#include "emulator/EmulatedTargets.h"
#include "rattanroad_shards/jobs/JobRequirements.h"
#include "rattanroad_shards/jobs/ShardDispatcher.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace rattanroad;
using namespace rattanroad::emulator;
using namespace rattanroad::shards;
using namespace std::chrono_literals;

namespace {

/** A queue of best-effort jobs whose callers wait for 1.5 s and do not retry. */
struct Queue {
    std::uint32_t priority;
    double jobsPerSecond;
    std::uint32_t tasks;
    double runMs;
    std::uint32_t objectiveMs;
};

struct Outcome {
    std::uint32_t priority { 0 };
    std::uint32_t millicores { 0 };
    TimePoint submittedAt;
    TimePoint deadline;
    std::optional<TimePoint> doneAt;
    /** The holder has said that the job does not run. */
    bool isRefused { false };
    bool isInTime() const { return doneAt && *doneAt <= deadline; }
};

/** One shard of a deployment with three queues, the tasks of which need 16 cores on average, on 117 targets. */
class OverloadedShard {
public:
    static constexpr int targetCount = 117;

    OverloadedShard()
        : m_queue(m_clock)
        , m_store(m_queue)
        , m_targets(m_queue)
        , m_storeCalls(m_store.callsFrom(host))
        , m_targetCalls(m_targets.callsFrom(host))
        , m_dispatcher(settings(), m_storeCalls, m_targetCalls,
              { [this](Duration delay, std::function<void()> action) { m_queue.after(delay, std::move(action)); } },
              m_clock, hooks())
    {
        for (int i = 0; i < targetCount; ++i) {
            TargetReport report;
            report.id = TargetId("target-" + std::to_string(i));
            report.service = ServiceId("quotes");
            report.failureDomain = FailureDomainId("north");
            report.address = report.id.value();
            report.capacity = { i % 3 == 0 ? 48000U : 32000U, 1 << 20U, 0 };
            report.bornMs = 1;
            m_targets.add(report);
            m_dispatcher.targetListed(report);
        }
        m_dispatcher.begin({ FencingToken(1), Generation(1), false });
        m_dispatcher.targetListRead();
        run(200ms, 0);
    }

    /** Plays @p load times the typical demand, which takes 0.58 of all cores. */
    void run(std::chrono::milliseconds duration, double load)
    {
        const TimePoint end = m_clock.now() + duration;
        while (m_clock.now() < end) {
            m_dispatcher.targetListUpdated(m_clock.now());
            for (const Queue& queue : queues) {
                std::poisson_distribution<int> arrivals(queue.jobsPerSecond * targetCount / 350 * load / 1000);
                for (int i = arrivals(m_random); i > 0; --i)
                    submit(queue);
            }
            repeatSubmissions();
            m_queue.runUntil(m_clock.now() + 1ms);
        }
    }

    /** Submits a job for a caller that waits for 1.5 s. */
    void submit(const protocol::PlacedJob& job)
    {
        Outcome& outcome = m_outcomes[JobId(job.id())];
        outcome = { job.rule().priority(), job.phases(0).millicores(), m_clock.now(),
            m_clock.now() + std::chrono::milliseconds(job.rule().target_duration_ms()), std::nullopt, false };
        m_open[JobId(job.id())] = { job, m_clock.now(), m_clock.now() };
        send(job, 0ms);
    }
    /** Sends a submission, or repeats one. */
    void send(const protocol::PlacedJob& job, std::chrono::milliseconds waited)
    {
        m_dispatcher.submit(job, waited, waited > 0ms, { "entrance", m_clock.now(), 1500ms },
            [this, id = JobId(job.id())](SubmitVerdict verdict, std::chrono::milliseconds) {
                if (verdict != SubmitVerdict::Refused)
                    return;
                m_outcomes[id].isRefused = true;
                m_open.erase(id);
            });
    }
    const Outcome& outcome(const std::string& job) { return m_outcomes[JobId(job)]; }
    TimePoint now() const { return m_clock.now(); }
    EmulatedTargets& targets() { return m_targets; }
    ShardDispatcher& dispatcher() { return m_dispatcher; }

    std::vector<Outcome> submitted(TimePoint from, TimePoint to, std::optional<std::uint32_t> priority = {}) const
    {
        std::vector<Outcome> selected;
        for (const auto& entry : m_outcomes) {
            const Outcome& outcome = entry.second;
            if (outcome.submittedAt >= from && outcome.submittedAt < to && (!priority || outcome.priority == *priority))
                selected.push_back(outcome);
        }
        return selected;
    }
    static double inTimeShare(const std::vector<Outcome>& outcomes)
    {
        const auto inTime = std::count_if(
            outcomes.begin(), outcomes.end(), [](const Outcome& outcome) { return outcome.isInTime(); });
        return outcomes.empty() ? 1 : static_cast<double>(inTime) / static_cast<double>(outcomes.size());
    }

private:
    static inline const HostId host { "host" };
    static inline const std::vector<Queue> queues {
        { 0, 206, 8, 60, 156 },
        { 1, 600, 2, 200, 380 },
        { 2, 37.5, 4, 900, 1500 },
    };

    static ShardDispatcher::Settings settings()
    {
        ShardDispatcher::Settings settings;
        settings.shard = ShardId("north");
        return settings;
    }

    ShardDispatcher::Hooks hooks()
    {
        ShardDispatcher::Hooks hooks;
        hooks.jobEnded = [this](const ShardJob& job) {
            Outcome& outcome = m_outcomes[job.id];
            if (job.state == JobState::Done && !outcome.doneAt)
                outcome.doneAt = m_clock.now();
            m_open.erase(job.id);
        };
        hooks.jobGivenUp = [this](const ShardJob& job, std::chrono::milliseconds) {
            m_outcomes[job.id].isRefused = !job.mayHaveRun();
            m_open.erase(job.id);
        };
        hooks.keyChanged = [] {};
        hooks.displaced = [] {};
        hooks.log = [](const char*, const JobId&, const std::string&) {};
        return hooks;
    }

    void submit(const Queue& queue)
    {
        const auto varied = [this](double value, double spread) {
            return value * std::uniform_real_distribution<double>(1 - spread, 1 + spread)(m_random);
        };
        protocol::PlacedJob job;
        job.set_id("job-" + std::to_string(++m_lastJob));
        job.set_best_effort(true);
        job.mutable_rule()->set_queue(std::to_string(queue.priority));
        job.mutable_rule()->set_priority(queue.priority);
        job.mutable_rule()->set_service("quotes");
        job.mutable_rule()->set_maximum_attempts(3);
        job.mutable_rule()->set_target_duration_ms(queue.objectiveMs);
        protocol::PhaseDescription* const phase = job.add_phases();
        phase->set_count(queue.tasks);
        const bool isLarge = m_random() % 10 == 0;
        phase->set_millicores(isLarge ? 24000 : static_cast<std::uint32_t>(varied(16000, 0.2)));
        const auto work = std::chrono::milliseconds(static_cast<std::int64_t>(varied(queue.runMs, 0.1)));
        phase->set_estimated_ms(static_cast<std::uint32_t>(varied(queue.runMs, 0.4)));
        job.set_payload(taskPayload(work, taskResources(*phase)));
        submit(job);
    }

    void repeatSubmissions()
    {
        std::vector<JobId> due;
        for (const auto& entry : m_open) {
            const bool isDue
                = m_clock.now() - entry.second.sentAt >= 300ms || m_clock.now() - entry.second.at >= 1500ms;
            if (isDue)
                due.push_back(entry.first);
        }
        for (const JobId& id : due) {
            Open& open = m_open[id];
            const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - open.at);
            open.sentAt = m_clock.now();
            if (waited < 1500ms) {
                send(protocol::PlacedJob(open.job), waited);
                continue;
            }
            m_dispatcher.cancel(id, [](bool, JobState) {});
            m_open.erase(id);
        }
    }

    struct Open {
        protocol::PlacedJob job;
        TimePoint at;
        TimePoint sentAt;
    };

    VirtualClock m_clock;
    EventQueue m_queue;
    EmulatedStore m_store;
    EmulatedTargets m_targets;
    KeyValueStore m_storeCalls;
    TargetCalls m_targetCalls;
    std::map<JobId, Outcome> m_outcomes;
    std::map<JobId, Open> m_open;
    std::mt19937 m_random { 7 };
    std::uint64_t m_lastJob { 0 };
    ShardDispatcher m_dispatcher;
};

/** About three times what the targets can run. */
constexpr double threefold = 4.4;
/** About 0.6 of what they can run. */
constexpr double typical = 0.9;

}

// Guards against a queue that stays full of late work, so that a burst is followed by seconds in which hardly anything
// is answered in time, and against refusals that meet the most urgent queue like the others.
TEST_CASE("in-time answers stay level at three times the room, and return within a second after the load")
{
    OverloadedShard shard;
    shard.run(2s, typical);
    const TimePoint burst = shard.now();
    shard.run(5s, threefold);
    const TimePoint calm = shard.now();
    shard.run(4s, typical);
    shard.run(2s, 0);

    const auto share = [&](TimePoint from, TimePoint to, std::optional<std::uint32_t> priority = {}) {
        return OverloadedShard::inTimeShare(shard.submitted(from, to, priority));
    };
    for (std::uint32_t priority = 0; priority < 3; ++priority)
        UNSCOPED_INFO("priority " << priority << ": before " << share(burst - 2s, burst, priority) << ", burst "
                                  << share(burst, calm, priority) << ", first second after "
                                  << share(calm, calm + 1s, priority) << ", later "
                                  << share(calm + 1s, calm + 4s, priority));
    for (int second = 0; second < 5; ++second) {
        const TimePoint from = burst + std::chrono::seconds(second);
        UNSCOPED_INFO("second " << second << ": " << share(from, from + 1s, 0) << " " << share(from, from + 1s, 1)
                                << " " << share(from, from + 1s, 2));
    }
    CHECK(share(burst - 2s, burst) > 0.97);
    // The most urgent queue needs 0.6 of the room.
    CHECK(share(burst, calm, 0) > 0.9);
    // The next one needs 1.5 times the room, the last one 0.85 of it. Each keeps a tenth of the room.
    CHECK(share(burst, calm, 1) > 0.07);
    CHECK(share(burst, calm, 2) > 0.07);
    // Level: no second of the burst is much worse than the whole.
    for (int second = 1; second < 5; ++second) {
        const TimePoint from = burst + std::chrono::seconds(second);
        CHECK(share(from, from + 1s, 0) > 0.85);
        CHECK(share(from, from + 1s) > 0.75 * share(burst, calm));
    }
    CHECK(share(calm + 1s, calm + 4s) > 0.95);
}

namespace {

/** Checks that the largest tenth of the tasks of a priority, and the fifth below it, are served at least half as often
   as the queue while the demand is three times the room. */
void checkLargeTasks(std::uint32_t priority)
{
    OverloadedShard shard;
    shard.run(1s, typical);
    const TimePoint burst = shard.now();
    shard.run(6s, threefold);
    const TimePoint calm = shard.now();
    shard.run(2s, 0);
    std::vector<Outcome> jobs = shard.submitted(burst, calm, priority);
    std::sort(jobs.begin(), jobs.end(),
        [](const Outcome& left, const Outcome& right) { return left.millicores < right.millicores; });
    const auto size = static_cast<std::ptrdiff_t>(jobs.size());
    const double all = OverloadedShard::inTimeShare(jobs);
    const double largest = OverloadedShard::inTimeShare({ jobs.begin() + size * 9 / 10, jobs.end() });
    const double fifthBelow
        = OverloadedShard::inTimeShare({ jobs.begin() + size * 7 / 10, jobs.begin() + size * 9 / 10 });
    INFO("priority " << priority << ": all " << all << ", largest " << largest << ", below " << fifthBelow);
    CHECK(largest >= all / 2);
    CHECK(fifthBelow >= all / 2);
}

}

// Guards against small tasks that always overtake large ones, because they fit into room that the large ones wait for.
TEST_CASE("large tasks of the most urgent queue are served at least half as often as the queue") { checkLargeTasks(0); }

// The same for a queue that gets little room: higher priorities take the room that is kept for its large tasks.
TEST_CASE("large tasks of a less urgent queue are served at least half as often as the queue") { checkLargeTasks(1); }

// Guards against a run of a job whose caller was told that it does not run: a repetition of the submission is under way
// while the holder gives the job up.
TEST_CASE("a job that was given up does not start when its submission arrives once more")
{
    OverloadedShard shard;
    for (const auto& target : shard.targets().reports())
        shard.targets().faults.hangingTargets.insert(target.first);
    protocol::PlacedJob job;
    job.set_id("filling");
    job.set_best_effort(true);
    job.mutable_rule()->set_service("quotes");
    job.mutable_rule()->set_maximum_attempts(3);
    job.mutable_rule()->set_target_duration_ms(10000);
    protocol::PhaseDescription* const phase = job.add_phases();
    phase->set_count(400);
    phase->set_millicores(16000);
    phase->set_estimated_ms(10);
    job.set_payload(taskPayload(10ms, taskResources(*phase)));
    shard.submit(job);
    shard.run(10ms, 0);
    job.set_id("waiting");
    phase->set_count(1);
    phase->set_estimated_ms(300);
    shard.submit(job);
    shard.run(1200ms, 0);
    REQUIRE_FALSE(shard.outcome("waiting").isRefused);
    shard.run(250ms, 0);
    REQUIRE(shard.outcome("waiting").isRefused);
    shard.targets().faults.hangingTargets.clear();
    shard.run(1s, 0);
    shard.send(job, 2460ms);
    shard.run(3s, 0);
    CHECK(shard.targets().runs().count({ JobId("waiting"), 0, 0 }) == 0);
}

// Guards against callers that are held to the end of their wait for a job that cannot be answered, and against a 503
// for a job that runs.
TEST_CASE("the caller of a job that is given up learns at once that it does not run")
{
    EmulatedFleet fleet;
    fleet.startAll();
    for (const auto& target : fleet.targets().reports())
        fleet.targets().faults.hangingTargets.insert(target.first);
    const HostId host = fleet.hosts().front();
    fleet.submit(host, "filling-1", 6, 60ms, true);
    fleet.submit(host, "filling-2", 6, 60ms, true);
    fleet.run(20ms);
    REQUIRE(fleet.targets().running() == 12);
    const EmulatedFleet::Call& call = fleet.submit(host, "waiting", 1, 300ms, true);
    fleet.run(5s);
    REQUIRE(!call.verdicts.empty());
    CHECK(call.verdicts.front() == EntranceVerdict::Refused);
    CHECK(call.answeredAt - call.sentAt > 1s);
    CHECK(call.answeredAt - call.sentAt < 1500ms);
    CHECK(fleet.targets().runs().count({ JobId("waiting"), 0, 0 }) == 0);
}
