#include "rattanroad_shards/node/LoopMonitor.h"

namespace rattanroad::shards {

LoopMonitor::LoopMonitor(Settings settings, const Clock& clock, Hooks hooks)
    : m_settings(settings)
    , m_clock(clock)
    , m_hooks(std::move(hooks))
{
}

void LoopMonitor::timerFired()
{
    detectPause();
    reportLag();
    m_firedAt = m_clock.now();
}

void LoopMonitor::detectPause()
{
    const TimePoint now = m_clock.now();
    if (now > m_firedAt && now - m_firedAt > m_settings.pauseThreshold)
        m_resumedAt = now;
}

void LoopMonitor::reportLag()
{
    const TimePoint now = m_clock.now();
    if (now < m_due)
        return;
    const Duration lag = now - m_due;
    if (m_hooks.lag)
        m_hooks.lag(lag);
    if (lag <= m_settings.lagThreshold || now - m_reportedAt < m_settings.reportInterval)
        return;
    m_reportedAt = now;
    m_hooks.late(lag);
}

}
