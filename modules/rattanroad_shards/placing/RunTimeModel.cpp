#include "rattanroad_shards/placing/RunTimeModel.h"

#include <algorithm>

namespace rattanroad::shards {

namespace {
    /** Share of a new sample. Estimates are off by a few tenths, so a kind averages over about fifty runs, and a
        single target, which may turn slow within seconds, over about eight. */
    constexpr double kindSmoothing = 0.02;
    constexpr double targetSmoothing = 0.12;
    /** A single sample counts at most this much, as a stopped machine would otherwise spoil the average for long. */
    constexpr double maximumRatio = 10;
    constexpr double minimumRatio = 0.05;

    std::string kindOf(const TargetReport& target) { return target.labels.empty() ? "" : target.labels.front(); }
}

void RunTimeModel::Average::add(double sample, double share)
{
    // The first samples weigh equally, so that the starting value does not matter.
    weight += 1;
    value += std::max(share, 1 / weight) * (sample - value);
}

void RunTimeModel::add(const TargetReport& target, double ratio)
{
    const double sample = std::clamp(ratio, minimumRatio, maximumRatio);
    Average& kind = m_kinds[kindOf(target)];
    kind.add(sample, kindSmoothing);
    Average& own = m_targets[target.id];
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
