#include "rattanroad_admission/admission/RunTimeEstimator.h"

#include <algorithm>
#include <cmath>

namespace rattanroad {

namespace {

    // The estimate averages about the last 50 tasks, so that it follows a drift of the kind within seconds.
    constexpr double minimumGain = 0.02;
    // Limits the influence of a single outlier, such as a task on a hung target. In natural-log units, before the gain
    // is applied.
    constexpr double maximumStep = 2;
    constexpr std::uint32_t minimumSamples = 10;

}

void RunTimeEstimator::record(
    const WorkKind& kind, std::chrono::milliseconds declaredTime, Duration runTime, double relativeSpeed)
{
    if (declaredTime.count() <= 0 || runTime.count() <= 0 || relativeSpeed <= 0)
        return;
    const double ratio
        = std::chrono::duration<double, std::milli>(runTime).count() / static_cast<double>(declaredTime.count());
    const double logRatio = std::log(ratio * relativeSpeed);
    auto& estimate = m_estimates[kind];
    ++estimate.samples;
    const double gain = std::max(minimumGain, 1.0 / estimate.samples);
    estimate.logRatio += gain * std::clamp(logRatio - estimate.logRatio, -maximumStep, maximumStep);
}

Duration RunTimeEstimator::expectedRunTime(const WorkKind& kind, std::chrono::milliseconds declaredTime) const
{
    const auto found = m_estimates.find(kind);
    if (found == m_estimates.end() || found->second.samples < minimumSamples)
        return Duration(0);
    return std::chrono::duration_cast<Duration>(declaredTime * std::exp(found->second.logRatio));
}

}
