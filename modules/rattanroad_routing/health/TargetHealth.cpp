#include "rattanroad_routing/health/TargetHealth.h"

#include <algorithm>
#include <bitset>
#include <cassert>

namespace rattanroad {

namespace {

    // A target that fails every task after a long series of successes reaches the threshold after 8 failures.
    constexpr std::uint32_t windowSize = 16;
    constexpr std::uint32_t windowMask = (1U << windowSize) - 1;
    // At a failure share of 16 %, four failures in a row occur by chance in only 0.06 % of cases.
    constexpr std::uint32_t minimumSamples = 4;
    constexpr double ejectionThreshold = 0.5;
    // Results older than this say nothing about the current state of the target.
    constexpr Duration maximumSampleAge = std::chrono::seconds(30);
    constexpr Duration initialTrialInterval = std::chrono::seconds(1);
    constexpr Duration maximumTrialInterval = std::chrono::seconds(64);
    // Successes without a failure that end the probation after a return to service.
    constexpr std::uint32_t probationSuccesses = 4;
    // A target ejected within this time after its return gets double its last trial interval. One that stays in service
    // longer starts again with the initial interval.
    constexpr Duration trialIntervalRetention = std::chrono::minutes(2);

}

void TargetHealth::record(bool isSuccess, TimePoint now)
{
    if (now - m_lastSampleAt > maximumSampleAge)
        clearWindow();
    m_failureBits = ((m_failureBits << 1U) | (isSuccess ? 0U : 1U)) & windowMask;
    m_sampleCount = std::min(m_sampleCount + 1, windowSize);
    m_lastSampleAt = now;
    if (isSuccess && m_failureBits == 0 && m_sampleCount >= probationSuccesses)
        m_isOnProbation = false;
}

bool TargetHealth::shouldEject(double peerFailureShare) const
{
    if (m_isOnProbation && (m_failureBits & 1U))
        return true;
    if (m_sampleCount < minimumSamples)
        return false;
    // The threshold rises linearly from ejectionThreshold to 1 with the failure share of the peers.
    const double threshold = ejectionThreshold + (1 - ejectionThreshold) * std::clamp(peerFailureShare, 0.0, 1.0);
    return failureShare() >= threshold;
}

double TargetHealth::failureShare() const
{
    if (m_sampleCount < minimumSamples)
        return 0;
    return static_cast<double>(std::bitset<windowSize>(m_failureBits).count()) / m_sampleCount;
}

double TargetHealth::successShare() const
{
    // Two assumed successes keep the share of a new target near 1 until a few tasks have finished.
    const auto failures = static_cast<double>(std::bitset<windowSize>(m_failureBits).count());
    return (m_sampleCount - failures + 2) / (m_sampleCount + 2);
}

void TargetHealth::eject(TimePoint now)
{
    assert(!m_isEjected);
    const bool isRepeatedEjection = m_trialInterval.count() > 0 && now - m_returnedToServiceAt < trialIntervalRetention;
    m_trialInterval = isRepeatedEjection ? std::min(m_trialInterval * 2, maximumTrialInterval) : initialTrialInterval;
    m_isEjected = true;
    m_isTrialRunning = false;
    m_nextTrialAt = now + m_trialInterval;
}

void TargetHealth::beginTrial()
{
    // Two concurrent trials would double the number of tasks lost to a target that still fails.
    assert(m_isEjected && !m_isTrialRunning);
    m_isTrialRunning = true;
}

void TargetHealth::endTrial(bool isSuccess, TimePoint now)
{
    m_isTrialRunning = false;
    if (!m_isEjected)
        return;
    if (!isSuccess) {
        m_trialInterval = std::min(m_trialInterval * 2, maximumTrialInterval);
        m_nextTrialAt = now + m_trialInterval;
        return;
    }
    clearWindow();
    m_isEjected = false;
    m_isOnProbation = true;
    m_returnedToServiceAt = now;
}

void TargetHealth::abandonTrial(TimePoint now)
{
    m_isTrialRunning = false;
    m_nextTrialAt = now;
}

void TargetHealth::clearWindow()
{
    m_failureBits = 0;
    m_sampleCount = 0;
}

}
