#include "rattanroad_admission/admission/RunTimeEstimator.h"

#include <algorithm>
#include <cmath>

namespace rattanroad {

namespace {

    // About fifty tasks decide the estimate, so that one kind's drift is followed within seconds.
    constexpr double smallestGain = 0.02;
    // A single outlier, such as a hung target, moves the estimate by no more than this many natural-log units.
    constexpr double largestStep = 2;
    constexpr std::uint32_t fewestSamples = 10;

}

void RunTimeEstimator::record(
    const WorkKind& kind, std::chrono::milliseconds declared, Duration ran, double relativeSpeed)
{
    if (declared.count() <= 0 || ran.count() <= 0 || relativeSpeed <= 0)
        return;
    const double ratio = std::chrono::duration<double, std::milli>(ran).count() / static_cast<double>(declared.count());
    const double logRatio = std::log(ratio * relativeSpeed);
    auto& scale = m_scales[kind];
    ++scale.samples;
    const double gain = std::max(smallestGain, 1.0 / scale.samples);
    scale.logRatio += gain * std::clamp(logRatio - scale.logRatio, -largestStep, largestStep);
}

Duration RunTimeEstimator::expectedRunTime(const WorkKind& kind, std::chrono::milliseconds declared) const
{
    const auto scale = m_scales.find(kind);
    if (scale == m_scales.end() || scale->second.samples < fewestSamples)
        return Duration(0);
    return std::chrono::duration_cast<Duration>(declared * std::exp(scale->second.logRatio));
}

}
