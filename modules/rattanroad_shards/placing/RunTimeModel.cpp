#include "rattanroad_shards/placing/RunTimeModel.h"

#include <algorithm>

namespace rattanroad::shards {

namespace {
    /** Weight of a new sample in a moving average. Estimates are off by a few tenths, so a kind averages over about
        fifty runs, and a single target, which may become slow within seconds, over about eight. */
    constexpr double kindSmoothing = 0.02;
    constexpr double targetSmoothing = 0.12;
    /** Bounds of a sample. Without them, a single run on a stopped machine would distort the average for long. */
    constexpr double maximumRatio = 10;
    constexpr double minimumRatio = 0.05;

    std::string kindOf(const TargetReport& target) { return target.labels.empty() ? "" : target.labels.front(); }
}

void RunTimeModel::MovingAverage::add(double sample, double smoothing)
{
    // The first samples have equal weights, so that the initial value does not count.
    weight += 1;
    value += std::max(smoothing, 1 / weight) * (sample - value);
}

void RunTimeModel::add(const TargetReport& target, double ratio)
{
    const double sample = std::clamp(ratio, minimumRatio, maximumRatio);
    MovingAverage& kind = m_kinds[kindOf(target)];
    kind.add(sample, kindSmoothing);
    MovingAverage& own = m_targets[target.id];
    if (own.weight == 0)
        own.weight = 1 / targetSmoothing;
    own.add(sample / kind.value, targetSmoothing);
}

double RunTimeModel::factor(const TargetReport& target) const
{
    const auto kind = m_kinds.find(kindOf(target));
    const auto own = m_targets.find(target.id);
    return (kind == m_kinds.end() ? 1 : kind->second.value) * (own == m_targets.end() ? 1 : own->second.value);
}

}
