#pragma once

#include "rattanroad_shards/types/ShardTypes.h"

#include <map>

namespace rattanroad::shards {

/** Learns how long targets take against the estimate of the task: per hardware kind, and per target against its kind.
    A factor of 2 means twice the estimate.
*/
class RunTimeModel {
public:
    /** Takes the ratio of the measured run time to the estimate, data placement taken out. */
    void add(const TargetReport& target, double ratio);
    /** Returns the expected ratio. */
    double factor(const TargetReport& target) const;
    /** A new life of the target may be of another kind. */
    void forget(const TargetId& target) { m_targets.erase(target); }

private:
    struct Average {
        double value { 1 };
        double weight { 0 };
        void add(double sample, double share);
    };

    std::map<std::string, Average> m_kinds;
    std::map<TargetId, Average> m_targets;
};

}
