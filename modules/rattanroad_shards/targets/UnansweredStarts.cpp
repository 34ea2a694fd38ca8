#include "rattanroad_shards/targets/UnansweredStarts.h"

#include <algorithm>

namespace rattanroad::shards {

void UnansweredStarts::add(const TaskId& task, std::uint32_t attempt)
{
    const TimePoint now = m_clock.now();
    while (!m_starts.empty() && now - m_starts.front().sentAt >= m_lateWindow)
        m_starts.pop_front();
    m_starts.push_back({ task, attempt, now });
}

bool UnansweredStarts::mayArriveLate(const TaskId& task, std::uint32_t highestAttempt) const
{
    return std::any_of(m_starts.begin(), m_starts.end(), [&](const Start& start) {
        return start.task == task && start.attempt <= highestAttempt && m_clock.now() - start.sentAt < m_lateWindow;
    });
}

}
