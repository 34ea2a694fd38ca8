#include "rattanroad_shards/placing/CrashPolicy.h"

#include <algorithm>

namespace rattanroad::shards {

bool CrashPolicy::isGivenUp(const std::vector<LostRun>& runs) const
{
    std::size_t restarts = 0;
    std::size_t crashes = 0;
    bool wasAlone = false;
    for (const LostRun& run : runs) {
        restarts += run.hasTargetRestarted;
        if (!run.isCrashProven())
            continue;
        ++crashes;
        wasAlone = run.wasAlone;
    }
    return crashes >= m_settings.crashes || restarts >= m_settings.restarts
        || (crashes >= m_settings.crashesAlone && wasAlone);
}

bool CrashPolicy::mayStart(const std::vector<LostRun>& runs, TimePoint now) const
{
    if (runs.size() < 2)
        return true;
    std::size_t losses = 0;
    bool isSettled = true;
    TimePoint lastSeen = distantPast;
    for (const LostRun& run : runs) {
        if (isForgotten(run, now))
            continue;
        ++losses;
        isSettled = isSettled && run.hasTargetRestarted;
        lastSeen = std::max(lastSeen, run.seenAt);
    }
    if (isSettled || losses < 2)
        return true;
    return losses < m_settings.lossesBeforeHold && now - lastSeen >= m_settings.settleDelay;
}

}
