#pragma once

#include "rattanroad_shards/placing/IsolationPolicy.h"
#include "rattanroad_shards/targets/TargetCalls.h"

#include <map>
#include <set>

namespace rattanroad::shards {

/** A run on a target, as the holder of the shard knows it. */
struct TargetRun {
    enum class State {
        Starting,
        Running,
        Stopping,
    };
    std::uint32_t attempt { 0 };
    std::string payload;
    Resources resources;
    State state { State::Starting };
    TimePoint startedAt;
    /** When the target confirmed the start or the stop. A run that is missing from the reply to a poll sent later
        has ended. */
    std::optional<TimePoint> confirmedAt;
    std::chrono::milliseconds predicted { 0 };
    std::string savedProgress;
    /** Number of times that the start was sent. */
    std::uint32_t sends { 0 };
    /** The known incarnation of the target has the run. Not set by a confirmation that names no incarnation. */
    bool isStartConfirmed { false };
    /** Reported as lost if the list of a new incarnation lacks the run, whose start was confirmed by a reply that
        named no incarnation. */
    std::optional<RunLoss> possibleLoss;
    /** Unless it is None, no other run may start on the target. */
    Isolation isolation { Isolation::None };
};

/** The runs on one target, at most one for each task, and the resources that they occupy. */
class TargetRuns {
public:
    const std::map<TaskId, TargetRun>& all() const { return m_runs; }
    const Resources& used() const { return m_used; }
    /** Returns null when there is no run of the task. */
    TargetRun* find(const TaskId& task);
    const TargetRun* find(const TaskId& task) const;
    /** Returns null when there is no run of the task with this attempt. */
    TargetRun* find(const TaskId& task, std::uint32_t attempt);
    const TargetRun* find(const TaskId& task, std::uint32_t attempt) const;
    TargetRun& add(const TaskId& task, TargetRun run);
    void remove(const TaskId& task);
    /** Returns the strictest isolation of a run on the target. */
    Isolation isolation() const { return m_isolation; }
    /** Lets other runs start beside those that have had the target to themselves since before @p startedBefore and only
        prefer it. Returns whether there was one. */
    bool endPreferredIsolation(TimePoint startedBefore);
    std::vector<TaskId> tasks() const;
    /** Returns the tasks of the runs that were confirmed before a poll was sent whose reply lists only @p listed. */
    std::vector<TaskId> missingFrom(const std::set<TaskId>& listed, TimePoint sentAt) const;

private:
    void updateUse();

    std::map<TaskId, TargetRun> m_runs;
    Resources m_used;
    Isolation m_isolation { Isolation::None };
};

}
