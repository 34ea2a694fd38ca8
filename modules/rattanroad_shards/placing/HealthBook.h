#pragma once

#include "rattanroad_shards/types/ShardTypes.h"

#include <map>

namespace rattanroad::shards {

/** Tells which targets fail what they start. A target that fails fast has room again at once, so without this it would
    draw ever more tasks.
*/
class HealthBook {
public:
    struct Settings {
        /** Failures in a row after which a target is left out. One failure may be the task's own fault. */
        std::uint32_t failuresToLeaveOut { 2 };
        /** Time until a target that was left out is tried again; doubled with each further failure. */
        std::chrono::milliseconds shortestPause { 500 };
        std::chrono::milliseconds longestPause { 4000 };
        /** No more than this share of the targets is left out at a time, as tasks may be at fault. */
        double largestShare { 0.3 };
    };

    HealthBook(Settings settings, const Clock& clock)
        : m_settings(settings)
        , m_clock(clock)
    {
    }

    void succeeded(const TargetId& target) { m_targets.erase(target); }
    /** Takes a failure; @p targets is the number of targets of the shard. */
    void failed(const TargetId& target, std::size_t targets);
    /** Takes a failure back that was the task's own fault. */
    void pardon(const TargetId& target);
    /** A new life of the target may be sound. */
    void forget(const TargetId& target) { m_targets.erase(target); }

    /** Returns whether the target gets no task now. */
    bool isLeftOut(const TargetId& target) const;
    /** Returns whether the target may get a single task, to see whether it is sound again. */
    bool isOnTrial(const TargetId& target) const;

private:
    struct Record {
        /** In a row. */
        std::uint32_t failures { 0 };
        TimePoint pauseEnd { distantPast };
        /** 0 until the target is left out for the first time since its last success. */
        std::chrono::milliseconds pause { 0 };
    };

    bool wasLeftOut(const Record& record) const { return record.pause.count() > 0; }

    Settings m_settings;
    const Clock& m_clock;
    std::map<TargetId, Record> m_targets;
};

}
