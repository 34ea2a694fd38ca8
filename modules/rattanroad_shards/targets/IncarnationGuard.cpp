#include "rattanroad_shards/targets/IncarnationGuard.h"

#include <algorithm>

namespace rattanroad::shards {

std::uint64_t IncarnationGuard::callSent()
{
    m_callsInFlight[++m_lastNumber] = m_clock.now();
    return m_lastNumber;
}

void IncarnationGuard::callEnded(std::uint64_t number, bool isAnswered)
{
    const auto call = m_callsInFlight.find(number);
    // The call was sent to an earlier incarnation.
    if (call == m_callsInFlight.end())
        return;
    if (!isAnswered)
        m_lastUnansweredAt = std::max(m_lastUnansweredAt, call->second);
    m_callsInFlight.erase(call);
}

void IncarnationGuard::beginIncarnation(FencingToken token)
{
    TimePoint latest = m_lastUnansweredAt;
    for (const auto& call : m_callsInFlight)
        latest = std::max(latest, call.second);
    m_callsInFlight.clear();
    m_lastUnansweredAt = distantPast;
    // The present incarnation has seen no token of an earlier one, so calls to all earlier ones count.
    m_exposedUntil = std::max(m_exposedUntil, latest + m_lateWindow);
    m_token = token;
    m_isTokenIgnored = false;
}

void IncarnationGuard::tokenChecked(bool isRefused)
{
    if (isRefused)
        m_exposedUntil = distantPast;
    else
        m_isTokenIgnored = true;
}

std::optional<TimePoint> IncarnationGuard::exposedUntil() const
{
    if (!isExposed())
        return std::nullopt;
    return m_exposedUntil;
}

}
