#include "measure/IdealScheduler.h"

#include <algorithm>
#include <numeric>
#include <queue>

namespace rattanroad {

namespace {

    struct End {
        Duration time;
        std::size_t target;
        std::size_t job;
        bool operator>(const End& other) const { return time > other.time; }
    };

    class Run {
    public:
        Run(const Workload& workload, const Trace& trace)
            : m_trace(trace)
            , m_byNext(trace.jobs.size())
            , m_left(trace.jobs.size())
            , m_responses(trace.jobs.size())
            , m_free(workload.targetCount, workload.slotsPerTarget)
            , m_bySpeed(workload.targetCount)
        {
            std::iota(m_bySpeed.begin(), m_bySpeed.end(), 0U);
            std::sort(m_bySpeed.begin(), m_bySpeed.end(),
                [&](std::size_t left, std::size_t right) { return trace.speeds[left] > trace.speeds[right]; });
        }

        std::vector<Duration> responses()
        {
            std::size_t arrived = 0;
            while (arrived < m_trace.jobs.size() || !m_ends.empty()) {
                const bool isArrival = arrived < m_trace.jobs.size()
                    && (m_ends.empty() || m_trace.jobs[arrived].sentAt < m_ends.top().time);
                if (isArrival)
                    arrive(arrived++);
                else
                    end();
                startAll();
            }
            return m_responses;
        }

    private:
        void arrive(std::size_t job)
        {
            m_now = m_trace.jobs[job].sentAt;
            std::vector<Duration>& works = m_byNext[job];
            for (const TraceTask& task : m_trace.jobs[job].tasks)
                works.push_back(task.work);
            // The longest is taken from the back.
            std::sort(works.begin(), works.end());
            m_left[job] = works.size();
            m_waiting.push(job);
        }

        void end()
        {
            const End ended = m_ends.top();
            m_ends.pop();
            m_now = ended.time;
            m_free[ended.target]++;
            if (--m_left[ended.job] == 0)
                m_responses[ended.job] = m_now - m_trace.jobs[ended.job].sentAt;
        }

        void startAll()
        {
            for (std::size_t target : m_bySpeed) {
                for (; m_free[target] && !m_waiting.empty(); m_free[target]--)
                    start(target);
                if (m_waiting.empty())
                    return;
            }
        }

        void start(std::size_t target)
        {
            const std::size_t job = m_waiting.front();
            const double work = static_cast<double>(m_byNext[job].back().count());
            m_byNext[job].pop_back();
            if (m_byNext[job].empty())
                m_waiting.pop();
            const Duration runs(static_cast<std::int64_t>(work / m_trace.speeds[target]));
            m_ends.push({ m_now + runs, target, job });
        }

        const Trace& m_trace;
        Duration m_now { 0 };
        std::vector<std::vector<Duration>> m_byNext;
        std::vector<std::size_t> m_left;
        std::vector<Duration> m_responses;
        std::vector<std::uint32_t> m_free;
        std::vector<std::size_t> m_bySpeed;
        // Jobs arrive in the order of their number, so a plain queue keeps the oldest first.
        std::queue<std::size_t> m_waiting;
        std::priority_queue<End, std::vector<End>, std::greater<End>> m_ends;
    };

}

std::vector<Duration> IdealScheduler::responses(const Workload& workload, const Trace& trace)
{
    return Run(workload, trace).responses();
}

}
