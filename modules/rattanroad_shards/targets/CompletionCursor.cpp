#include "rattanroad_shards/targets/CompletionCursor.h"

#include <algorithm>

namespace rattanroad::shards {

bool CompletionCursor::receive(std::uint64_t number)
{
    if (number <= m_lastReceived)
        return false;
    // Lower numbers that are not reported were acknowledged by an earlier holder.
    if (m_lastReceived == 0)
        m_acknowledged = std::max(m_acknowledged, number - 1);
    m_lastReceived = number;
    return true;
}

void CompletionCursor::acknowledge(std::uint64_t number)
{
    if (number <= m_acknowledged)
        return;
    m_acknowledgedOutOfOrder.insert(number);
    while (!m_acknowledgedOutOfOrder.empty() && *m_acknowledgedOutOfOrder.begin() == m_acknowledged + 1) {
        m_acknowledged = *m_acknowledgedOutOfOrder.begin();
        m_acknowledgedOutOfOrder.erase(m_acknowledgedOutOfOrder.begin());
    }
}

}
