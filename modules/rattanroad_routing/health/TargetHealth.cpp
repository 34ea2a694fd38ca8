#include "rattanroad_routing/health/TargetHealth.h"

#include <algorithm>
#include <bitset>
#include <cassert>

namespace rattanroad {

namespace {

    // 16 tasks: a target with a long good record that starts to fail everything is noticed after 8 failures.
    constexpr std::uint32_t windowSize = 16;
    constexpr std::uint32_t windowMask = (1U << windowSize) - 1;
    // Four failures in a row by chance are rare (0.06 %) at a failure share of 16 %.
    constexpr std::uint32_t minimumSamples = 4;
    constexpr double ejectionThreshold = 0.5;
    // Results older than this tell nothing about the target now.
    constexpr Duration windowAge = std::chrono::seconds(30);
    constexpr Duration firstTrialInterval = std::chrono::seconds(1);
    constexpr Duration longestTrialInterval = std::chrono::seconds(64);
    // Successes in a row that end the probation after a return to service.
    constexpr std::uint32_t probationSamples = 4;
    // A target that stays in service this long starts with the short interval when it fails again.
    constexpr Duration intervalMemory = std::chrono::minutes(2);

}

void TargetHealth::record(bool isSuccess, TimePoint now)
{
    if (now - m_lastSampleAt > windowAge)
        clearWindow();
    m_failures = ((m_failures << 1U) | (isSuccess ? 0U : 1U)) & windowMask;
    m_samples = std::min(m_samples + 1, windowSize);
    m_lastSampleAt = now;
    if (isSuccess && m_failures == 0 && m_samples >= probationSamples)
        m_isOnProbation = false;
}

bool TargetHealth::shouldEject(double peerFailureShare) const
{
    if (m_isOnProbation && (m_failures & 1U))
        return true;
    if (m_samples < minimumSamples)
        return false;
    // Halfway between the plain threshold and 1 in proportion to the peers' failures.
    const double threshold = ejectionThreshold + (1 - ejectionThreshold) * std::clamp(peerFailureShare, 0.0, 1.0);
    return failureShare() >= threshold;
}

double TargetHealth::failureShare() const
{
    if (m_samples < minimumSamples)
        return 0;
    return static_cast<double>(std::bitset<windowSize>(m_failures).count()) / m_samples;
}

double TargetHealth::successShare() const
{
    // Two assumed successes keep the share of a new target near 1 until a few tasks have ended.
    const auto failures = static_cast<double>(std::bitset<windowSize>(m_failures).count());
    return (m_samples - failures + 2) / (m_samples + 2);
}

void TargetHealth::eject(TimePoint now)
{
    assert(!m_isEjected);
    const bool isRelapse = m_trialInterval.count() > 0 && now - m_returnedAt < intervalMemory;
    m_trialInterval = isRelapse ? std::min(m_trialInterval * 2, longestTrialInterval) : firstTrialInterval;
    m_isEjected = true;
    m_isTrialRunning = false;
    m_nextTrialAt = now + m_trialInterval;
}

void TargetHealth::beginTrial()
{
    // Two trials at a time would double the tasks lost to a target that still fails.
    assert(m_isEjected && !m_isTrialRunning);
    m_isTrialRunning = true;
}

void TargetHealth::endTrial(bool isSuccess, TimePoint now)
{
    m_isTrialRunning = false;
    if (!m_isEjected)
        return;
    if (!isSuccess) {
        m_trialInterval = std::min(m_trialInterval * 2, longestTrialInterval);
        m_nextTrialAt = now + m_trialInterval;
        return;
    }
    clearWindow();
    m_isEjected = false;
    m_isOnProbation = true;
    m_returnedAt = now;
}

void TargetHealth::abandonTrial(TimePoint now)
{
    m_isTrialRunning = false;
    m_nextTrialAt = now;
}

void TargetHealth::clearWindow()
{
    m_failures = 0;
    m_samples = 0;
}

}
