#include "measure/BaselineCell.h"

#include <algorithm>

namespace rattanroad {

namespace {

    // Short against the run times, long against a round trip.
    constexpr Duration backoffBase = std::chrono::milliseconds(5);

    class Simulation {
    public:
        Simulation(BaselineCell::Policy policy, const Workload& workload, const Trace& trace, RandomSource& random)
            : m_policy(policy)
            , m_workload(workload)
            , m_trace(trace)
            , m_random(random)
            , m_queue(m_clock)
            , m_targets(m_queue, workload.targets(trace.speeds), {})
            , m_outstanding(workload.entryHostCount, std::vector<std::uint32_t>(workload.targetCount))
            , m_next(workload.entryHostCount)
            , m_left(trace.jobs.size())
        {
            for (std::size_t& next : m_next)
                next = m_random.below(workload.targetCount);
            m_result.responses.assign(trace.jobs.size(), Duration(-1));
        }

        CellResult run()
        {
            for (std::size_t job = 0; job < m_trace.jobs.size(); job++)
                m_queue.after(m_trace.jobs[job].sentAt + m_workload.latencies.caller, [this, job] { arrive(job); });
            while (m_queue.runNext()) { }
            m_result.wastedMessages = m_targets.counters().rejected;
            m_result.targetMessages = m_targets.counters().received;
            return std::move(m_result);
        }

    private:
        void arrive(std::size_t job)
        {
            m_left[job] = m_trace.jobs[job].tasks.size();
            for (std::uint32_t task = 0; task < m_trace.jobs[job].tasks.size(); task++)
                send(job, task);
        }

        void send(std::size_t job, std::uint32_t task)
        {
            const std::size_t host = m_trace.jobs[job].host;
            const std::size_t target = choose(host);
            m_outstanding[host][target]++;
            const Duration latency = latencyBetween(host, target);
            m_queue.after(latency, [this, job, task, host, target, latency] {
                m_targets.receive(target, { {}, task, m_trace.jobs[job].tasks[task].work, {} },
                    [this, job, task, host, target, latency](const FakeTargets::Outcome& outcome) {
                        const bool isDone = outcome.use == SlotUse::Succeeded;
                        m_queue.after(latency, [this, job, task, host, target, isDone] {
                            m_outstanding[host][target]--;
                            isDone ? finish(job) : sendAgain(job, task);
                        });
                    });
            });
        }

        void sendAgain(std::size_t job, std::uint32_t task)
        {
            const Duration jitter(
                static_cast<std::int64_t>(static_cast<double>(backoffBase.count()) * m_random.uniform()));
            m_queue.after(backoffBase + jitter, [this, job, task] { send(job, task); });
        }

        void finish(std::size_t job)
        {
            if (--m_left[job] > 0)
                return;
            const Duration sinceStart = m_clock.now() - m_start;
            m_result.responses[job] = sinceStart + m_workload.latencies.caller - m_trace.jobs[job].sentAt;
        }

        std::size_t choose(std::size_t host)
        {
            switch (m_policy) {
            case BaselineCell::Policy::Random:
                return m_random.below(m_workload.targetCount);
            case BaselineCell::Policy::RoundRobin:
                return m_next[host]++ % m_workload.targetCount;
            case BaselineCell::Policy::TwoChoices:
                break;
            }
            const std::size_t first = m_random.below(m_workload.targetCount);
            const std::size_t second = m_random.below(m_workload.targetCount);
            return m_outstanding[host][second] < m_outstanding[host][first] ? second : first;
        }

        Duration latencyBetween(std::size_t host, std::size_t target) const
        {
            return m_workload.latencies.between(m_workload.placeOfHost(host), m_targets.settings(target).place);
        }

        BaselineCell::Policy m_policy;
        const Workload& m_workload;
        const Trace& m_trace;
        RandomSource& m_random;
        VirtualClock m_clock;
        TimePoint m_start { m_clock.now() };
        EventQueue m_queue;
        FakeTargets m_targets;
        std::vector<std::vector<std::uint32_t>> m_outstanding;
        std::vector<std::size_t> m_next;
        std::vector<std::size_t> m_left;
        CellResult m_result;
    };

}

const char* BaselineCell::name(Policy policy)
{
    switch (policy) {
    case Policy::Random:
        return "random";
    case Policy::RoundRobin:
        return "round_robin";
    case Policy::TwoChoices:
        break;
    }
    return "two_choices";
}

CellResult BaselineCell::run(Policy policy, const Workload& workload, const Trace& trace, RandomSource& random)
{
    return Simulation(policy, workload, trace, random).run();
}

}
