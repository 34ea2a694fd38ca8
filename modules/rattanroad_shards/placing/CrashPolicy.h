#pragma once

#include "rattanroad_shards/types/ShardTypes.h"

#include <vector>

namespace rattanroad::shards {

/** A run of a task that was lost together with its target, or with the connection to it. */
struct LostRun {
    TargetId target;
    /** Start time of the target incarnation that had the run. */
    std::uint64_t incarnationMs { 0 };
    /** The target had confirmed the start. */
    bool isStartConfirmed { false };
    /** The incarnation has ended. Otherwise the target may only have been cut off. */
    bool hasTargetRestarted { false };
    /** The target had no other run. */
    bool wasAlone { false };
    TimePoint seenAt;

    bool isCrashProven() const { return isStartConfirmed && hasTargetRestarted; }
};

/** Decides when a task that has lost runs may start again, and when it is given up because it crashes its targets. */
class CrashPolicy {
public:
    struct Settings {
        /** Proven crashes after which a task is given up if its target had no other run at the last of them. */
        std::size_t crashesAlone { 2 };
        /** Proven crashes after which a task is given up in any case. */
        std::size_t crashes { 3 };
        /** Restarts of a target after which a task is given up even if it is not proven that its runs had begun. */
        std::size_t restarts { 4 };
        /** After the second lost run, a task waits this long for the target to show whether it crashed. */
        std::chrono::milliseconds settleDelay { 1500 };
        /** With this many lost runs, a task waits until each has been settled or forgotten. */
        std::size_t lossesBeforeHold { 4 };
        /** Time after which a target that stays silent no longer counts. Targets that crash are back after some
            seconds. */
        std::chrono::seconds memory { 60 };
    };

    explicit CrashPolicy(Settings settings)
        : m_settings(settings)
    {
    }

    /** Returns whether a lost run is not settled and no longer counts. */
    bool isForgotten(const LostRun& run, TimePoint now) const
    {
        return !run.hasTargetRestarted && now - run.seenAt >= m_settings.memory;
    }
    bool isGivenUp(const std::vector<LostRun>& runs) const;
    /** Returns whether the task may start now. @p runs is in the order in which the runs were lost. */
    bool mayStart(const std::vector<LostRun>& runs, TimePoint now) const;

private:
    Settings m_settings;
};

}
