#pragma once

#include "rattanroad_core/identifiers/Identifiers.h"
#include "rattanroad_core/time/Clock.h"

#include <chrono>
#include <cstdint>
#include <unordered_map>

namespace rattanroad {

/** Learns how fast each target runs each kind of work, from the ratio of measured to declared run time.

    Declared times may be wrong by a large factor. The part of the error that a kind has everywhere cancels out, as a
    target is compared with the mean of all targets of the kind; the random part is averaged by a robust estimator. A
    target without measurements has the mean speed, and an estimate without new measurements returns to it slowly.
*/
class SpeedModel {
public:
    explicit SpeedModel(const Clock& clock);

    /** Learns from a task that succeeded. @p declared is zero when the caller declared nothing. */
    void record(const TargetId& target, const WorkKind& kind, std::chrono::milliseconds declared, Duration ran);

    /** Returns the speed relative to the mean of the known targets; 2 is twice as fast. */
    double relativeSpeed(const TargetId& target, const WorkKind& kind) const;

    /** Returns the expected run time on a target of mean speed. */
    Duration expectedRunTime(const WorkKind& kind, std::chrono::milliseconds declared) const;

    /** Returns the mean run time of recent tasks of @p kind, on whatever target they ran. */
    Duration meanRunTime(const WorkKind& kind) const;

    /** Drops what is known of a target that left the inventory. */
    void removeTarget(const TargetId& target);

private:
    /** Natural logarithm of measured/declared, for one target and kind. */
    struct Estimate {
        double slow { 0 };
        double fast { 0 };
        std::uint32_t samples { 0 };
        TimePoint updatedAt;
    };
    /** Estimates of one kind; tasks with and without a declared time are not comparable and are kept apart. */
    struct Scale {
        std::unordered_map<TargetId, Estimate> targets;
        double sum { 0 };

        double mean() const { return targets.empty() ? 0 : sum / static_cast<double>(targets.size()); }
    };
    struct Kind {
        Scale declared;
        Scale undeclared;
        double meanRunMilliseconds { 0 };
    };

    static void update(Estimate& estimate, double logRatio);
    double deviation(const Scale& scale, const TargetId& target) const;

    const Clock& m_clock;
    std::unordered_map<WorkKind, Kind> m_kinds;
};

}
