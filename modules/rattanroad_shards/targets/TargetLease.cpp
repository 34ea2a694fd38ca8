#include "rattanroad_shards/targets/TargetLease.h"

#include <algorithm>

namespace rattanroad::shards {

void TargetLease::setTargetClock(std::uint64_t clockMs)
{
    m_targetClockMs = clockMs;
    m_targetClockReadAt = m_clock.now();
}

std::uint64_t TargetLease::targetEndMs(std::chrono::milliseconds length) const
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - m_targetClockReadAt);
    return *m_targetClockMs + static_cast<std::uint64_t>((elapsed + length).count());
}

void TargetLease::extend(std::chrono::milliseconds length)
{
    const auto longest = std::chrono::duration_cast<Duration>(length * (1 + m_settings.clockDrift));
    // The target read its clock up to one call duration before the reply arrived here.
    m_end = std::max(m_end, m_clock.now() + longest + m_settings.replyTime);
}

}
