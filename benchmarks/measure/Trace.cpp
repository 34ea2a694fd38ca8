#include "measure/Trace.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace rattanroad {

namespace {

    constexpr double largestJob = 260;
    // With this exponent two thirds of the jobs have one or two tasks and the mean is near 4.
    constexpr double jobSizeExponent = 1.2;
    constexpr double declaredSpread = 0.5;
    constexpr std::array<double, Trace::kindCount> declaredBias { 0.6, 1.0, 1.4, 2.0 };
    constexpr double burstRate = 1.4;
    constexpr double meanGapBetweenBursts = 8;
    constexpr double warmUpShare = 0.2;

    double inSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }
    Duration fromSeconds(double seconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

}

double TraceGenerator::normal()
{
    const double radius = std::sqrt(-2 * std::log(1 - m_random.uniform()));
    return radius * std::cos(2 * M_PI * m_random.uniform());
}

double TraceGenerator::logUniform(double low, double high)
{
    return low * std::exp(m_random.uniform() * std::log(high / low));
}

std::size_t TraceGenerator::jobSize()
{
    const double tail = 1 - m_random.uniform() * (1 - std::pow(largestJob + 1, -jobSizeExponent));
    return static_cast<std::size_t>(std::clamp(std::pow(tail, -1 / jobSizeExponent), 1.0, largestJob));
}

TraceTask TraceGenerator::task()
{
    TraceTask task;
    task.kind = static_cast<std::uint32_t>(m_random.below(Trace::kindCount));
    const bool isLong = m_random.uniform() < m_workload.longTaskShare;
    const double work = isLong ? between(2, 5) : logUniform(0.05, 1);
    task.work = fromSeconds(work);
    const double declared = work * declaredBias[task.kind] * std::exp(declaredSpread * normal());
    task.declared = std::chrono::milliseconds(std::max<std::int64_t>(1, std::llround(declared * 1000)));
    return task;
}

TraceJob TraceGenerator::job()
{
    TraceJob job;
    job.host = m_random.below(m_workload.entryHostCount);
    job.team = m_random.below(m_workload.teamCount);
    job.tasks.resize(jobSize());
    for (TraceTask& each : job.tasks)
        each = task();
    return job;
}

// Poisson arrivals are uniform given their count, so uniform points of the cumulative rate give arrivals with bursts.
std::vector<Duration> TraceGenerator::arrivals(std::size_t count)
{
    const double length = inSeconds(m_workload.length);
    std::vector<std::pair<double, double>> cumulative { { 0, 0 } };
    double time = 0;
    double rateSum = 0;
    for (bool isBurst = false; time < length; isBurst = !isBurst) {
        const double gap = -meanGapBetweenBursts * std::log(1 - m_random.uniform());
        const double lasts = std::min(isBurst ? between(0.3, 1) : gap, length - time);
        time += lasts;
        rateSum += lasts * (isBurst ? burstRate : 1);
        cumulative.emplace_back(time, rateSum);
    }
    std::vector<Duration> result;
    for (std::size_t index = 0; index < count; index++) {
        const double point = m_random.uniform() * rateSum;
        const auto after = std::upper_bound(cumulative.begin() + 1, cumulative.end() - 1, point,
            [](double value, const auto& entry) { return value < entry.second; });
        const auto before = after - 1;
        const double share = (point - before->second) / (after->second - before->second);
        result.push_back(fromSeconds(before->first + share * (after->first - before->first)));
    }
    std::sort(result.begin(), result.end());
    return result;
}

Trace TraceGenerator::generate(double load)
{
    Trace trace;
    for (std::size_t index = 0; index < m_workload.targetCount; index++) {
        trace.speeds.push_back(logUniform(0.5, 2));
        trace.capacity += trace.speeds.back() * m_workload.slotsPerTarget;
    }
    trace.warmUp = fromSeconds(warmUpShare * inSeconds(m_workload.length));
    double workLeft = load * trace.capacity * inSeconds(m_workload.length);
    while (workLeft > 0) {
        trace.jobs.push_back(job());
        trace.taskCount += trace.jobs.back().tasks.size();
        for (const TraceTask& each : trace.jobs.back().tasks)
            workLeft -= inSeconds(each.work);
    }
    const std::vector<Duration> times = arrivals(trace.jobs.size());
    for (std::size_t index = 0; index < times.size(); index++)
        trace.jobs[index].sentAt = times[index];
    return trace;
}

}
