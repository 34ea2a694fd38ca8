#include "rattanroad_shards/placing/OutlierDetector.h"

#include <algorithm>
#include <cmath>

namespace rattanroad::shards {

void OutlierDetector::failed(const TargetId& target, std::size_t targets)
{
    Record& record = m_targets[target];
    ++record.failures;
    if (record.failures < m_settings.failuresToLeaveOut || isLeftOut(target))
        return;
    const auto leftOut = static_cast<std::size_t>(std::count_if(
        m_targets.begin(), m_targets.end(), [this](const auto& entry) { return wasLeftOut(entry.second); }));
    const auto limit = static_cast<std::size_t>(std::ceil(static_cast<double>(targets) * m_settings.largestShare));
    if (!wasLeftOut(record) && leftOut >= limit)
        return;
    record.pause = std::clamp(record.pause * 2, m_settings.shortestPause, m_settings.longestPause);
    record.pauseEnd = m_clock.now() + record.pause;
}

void OutlierDetector::pardon(const TargetId& target)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return;
    Record& record = found->second;
    --record.failures;
    if (record.failures < m_settings.failuresToLeaveOut)
        record.pause = std::chrono::milliseconds(0);
    if (record.failures == 0)
        m_targets.erase(found);
}

bool OutlierDetector::isLeftOut(const TargetId& target) const
{
    const auto found = m_targets.find(target);
    return found != m_targets.end() && wasLeftOut(found->second) && m_clock.now() < found->second.pauseEnd;
}

bool OutlierDetector::isOnTrial(const TargetId& target) const
{
    const auto found = m_targets.find(target);
    return found != m_targets.end() && wasLeftOut(found->second) && m_clock.now() >= found->second.pauseEnd;
}

}
