#pragma once

#include "rattanroad_core/identifiers/Identifiers.h"
#include "rattanroad_core/time/Clock.h"

#include <map>

namespace rattanroad {

/** Estimates run times per kind of work from the times that callers declare.

    Declared times are noisy and often wrong by a constant factor. The estimator learns this factor as the geometric
    mean of the ratios of measured to declared run time, scaled to a target of mean speed.
*/
class RunTimeEstimator {
public:
    /** Records a finished task. @p relativeSpeed is the learned speed of its target; 2 is twice the mean speed. */
    void record(const WorkKind& kind, std::chrono::milliseconds declaredTime, Duration runTime, double relativeSpeed);
    /** Returns the expected run time on a target of mean speed; zero when the kind has too few samples. */
    Duration expectedRunTime(const WorkKind& kind, std::chrono::milliseconds declaredTime) const;

private:
    struct KindEstimate {
        double logRatio { 0 };
        std::uint32_t samples { 0 };
    };

    std::map<WorkKind, KindEstimate> m_estimates;
};

}
