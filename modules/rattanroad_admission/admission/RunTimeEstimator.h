#pragma once

#include "rattanroad_core/identifiers/Identifiers.h"
#include "rattanroad_core/time/Clock.h"

#include <map>

namespace rattanroad {

/** Learns, per kind of work, how long tasks run for the time that callers declare.

    Declared times are noisy and often off by a constant factor; the estimate is the geometric mean of measured over
    declared time, brought to a target of usual speed.
*/
class RunTimeEstimator {
public:
    /** Records a finished task. @p relativeSpeed is the learned speed of its target; 2 is twice as fast as usual. */
    void record(const WorkKind& kind, std::chrono::milliseconds declared, Duration ran, double relativeSpeed);
    /** Returns the expected run time on a target of usual speed; zero when nothing is known. */
    Duration expectedRunTime(const WorkKind& kind, std::chrono::milliseconds declared) const;

private:
    struct Scale {
        double logRatio { 0 };
        std::uint32_t samples { 0 };
    };

    std::map<WorkKind, Scale> m_scales;
};

}
