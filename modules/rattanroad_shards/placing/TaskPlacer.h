#pragma once

#include "rattanroad_shards/placing/IsolationPolicy.h"
#include "rattanroad_shards/types/ShardTypes.h"

#include <vector>

namespace rattanroad::shards {

/** A target that is considered for a task. */
struct PlacementCandidate {
    const TargetReport* report { nullptr };
    Resources free;
    /** Expected run time against the estimate; see RunTimeModel. */
    double factor { 1 };
    /** Number of runs of the same job phase on the target; counted only when the task limits them. */
    std::uint32_t tasksOfPhase { 0 };
};

/** Requirements of the task to place. */
struct PlacementRequest {
    Resources resources;
    std::chrono::milliseconds estimate { 0 };
    ServiceId service;
    /** Label that the target must have; empty for none. */
    std::string requiredLabel;
    /** Rack with the input data; empty for none. */
    std::string dataRack;
    /** Largest number of tasks of the phase on one target; 0 for no limit. */
    std::uint32_t maximumPerTarget { 0 };
    /** How far the task is kept apart from others, as it may crash its target. */
    Isolation isolation { Isolation::None };
};

struct Placement {
    /** Index of the chosen candidate. */
    std::size_t target { 0 };
    /** Expected run time there. */
    std::chrono::milliseconds predicted { 0 };
};

/** Chooses the target of one task. */
class TaskPlacer {
public:
    struct Settings {
        /** Factor by which a task takes longer on a target outside the rack with its input data. */
        double remotePenalty { 2 };
    };

    explicit TaskPlacer(Settings settings)
        : m_settings(settings)
    {
    }

    /** Returns whether the target has the service and the label of the task. */
    static bool matches(const PlacementRequest& task, const TargetReport& target);
    /** Returns whether the target could run the task if it had room. */
    static bool isEligible(const PlacementRequest& task, const TargetReport& target);
    /** Returns the expected run time of the task on the target. */
    std::chrono::milliseconds predict(const PlacementRequest& task, const PlacementCandidate& target) const;
    /** Returns the target with room that is expected to finish the task first; on a tie, the one with the fewest
        millicores left. The index is targets.size() when no target has room.
    */
    Placement choose(const PlacementRequest& task, const std::vector<PlacementCandidate>& targets) const;

private:
    Settings m_settings;
};

}
