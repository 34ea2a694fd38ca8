// Prints what a shard's holder costs by the length of its backlog: processor time per started task, for 117 targets on
// a virtual clock. It includes the emulation of the targets. Usage: benchmark_shard [virtual seconds per measurement]
// [open jobs]
#include "emulator/EmulatedStore.h"
#include "emulator/EmulatedTargets.h"
#include "rattanroad_shards/jobs/ShardDispatcher.h"

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <string>
#include <vector>

using namespace rattanroad;
using namespace rattanroad::emulator;
using namespace rattanroad::shards;
using namespace std::chrono_literals;

namespace {

constexpr int targetCount = 117;
constexpr std::uint32_t tasksPerJob = 4;

double processorSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

/** A dispatcher whose backlog is kept at a constant number of jobs. */
class LoadedShard {
public:
    LoadedShard()
        : m_queue(m_clock)
        , m_store(m_queue)
        , m_targets(m_queue)
        , m_storeCalls(m_store.callsFrom(host))
        , m_targetCalls(countStarts(m_targets.callsFrom(host)))
        , m_dispatcher(settings(), m_storeCalls, m_targetCalls,
              { [this](Duration delay, std::function<void()> action) { m_queue.after(delay, std::move(action)); } },
              m_clock, hooks())
    {
        for (int index = 0; index < targetCount; ++index) {
            TargetReport report;
            report.id = TargetId("target-" + std::to_string(1000 + index));
            report.service = ServiceId("quotes");
            report.failureDomain = FailureDomainId("north");
            report.address = report.id.value();
            report.capacity = { 32000, 131072, 0 };
            report.labels = { index % 3 == 2 ? "b" : "a", "rack-" + std::to_string(index / 20) };
            report.bornMs = 1;
            m_targets.add(report);
            m_dispatcher.targetListed(report);
        }
        m_dispatcher.begin({ FencingToken(1), Generation(1), false });
        updateTargetList();
        run(5s);
    }

    void run(Duration duration) { m_queue.runUntil(m_clock.now() + duration); }
    /** Submits @p count jobs, and one more whenever a job ends. */
    void fill(int count)
    {
        for (int job = 0; job < count; ++job)
            submitNext();
        repeatSubmissions();
    }
    std::uint64_t starts() const { return m_starts; }

private:
    static ShardDispatcher::Settings settings()
    {
        ShardDispatcher::Settings settings;
        settings.shard = ShardId("north");
        // Jobs wait for as long as the backlog is.
        settings.running.admission.storedWaitFactor = 1e6;
        // Leaves best-effort jobs any wait.
        settings.running.admission.runTimeMargin = -1e6;
        return settings;
    }

    ShardDispatcher::Hooks hooks()
    {
        ShardDispatcher::Hooks hooks;
        hooks.jobEnded = [this](const ShardJob& job) {
            m_open.erase(job.id);
            m_queue.after(1ms, [this] { submitNext(); });
        };
        hooks.keyChanged = [] {};
        hooks.displaced = [] {};
        hooks.log = [](const char*, const JobId&, const std::string&) {};
        return hooks;
    }

    TargetCalls countStarts(TargetCalls calls)
    {
        calls.start = [this, start = calls.start](const StartRequest& request, auto callback) {
            ++m_starts;
            start(request, std::move(callback));
        };
        return calls;
    }

    void submitNext()
    {
        protocol::PlacedJob job;
        const auto number = ++m_lastJob;
        // The requests of a day have many sizes.
        const auto duration = std::chrono::milliseconds(100 + number * 104729 % 200);
        const Resources resources { 13000 + static_cast<std::uint32_t>(number * 7919 % 6000), 64, 0 };
        job.set_id("job-" + std::to_string(1000000 + number));
        job.set_best_effort(true);
        job.set_payload(taskPayload(duration, resources));
        job.mutable_rule()->set_service("quotes");
        job.mutable_rule()->set_queue("queue-" + std::to_string(number % 3));
        job.mutable_rule()->set_maximum_attempts(3);
        job.mutable_rule()->set_target_duration_ms(500);
        protocol::PhaseDescription* const phase = job.add_phases();
        phase->set_count(tasksPerJob);
        phase->set_millicores(resources.millicores);
        phase->set_memory_mb(resources.memoryMb);
        phase->set_estimated_ms(static_cast<std::uint32_t>(duration.count()));
        phase->set_data_rack("rack-" + std::to_string(number % 6));
        m_open[JobId(job.id())] = job;
        submit(job);
    }

    void submit(const protocol::PlacedJob& job)
    {
        m_dispatcher.submit(
            job, 0ms, false, { "entrance", m_clock.now() }, [](SubmitVerdict, std::chrono::milliseconds) {});
    }

    void updateTargetList()
    {
        m_dispatcher.targetListUpdated(m_clock.now());
        m_queue.after(400ms, [this] { updateTargetList(); });
    }

    void repeatSubmissions()
    {
        for (const auto& job : m_open)
            submit(job.second);
        m_queue.after(300ms, [this] { repeatSubmissions(); });
    }

    static inline const HostId host { "host" };
    VirtualClock m_clock;
    EventQueue m_queue;
    EmulatedStore m_store;
    EmulatedTargets m_targets;
    KeyValueStore m_storeCalls;
    TargetCalls m_targetCalls;
    ShardDispatcher m_dispatcher;
    std::map<JobId, protocol::PlacedJob> m_open;
    std::uint64_t m_lastJob { 0 };
    std::uint64_t m_starts { 0 };
};

void measure(int jobCount, std::chrono::seconds duration)
{
    LoadedShard shard;
    shard.fill(jobCount);
    shard.run(1s);
    const std::uint64_t startsBefore = shard.starts();
    const double before = processorSeconds();
    shard.run(duration);
    const double elapsed = processorSeconds() - before;
    const auto starts = static_cast<double>(shard.starts() - startsBefore);
    std::printf("%d open jobs: %.0f starts/s, %.1f us per started task, %.3f cores\n", jobCount,
        starts / static_cast<double>(duration.count()), elapsed * 1e6 / starts,
        elapsed / static_cast<double>(duration.count()));
}

}

int main(int argc, char** argv)
{
    const std::chrono::seconds duration(argc > 1 ? std::atoi(argv[1]) : 5);
    const std::vector<int> jobCounts
        = argc > 2 ? std::vector<int> { std::atoi(argv[2]) } : std::vector<int> { 25, 50, 100, 200, 400, 800 };
    for (const int jobCount : jobCounts)
        measure(jobCount, duration);
    return 0;
}
