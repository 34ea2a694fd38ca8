#pragma once

#include "rattanroad_core/identifiers/Identifiers.h"
#include "rattanroad_core/time/Clock.h"

#include <chrono>
#include <cstdint>
#include <unordered_map>

namespace rattanroad {

/** Learns how fast each target runs each kind of work, from the ratio of measured to declared run time.

    Declared times may be wrong by a large factor. The part of the error that is common to a kind cancels out, because
    each target is compared with the mean of all targets of the kind; the random part is averaged by a robust estimator.
    A target without measurements has the mean speed, and an estimate without new measurements decays towards it.
*/
class SpeedModel {
public:
    explicit SpeedModel(const Clock& clock);

    /** Records a task that succeeded. @p declaredTime is zero when the caller declared none. */
    void record(const TargetId& target, const WorkKind& kind, std::chrono::milliseconds declaredTime, Duration runTime);

    /** Returns the speed relative to the mean of the measured targets; 2 is twice as fast. */
    double relativeSpeed(const TargetId& target, const WorkKind& kind) const;

    /** Returns the expected run time on a target of mean speed; the mean run time when @p declaredTime is zero. */
    Duration expectedRunTime(const WorkKind& kind, std::chrono::milliseconds declaredTime) const;

    /** Returns the mean run time of recent tasks of @p kind on all targets, or a default before the first task. */
    Duration meanRunTime(const WorkKind& kind) const;

    /** Removes the estimates of a target that left the inventory. */
    void removeTarget(const TargetId& target);

private:
    /** Moving averages of the natural logarithm of measured over declared run time, for one target and kind. */
    struct Estimate {
        double slowAverage { 0 };
        double fastAverage { 0 };
        std::uint32_t samples { 0 };
        TimePoint updatedAt;
    };
    struct EstimateSet {
        std::unordered_map<TargetId, Estimate> targets;
        /** Sum of the slow averages of all targets. */
        double sum { 0 };

        double mean() const { return targets.empty() ? 0 : sum / static_cast<double>(targets.size()); }
    };
    /** State of one kind. Tasks with and without a declared run time are not comparable and have separate estimates. */
    struct KindState {
        EstimateSet declared;
        EstimateSet undeclared;
        double meanRunTimeMilliseconds { 0 };
    };

    static void update(Estimate& estimate, double logRatio);
    double logRelativeSpeed(const EstimateSet& estimates, const TargetId& target) const;

    const Clock& m_clock;
    std::unordered_map<WorkKind, KindState> m_kinds;
};

}
