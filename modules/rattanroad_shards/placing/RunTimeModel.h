#pragma once

#include "rattanroad_shards/types/ShardTypes.h"

#include <map>

namespace rattanroad::shards {

/** Learns the ratio of measured run times to the estimates of tasks: per hardware kind, and per target relative to its
    kind. A factor of 2 means twice the estimate.
*/
class RunTimeModel {
public:
    /** Adds a sample: the ratio of a measured run time to the estimate, which includes the penalty for remote data. */
    void add(const TargetReport& target, double ratio);
    /** Returns the expected ratio of the run time to the estimate. */
    double factor(const TargetReport& target) const;
    /** Removes the average of an earlier incarnation of the target, which may have been of another kind. */
    void forget(const TargetId& target) { m_targets.erase(target); }

private:
    struct MovingAverage {
        double value { 1 };
        /** Number of samples behind the value, real or assumed; the next sample weighs the less the more there are. */
        double weight { 0 };
        void add(double sample, double smoothing);
    };

    std::map<std::string, MovingAverage> m_kinds;
    /** Ratio of each target to the ratio of its kind. */
    std::map<TargetId, MovingAverage> m_targets;
};

}
