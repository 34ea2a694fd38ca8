#include "rattanroad_routing/speed/SpeedModel.h"

#include <algorithm>
#include <cmath>

namespace rattanroad {

namespace {

    // About 30 tasks decide the estimate: declared times with a random factor of e then leave an error of 13 %.
    constexpr double slowGain = 0.03;
    constexpr double fastGain = 0.25;
    // A single outlier moves the slow estimate by no more than this many natural-log units times its gain.
    constexpr double slowClip = 1.5;
    constexpr double fastClip = 2.5;
    // A target that became three times slower or faster is believed at once; smaller changes are averaged.
    constexpr double shiftThreshold = 1.2;
    constexpr std::uint32_t samplesBeforeShift = 8;
    constexpr std::uint32_t samplesAfterShift = 4;
    // The first samples are averaged with the mean as if it had been measured this often.
    constexpr double priorSamples = 1;
    // Idle estimates lose half of their deviation in this time, so that a recovered straggler is tried again.
    constexpr double halfLifeSeconds = 60;
    constexpr double meanRunGain = 0.05;
    // Assumed until the first task of a kind without a declared time has been measured.
    constexpr std::chrono::milliseconds unknownRun { 200 };
    constexpr double largestLogSpeed = 4.6; // a factor of 100; larger ones are measurement faults

    double milliseconds(Duration duration) { return std::chrono::duration<double, std::milli>(duration).count(); }

    Duration fromMilliseconds(double value)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value));
    }

}

SpeedModel::SpeedModel(const Clock& clock)
    : m_clock(clock)
{
}

void SpeedModel::record(const TargetId& target, const WorkKind& kind, std::chrono::milliseconds declared, Duration ran)
{
    const double ranMilliseconds = std::max(milliseconds(ran), 0.01);
    auto& state = m_kinds[kind];
    if (state.meanRunMilliseconds == 0)
        state.meanRunMilliseconds = ranMilliseconds;
    state.meanRunMilliseconds += meanRunGain * (ranMilliseconds - state.meanRunMilliseconds);

    const bool hasDeclared = declared.count() > 0;
    auto& scale = hasDeclared ? state.declared : state.undeclared;
    const double logRatio = std::log(ranMilliseconds / (hasDeclared ? static_cast<double>(declared.count()) : 1.0));
    const double mean = scale.mean();
    const auto [entry, isNew] = scale.targets.try_emplace(target);
    auto& estimate = entry->second;
    if (isNew) {
        const double start = scale.targets.size() == 1 ? logRatio : mean;
        estimate.slow = estimate.fast = start;
        scale.sum += start;
    }
    scale.sum -= estimate.slow;
    update(estimate, logRatio);
    scale.sum += estimate.slow;
    estimate.updatedAt = m_clock.now();
}

void SpeedModel::update(Estimate& estimate, double logRatio)
{
    const double gain = std::max(slowGain, 1 / (estimate.samples + 1 + priorSamples));
    estimate.slow += gain * std::clamp(logRatio - estimate.slow, -slowClip, slowClip);
    estimate.fast += fastGain * std::clamp(logRatio - estimate.fast, -fastClip, fastClip);
    ++estimate.samples;
    if (estimate.samples < samplesBeforeShift || std::abs(estimate.fast - estimate.slow) < shiftThreshold)
        return;
    estimate.slow = estimate.fast;
    estimate.samples = samplesAfterShift;
}

double SpeedModel::deviation(const Scale& scale, const TargetId& target) const
{
    const auto found = scale.targets.find(target);
    if (found == scale.targets.end())
        return 0;
    const double idle = std::chrono::duration<double>(m_clock.now() - found->second.updatedAt).count();
    const double deviation = (scale.mean() - found->second.slow) * std::exp2(-std::max(idle, 0.0) / halfLifeSeconds);
    return std::clamp(deviation, -largestLogSpeed, largestLogSpeed);
}

double SpeedModel::relativeSpeed(const TargetId& target, const WorkKind& kind) const
{
    const auto found = m_kinds.find(kind);
    if (found == m_kinds.end())
        return 1;
    const auto& state = found->second;
    const bool usesDeclared = state.declared.targets.count(target) || state.undeclared.targets.empty();
    return std::exp(deviation(usesDeclared ? state.declared : state.undeclared, target));
}

Duration SpeedModel::expectedRunTime(const WorkKind& kind, std::chrono::milliseconds declared) const
{
    const auto found = m_kinds.find(kind);
    if (declared.count() <= 0)
        return meanRunTime(kind);
    const double factor = found == m_kinds.end() ? 1 : std::exp(found->second.declared.mean());
    return fromMilliseconds(static_cast<double>(declared.count()) * factor);
}

Duration SpeedModel::meanRunTime(const WorkKind& kind) const
{
    const auto found = m_kinds.find(kind);
    if (found == m_kinds.end() || found->second.meanRunMilliseconds == 0)
        return unknownRun;
    return fromMilliseconds(found->second.meanRunMilliseconds);
}

void SpeedModel::removeTarget(const TargetId& target)
{
    for (auto& [kind, state] : m_kinds) {
        for (auto* scale : { &state.declared, &state.undeclared }) {
            const auto found = scale->targets.find(target);
            if (found == scale->targets.end())
                continue;
            scale->sum -= found->second.slow;
            scale->targets.erase(found);
        }
    }
}

}
