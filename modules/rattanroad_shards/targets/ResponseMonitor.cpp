#include "rattanroad_shards/targets/ResponseMonitor.h"

#include <algorithm>

namespace rattanroad::shards {

void ResponseMonitor::recordResponse(const TargetReply& reply, TimePoint sentAt)
{
    recordLoss(reply);
    if (!reply.clockMs)
        return;
    const Duration sample = m_clock.now() - sentAt;
    m_responseTime = std::max(sample, m_responseTime + (sample - m_responseTime) / m_settings.responseTimeSamples);
}

void ResponseMonitor::recordLoss(const TargetReply& reply)
{
    if (reply.result == TargetCallResult::Unknown)
        m_lastLoss = m_clock.now();
}

bool ResponseMonitor::isLossy() const
{
    return m_clock.now() - m_lastLoss < m_settings.lossWindow && !isSilenceTimeoutOver();
}

std::chrono::milliseconds ResponseMonitor::callTimeout() const
{
    if (!isLossy())
        return m_settings.callTimeout;
    const auto allowance
        = std::chrono::duration_cast<std::chrono::milliseconds>(m_responseTime * m_settings.lossyTimeoutFactor);
    return std::min(m_settings.lossyTimeoutMargin + allowance, m_settings.maximumLossyTimeout);
}

}
