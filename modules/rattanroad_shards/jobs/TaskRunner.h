#pragma once

#include "rattanroad_shards/jobs/JobBook.h"
#include "rattanroad_shards/targets/ShardTargets.h"

namespace rattanroad::shards {

/** Runs the tasks of a shard's open jobs: starts what is due where it ends first, takes what the targets report of the
    runs, and tells when a job has come to its end.
*/
class TaskRunner {
public:
    struct Settings {
        /** Pause before a task that a target could not read starts again. */
        std::chrono::milliseconds malformedPause { 200 };
        /** A best-effort job that its entrance has not asked after for this long starts nothing: its caller may submit
            it to another host 1.3 s after the connection broke. */
        std::chrono::milliseconds entranceLimit { 1000 };
    };
    struct Hooks {
        /** All tasks are done, or one has failed as often as it may. */
        std::function<void(ShardJob&, JobState, const std::string& reason)> finished;
        /** A run of a known job has ended; the target keeps the end until it is told to forget it. */
        std::function<void(ShardJob&, TargetSession&, std::uint64_t number)> endListed;
        std::function<void(const char* event, const JobId&, const std::string& detail)> log;
    };

    TaskRunner(Settings settings, JobBook& jobs, ShardTargets& targets, Timers timers, const Clock& clock, Hooks hooks);
    TaskRunner(const TaskRunner&) = delete;
    TaskRunner& operator=(const TaskRunner&) = delete;

    /** Starts tasks under this generation of the shard's holder. */
    void begin(Generation generation) { m_generation = generation; }
    /** Starts nothing from now on. */
    void end() { m_generation.reset(); }

    /** Starts what can start, once the present event has been taken. */
    void scheduleSoon();
    /** Stops all runs of a job. */
    void stopRuns(const ShardJob& job);
    /** Learns from runs that take too long, and moves each such task once. */
    void moveOverdue();

    void runEnded(TargetSession& session, const EndedTask& end);
    /** Takes a run that an earlier holder started. Returns what it takes, or nothing when it must not go on. */
    std::optional<Resources> runFound(TargetSession& session, const RunningTask& running);
    void startRejected(TargetSession& session, const TaskId& task, std::uint32_t attempt, TargetEnding ending);

    /** Returns the wait of a job that is due by @p objective, from the work before it and the room. */
    std::chrono::milliseconds expectedWait(TimePoint objective) const;
    /** Returns whether each phase has a listed target that could run it. */
    bool hasEligibleTarget(const ShardJob& job) const;

private:
    struct Found {
        ShardJob* job { nullptr };
        ShardTask* task { nullptr };
    };

    /** The task is null for a job that is not in memory, and for one that has no such task. */
    Found find(const TaskId& name) const;
    void schedule();
    void placeJob(ShardJob& job);
    /** Returns false when no target has room. */
    bool placeTask(ShardJob& job, std::size_t phase, std::uint32_t index);
    std::uint32_t nextAttempt(const ShardJob& job, const ShardTask& task) const;
    void taskDone(ShardJob& job, ShardTask& task, const TaskId& name);
    /** Returns whether the task has failed as often as it may. */
    bool takeFailure(ShardJob& job, ShardTask& task, const TargetSession& session, const TaskId& name);
    void takeOverdue(TargetSession& session, const TaskId& name);

    Settings m_settings;
    JobBook& m_jobs;
    ShardTargets& m_targets;
    Timers m_timers;
    const Clock& m_clock;
    Hooks m_hooks;
    /** Absent while the shard is not held. */
    std::optional<Generation> m_generation;
    bool m_isScheduleDue { false };
};

}
