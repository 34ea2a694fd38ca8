#include "rattanroad_routing/speed/SpeedModel.h"

#include <algorithm>
#include <cmath>

namespace rattanroad {

namespace {

    // The slow average covers about 30 tasks, so that a random factor of e in declared times leaves an error of 13 %.
    constexpr double slowGain = 0.03;
    constexpr double fastGain = 0.25;
    // Limits the influence of a single outlier on an average; in natural-log units, before the gain is applied.
    constexpr double maximumSlowStep = 1.5;
    constexpr double maximumFastStep = 2.5;
    // A target that became about three times slower or faster is followed at once: the slow average is set to the fast
    // one when they differ by this many natural-log units. Smaller changes are averaged.
    constexpr double shiftThreshold = 1.2;
    constexpr std::uint32_t minimumSamplesForShift = 8;
    constexpr std::uint32_t sampleCountAfterShift = 4;
    // A new estimate starts with the mean of the other targets, which counts as this many samples.
    constexpr double priorSamples = 1;
    // An estimate without new samples loses half of its deviation from the mean in this time, so that a recovered
    // straggler gets tasks again.
    constexpr double deviationHalfLifeSeconds = 60;
    constexpr double meanRunTimeGain = 0.05;
    // Mean run time that is assumed for a kind until its first task has been measured.
    constexpr std::chrono::milliseconds defaultRunTime { 200 };
    constexpr double maximumLogSpeed = 4.6; // a factor of 100; larger factors are measurement errors

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

void SpeedModel::record(
    const TargetId& target, const WorkKind& kind, std::chrono::milliseconds declaredTime, Duration runTime)
{
    const double runTimeMilliseconds = std::max(milliseconds(runTime), 0.01);
    auto& state = m_kinds[kind];
    if (state.meanRunTimeMilliseconds == 0)
        state.meanRunTimeMilliseconds = runTimeMilliseconds;
    state.meanRunTimeMilliseconds += meanRunTimeGain * (runTimeMilliseconds - state.meanRunTimeMilliseconds);

    const bool hasDeclared = declaredTime.count() > 0;
    auto& estimates = hasDeclared ? state.declared : state.undeclared;
    const double logRatio
        = std::log(runTimeMilliseconds / (hasDeclared ? static_cast<double>(declaredTime.count()) : 1.0));
    const double mean = estimates.mean();
    const auto [entry, isNew] = estimates.targets.try_emplace(target);
    auto& estimate = entry->second;
    if (isNew) {
        const double initial = estimates.targets.size() == 1 ? logRatio : mean;
        estimate.slowAverage = estimate.fastAverage = initial;
        estimates.sum += initial;
    }
    estimates.sum -= estimate.slowAverage;
    update(estimate, logRatio);
    estimates.sum += estimate.slowAverage;
    estimate.updatedAt = m_clock.now();
}

void SpeedModel::update(Estimate& estimate, double logRatio)
{
    const double gain = std::max(slowGain, 1 / (estimate.samples + 1 + priorSamples));
    estimate.slowAverage += gain * std::clamp(logRatio - estimate.slowAverage, -maximumSlowStep, maximumSlowStep);
    estimate.fastAverage += fastGain * std::clamp(logRatio - estimate.fastAverage, -maximumFastStep, maximumFastStep);
    ++estimate.samples;
    if (estimate.samples < minimumSamplesForShift
        || std::abs(estimate.fastAverage - estimate.slowAverage) < shiftThreshold)
        return;
    estimate.slowAverage = estimate.fastAverage;
    estimate.samples = sampleCountAfterShift;
}

double SpeedModel::logRelativeSpeed(const EstimateSet& estimates, const TargetId& target) const
{
    const auto found = estimates.targets.find(target);
    if (found == estimates.targets.end())
        return 0;
    const double idle = std::chrono::duration<double>(m_clock.now() - found->second.updatedAt).count();
    const double logSpeed
        = (estimates.mean() - found->second.slowAverage) * std::exp2(-std::max(idle, 0.0) / deviationHalfLifeSeconds);
    return std::clamp(logSpeed, -maximumLogSpeed, maximumLogSpeed);
}

double SpeedModel::relativeSpeed(const TargetId& target, const WorkKind& kind) const
{
    const auto found = m_kinds.find(kind);
    if (found == m_kinds.end())
        return 1;
    const auto& state = found->second;
    const bool usesDeclared = state.declared.targets.count(target) || state.undeclared.targets.empty();
    return std::exp(logRelativeSpeed(usesDeclared ? state.declared : state.undeclared, target));
}

Duration SpeedModel::expectedRunTime(const WorkKind& kind, std::chrono::milliseconds declaredTime) const
{
    const auto found = m_kinds.find(kind);
    if (declaredTime.count() <= 0)
        return meanRunTime(kind);
    const double factor = found == m_kinds.end() ? 1 : std::exp(found->second.declared.mean());
    return fromMilliseconds(static_cast<double>(declaredTime.count()) * factor);
}

Duration SpeedModel::meanRunTime(const WorkKind& kind) const
{
    const auto found = m_kinds.find(kind);
    if (found == m_kinds.end() || found->second.meanRunTimeMilliseconds == 0)
        return defaultRunTime;
    return fromMilliseconds(found->second.meanRunTimeMilliseconds);
}

void SpeedModel::removeTarget(const TargetId& target)
{
    for (auto& [kind, state] : m_kinds) {
        for (auto* estimates : { &state.declared, &state.undeclared }) {
            const auto found = estimates->targets.find(target);
            if (found == estimates->targets.end())
                continue;
            estimates->sum -= found->second.slowAverage;
            estimates->targets.erase(found);
        }
    }
}

}
