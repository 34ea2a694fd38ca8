#include "rattanroad_shards/placing/OutlierDetector.h"

#include <algorithm>
#include <cmath>

namespace rattanroad::shards {

void OutlierDetector::recordFailure(const TargetId& target, std::size_t targetCount)
{
    Record& record = m_targets[target];
    ++record.failures;
    if (record.failures < m_settings.failuresBeforeEjection || isEjected(target))
        return;
    const auto ejected = static_cast<std::size_t>(std::count_if(
        m_targets.begin(), m_targets.end(), [this](const auto& entry) { return hasBeenEjected(entry.second); }));
    const auto limit
        = static_cast<std::size_t>(std::ceil(static_cast<double>(targetCount) * m_settings.maximumEjectedShare));
    if (!hasBeenEjected(record) && ejected >= limit)
        return;
    record.ejectionTime = std::clamp(record.ejectionTime * 2, m_settings.minimumEjection, m_settings.maximumEjection);
    record.ejectionEnd = m_clock.now() + record.ejectionTime;
}

void OutlierDetector::retractFailure(const TargetId& target)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return;
    Record& record = found->second;
    --record.failures;
    if (record.failures < m_settings.failuresBeforeEjection)
        record.ejectionTime = std::chrono::milliseconds(0);
    if (record.failures == 0)
        m_targets.erase(found);
}

bool OutlierDetector::isEjected(const TargetId& target) const
{
    const auto found = m_targets.find(target);
    return found != m_targets.end() && hasBeenEjected(found->second) && m_clock.now() < found->second.ejectionEnd;
}

bool OutlierDetector::isOnTrial(const TargetId& target) const
{
    const auto found = m_targets.find(target);
    return found != m_targets.end() && hasBeenEjected(found->second) && m_clock.now() >= found->second.ejectionEnd;
}

}
