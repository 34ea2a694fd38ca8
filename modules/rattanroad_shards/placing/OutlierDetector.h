#pragma once

#include "rattanroad_shards/types/ShardTypes.h"

#include <map>

namespace rattanroad::shards {

/** Ejects targets whose runs fail repeatedly. A target that fails its runs fast has room again at once and would
    otherwise attract ever more tasks.
*/
class OutlierDetector {
public:
    struct Settings {
        /** Consecutive failures after which a target is ejected. A single failure may be caused by the task. */
        std::uint32_t failuresBeforeEjection { 2 };
        /** Time until an ejected target gets a single trial task. It doubles with each failure after that, up to
            maximumEjection. */
        std::chrono::milliseconds minimumEjection { 500 };
        std::chrono::milliseconds maximumEjection { 4000 };
        /** Largest share of the targets that is ejected at a time, as the tasks may cause the failures. */
        double maximumEjectedShare { 0.3 };
    };

    OutlierDetector(Settings settings, const Clock& clock)
        : m_settings(settings)
        , m_clock(clock)
    {
    }

    void recordSuccess(const TargetId& target) { m_targets.erase(target); }
    /** Records a failed run; @p targetCount is the number of targets of the shard. */
    void recordFailure(const TargetId& target, std::size_t targetCount);
    /** Takes back a failure that was caused by the task. */
    void retractFailure(const TargetId& target);
    /** Removes the failures of an earlier incarnation of the target. */
    void forget(const TargetId& target) { m_targets.erase(target); }

    /** Returns whether the target gets no tasks now. */
    bool isEjected(const TargetId& target) const;
    /** Returns whether the ejection is over and the target may get a single trial task. */
    bool isOnTrial(const TargetId& target) const;

private:
    struct Record {
        /** Consecutive failures. */
        std::uint32_t failures { 0 };
        TimePoint ejectionEnd { distantPast };
        /** Length of the last ejection; 0 if there was none since the last success. */
        std::chrono::milliseconds ejectionTime { 0 };
    };

    bool hasBeenEjected(const Record& record) const { return record.ejectionTime.count() > 0; }

    Settings m_settings;
    const Clock& m_clock;
    std::map<TargetId, Record> m_targets;
};

}
