#include "fleet/HttpLimitLog.h"

namespace rattanroad::daemon {

void HttpLimitLog::add(CloseCause cause, std::size_t heldBytes, const ConnectionAccount& account)
{
    m_count(eventName(cause));
    const TimePoint now = m_clock.now();
    const auto inserted = m_seconds.try_emplace(cause);
    Second& second = inserted.first->second;
    ++second.countSince;
    if (!inserted.second && now - second.loggedAt < std::chrono::seconds(1))
        return;
    m_write(eventName(cause),
        { { "count", std::to_string(second.countSince) }, { "held_bytes", std::to_string(heldBytes) },
            { "held_by_all", std::to_string(account.heldBytes()) },
            { "connections", std::to_string(account.connections()) } });
    second.loggedAt = now;
    second.countSince = 0;
}

}
