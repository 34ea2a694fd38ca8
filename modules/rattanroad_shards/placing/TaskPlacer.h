#pragma once

#include "rattanroad_shards/types/ShardTypes.h"

#include <vector>

namespace rattanroad::shards {

/** A target as the placing of tasks sees it. */
struct PlacementCandidate {
    const TargetReport* report { nullptr };
    Resources free;
    /** Expected run time against the estimate; see RunTimeModel. */
    double factor { 1 };
    /** Tasks of the phase in question that run there. */
    std::uint32_t tasksOfPhase { 0 };
};

/** What one task needs. */
struct PlacementRequest {
    Resources resources;
    std::chrono::milliseconds estimate { 0 };
    ServiceId service;
    /** Empty for none. */
    std::string requiredLabel;
    /** Rack with the input data; empty for none. */
    std::string dataRack;
    /** 0 for no limit. */
    std::uint32_t maximumPerTarget { 0 };
};

struct Placement {
    std::size_t target { 0 };
    std::chrono::milliseconds predicted { 0 };
};

/** Chooses the target of one task. */
class TaskPlacer {
public:
    struct Settings {
        /** Tasks away from their data take this many times as long. */
        double remotePenalty { 2 };
    };

    explicit TaskPlacer(Settings settings)
        : m_settings(settings)
    {
    }

    /** Returns whether the target could ever run the task. */
    static bool isEligible(const PlacementRequest& task, const TargetReport& target);
    /** Returns the expected run time. */
    std::chrono::milliseconds predict(const PlacementRequest& task, const PlacementCandidate& target) const;
    /** Returns the target with room that ends the task first; of equals, the one with the least room left. Returns an
        index of targets.size() when no target has room.
    */
    Placement choose(const PlacementRequest& task, const std::vector<PlacementCandidate>& targets) const;

private:
    Settings m_settings;
};

}
