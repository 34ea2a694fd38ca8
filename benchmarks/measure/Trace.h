#pragma once

#include "measure/Workload.h"
#include "rattanroad_core/random/RandomSource.h"

#include <vector>

namespace rattanroad {

struct TraceTask {
    std::uint32_t kind { 0 };
    /** Run time on a target of speed 1. */
    Duration work { 0 };
    std::chrono::milliseconds declared { 0 };
};

struct TraceJob {
    /** Time after the start of the trace at which the caller sends the job. */
    Duration sentAt { 0 };
    std::size_t host { 0 };
    std::size_t team { 0 };
    std::vector<TraceTask> tasks;
};

/** Jobs and true target speeds, the same for every policy. */
struct Trace {
    std::vector<TraceJob> jobs;
    std::vector<double> speeds;
    /** Jobs sent before this time are left out of the figures: policies that learn have not seen the targets yet. */
    Duration warmUp { 0 };
    /** Work that all targets can do per second of time, in seconds of work. */
    double capacity { 0 };
    std::size_t taskCount { 0 };

    static constexpr std::size_t kindCount = 4;
};

/** Draws a trace: bounded Pareto job sizes of 1 to 260 tasks, run times of 50 ms to 1 s (log-uniform) with a few of 2
   to 5 s, declared times off by a lognormal factor and a factor per kind, speeds between 0.5 and 2, Poisson arrivals
   with bursts.
*/
class TraceGenerator {
public:
    TraceGenerator(const Workload& workload, RandomSource& random)
        : m_workload(workload)
        , m_random(random)
    {
    }

    /** @param load offered work divided by capacity */
    Trace generate(double load);

private:
    double normal();
    double between(double low, double high) { return low + (high - low) * m_random.uniform(); }
    double logUniform(double low, double high);
    std::size_t jobSize();
    TraceTask task();
    TraceJob job();
    std::vector<Duration> arrivals(std::size_t count);

    const Workload& m_workload;
    RandomSource& m_random;
};

}
