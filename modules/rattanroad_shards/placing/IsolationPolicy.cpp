#include "rattanroad_shards/placing/IsolationPolicy.h"

namespace rattanroad::shards {

Isolation IsolationPolicy::decide(const Figures& figures) const
{
    if (figures.lostRuns == 0)
        return Isolation::None;
    const bool isMassLoss = figures.isolatedTasks > figures.targets * m_settings.maximumTasksPerTarget;
    if (figures.lostRuns >= m_settings.lossesBeforeRequired && !isMassLoss)
        return Isolation::Required;
    // The other tasks keep at least one target.
    const bool hasOtherTarget = figures.eligibleTargets > figures.isolatedTargets + 1;
    return hasOtherTarget && mayIsolateAnother(figures.eligibleTargets, figures.isolatedTargets) ? Isolation::Preferred
                                                                                                 : Isolation::None;
}

bool IsolationPolicy::mayIsolateAnother(std::size_t eligibleTargets, std::size_t isolatedTargets) const
{
    return isolatedTargets == 0
        || static_cast<double>(isolatedTargets + 1) <= static_cast<double>(eligibleTargets) * m_settings.maximumShare;
}

}
