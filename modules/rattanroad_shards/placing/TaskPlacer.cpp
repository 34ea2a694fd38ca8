#include "rattanroad_shards/placing/TaskPlacer.h"

#include <algorithm>

namespace rattanroad::shards {

bool TaskPlacer::matches(const PlacementRequest& task, const TargetReport& target)
{
    const bool hasLabel = task.requiredLabel.empty()
        || std::find(target.labels.begin(), target.labels.end(), task.requiredLabel) != target.labels.end();
    return target.service == task.service && hasLabel;
}

bool TaskPlacer::isEligible(const PlacementRequest& task, const TargetReport& target)
{
    return matches(task, target) && task.resources.fitsInto(target.capacity);
}

std::chrono::milliseconds TaskPlacer::predict(const PlacementRequest& task, const PlacementCandidate& target) const
{
    const auto& labels = target.report->labels;
    const bool isDataLocal
        = task.dataRack.empty() || std::find(labels.begin(), labels.end(), task.dataRack) != labels.end();
    const double factor = target.factor * (isDataLocal ? 1 : m_settings.remotePenalty);
    return std::chrono::milliseconds(static_cast<std::int64_t>(static_cast<double>(task.estimate.count()) * factor));
}

Placement TaskPlacer::choose(const PlacementRequest& task, const std::vector<PlacementCandidate>& targets) const
{
    Placement best { targets.size(), std::chrono::milliseconds::max() };
    std::uint32_t bestRemaining = 0;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const PlacementCandidate& target = targets[i];
        if (!isEligible(task, *target.report) || !task.resources.fitsInto(target.free))
            continue;
        if (task.maximumPerTarget != 0 && target.tasksOfPhase >= task.maximumPerTarget)
            continue;
        const auto predicted = predict(task, target);
        const std::uint32_t remaining = target.free.millicores - task.resources.millicores;
        if (predicted < best.predicted || (predicted == best.predicted && remaining < bestRemaining)) {
            best = { i, predicted };
            bestRemaining = remaining;
        }
    }
    return best;
}

}
