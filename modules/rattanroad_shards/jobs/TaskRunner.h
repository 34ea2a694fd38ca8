#pragma once

#include "rattanroad_shards/jobs/JobTable.h"
#include "rattanroad_shards/scheduling/Admission.h"
#include "rattanroad_shards/scheduling/ArrivalRates.h"
#include "rattanroad_shards/scheduling/CapacityModel.h"
#include "rattanroad_shards/scheduling/GuaranteedShares.h"
#include "rattanroad_shards/targets/ShardTargets.h"

namespace rattanroad::shards {

/** Runs the tasks of a shard's open jobs: starts each ready task on the target that is expected to finish it first,
    processes the run reports of the targets, and reports when a job has ended.
*/
class TaskRunner {
public:
    struct Settings {
        /** Delay before a task is started again after a target rejected its start as malformed. */
        std::chrono::milliseconds malformedRetryDelay { 200 };
        /** No task of a best-effort job starts when its origin has not repeated the submission for this long: the
            caller may submit the job to another host 1.3 s after its connection broke. */
        std::chrono::milliseconds originTimeout { 1000 };
        /** No lease of a run of a best-effort job ends later than this after its origin has last repeated the
            submission, so that the run has ended by then even if it cannot be stopped or its holder dies. */
        std::chrono::milliseconds maximumLeaseAfterSubmission { 1250 };
        CrashPolicy::Settings crashes;
        IsolationPolicy::Settings isolation;
        CapacityModel::Settings capacity;
        Admission::Settings admission;
        /** See GuaranteedShares. */
        std::chrono::milliseconds maximumCredit { GuaranteedShares::Settings().maximumCredit };
    };
    struct Hooks {
        /** All tasks are done, or one has used up its attempts. */
        std::function<void(ShardJob&, JobState, const std::string& reason)> finished;
        /** The lost runs of a task have changed. A task of a stored job starts again once the record covers them. */
        std::function<void(ShardJob&)> lossesChanged;
        /** A run of a known job has ended; the target keeps reporting the completion until it is acknowledged. */
        std::function<void(ShardJob&, TargetSession&, std::uint64_t number)> completionReported;
        /** Returns whether the evacuation of the failure domain, if there is one, leaves time for starts. An empty hook
            means that it does. */
        std::function<bool()> areStartsAllowed;
        std::function<void(const char* event, const JobId&, const std::string& detail)> log;
    };

    TaskRunner(
        Settings settings, JobTable& jobs, ShardTargets& targets, Timers timers, const Clock& clock, Hooks hooks);
    TaskRunner(const TaskRunner&) = delete;
    TaskRunner& operator=(const TaskRunner&) = delete;

    /** Allows starts, under this generation of the shard's holder. */
    void begin(Generation generation);
    /** Stops starting tasks until begin(). */
    void end() { m_generation.reset(); }

    /** Schedules ready tasks in the next iteration of the event loop. */
    void scheduleSoon();
    /** Stops all runs of a job. */
    void stopRuns(const ShardJob& job);
    /** Lets tasks start on targets that a run which only prefers isolation has had to itself for long. */
    void endPreferredIsolations() { m_targets.endPreferredIsolations(m_settings.isolation.preferredDuration); }
    /** Adds overdue runs to the run time samples and stops each once, so that the task starts elsewhere. */
    void rescheduleOverdueRuns();

    void runEnded(TargetSession& session, const RunCompletion& completion);
    void runLost(const TargetSession& session, const RunLoss& loss);
    /** Settles for each run that was lost with a silent target whether the target crashed or was cut off. */
    void targetReported(const TargetSession& session);
    /** Adopts a run that an earlier holder started. Returns the resources that it uses, or nothing when it must be
        stopped. */
    std::optional<Resources> adoptRun(TargetSession& session, const RunningTask& running);
    /** Returns the latest time at which the lease of a run of this task may end. */
    TimePoint leaseLimit(const TaskId& task) const;
    /** Takes over the lost runs that a record or a handover names; they are settled as targets report. */
    void trackLosses(ShardJob& job, bool areRecorded);
    /** Returns the stored jobs whose records are to name the current run of a task, so that a later holder learns of a
        crash that this one does not live to see: the task has lost runs before, or its target has fallen silent. */
    std::set<JobId> jobsWithRunsToRecord();
    /** Returns the current run of a task as one that is lost if its target restarts. */
    std::optional<LostRun> currentRun(const TaskId& id) const;
    void startRejected(TargetSession& session, const TaskId& id, std::uint32_t attempt, TargetCallResult result);

    /** Decides whether a new job is accepted, by the work that would start before it and the learned capacity. A job
        for which a target has room now is always accepted. */
    Admission::Decision admit(const ShardJob& job);
    /** A new job was opened: its work counts as arrived. */
    void accepted(const ShardJob& job);
    /** Returns the expected wait of a new job that comes after all jobs in time. */
    std::chrono::milliseconds expectedWait() const;
    /** Returns whether a waiting task of the job could start now if a target had room, and no listed target is eligible
        for it, or each that is eligible is closed until an isolated run ends. */
    bool hasUnplaceableTask(const ShardJob& job) const;
    /** Returns whether a run of a task of the job is active or may be. */
    bool mayHaveRun(const ShardJob& job) const;
    /** Returns a number that is not below any attempt that this or an earlier holder of the shard can have used. */
    std::uint32_t highestAttempt(const ShardJob& job) const;
    /** Returns whether each phase has a listed target that could run it. */
    bool hasEligibleTarget(const ShardJob& job) const;

private:
    struct TaskLookup {
        ShardJob* job { nullptr };
        ShardTask* task { nullptr };
    };

    /** The task is null when the job is not in memory or has no such task. */
    TaskLookup find(const TaskId& id) const;
    void schedule();
    /** Returns whether tasks may start, and logs when that changes. */
    bool maySchedule();
    void placeJob(ShardJob& job, PlacementPass& pass);
    /** Returns false when no target can take the task now. */
    bool placeTask(ShardJob& job, std::size_t phase, std::uint32_t index, PlacementPass& pass);
    std::uint32_t nextAttempt(const ShardJob& job, const ShardTask& task) const;
    void taskDone(ShardJob& job, ShardTask& task, const TaskId& id);
    /** Returns whether the job has failed because the task has used up its attempts. */
    bool recordFailure(ShardJob& job, ShardTask& task, const TargetSession& session, const RunCompletion& completion);
    void rescheduleOverdueRun(TargetSession& session, const TaskId& id);
    void settleLosses(ShardJob& job, ShardTask& task, const TaskId& id, const TargetSession& session);
    /** Ends the job as failed if the task has crashed its targets too often; otherwise has the lost runs recorded. */
    void lossesChanged(ShardJob& job, ShardTask& task);
    /** Returns whether the task waits for a target and is not held back for another reason. */
    bool mayStart(const ShardJob& job, const ShardTask& task, TimePoint now) const;
    /** Keeps targets for the waiting tasks with a Required isolation, as far as
        IsolationPolicy::Settings::maximumShare allows. */
    void keepTargetsForIsolation(PlacementPass& pass);
    Isolation isolationOf(const ShardTask& task, const PlacementRequest& request, PlacementPass& pass) const;
    /** Returns the number of lost runs that still count. */
    std::size_t countLosses(const ShardTask& task) const;
    /** Returns whether some target has room for a task of each phase that does not depend on another, after the jobs
        that wait have got what they can use. */
    bool hasRoomNow(const ShardJob& job);
    double rate() const;
    void updateOverload(double rate);

    Settings m_settings;
    CrashPolicy m_crashPolicy;
    IsolationPolicy m_isolationPolicy;
    JobTable& m_jobs;
    ShardTargets& m_targets;
    Timers m_timers;
    const Clock& m_clock;
    Hooks m_hooks;
    /** Absent while the shard is not held. */
    std::optional<Generation> m_generation;
    CapacityModel m_capacity;
    Admission m_admission;
    GuaranteedShares m_shares;
    ArrivalRates m_arrivals;
    /** Not everything that waits can be done in time. */
    bool m_isOverloaded { false };
    /** Average of the expected ratio of run times to their estimates at the latest starts. */
    double m_runTimeFactor { 1 };
    /** Work that the present pass has started. */
    std::uint64_t m_startedWork { 0 };
    /** The present pass has found a task for which no target has room. */
    bool m_isRoomShort { false };
    /** Tasks that have lost a run. */
    std::set<TaskId> m_suspects;
    /** How many of them have as many lost runs as a Required isolation needs, in the present pass. */
    std::size_t m_isolatedTasks { 0 };
    bool m_isScheduled { false };
    /** A pass is due since something has changed. */
    bool m_isPassDue { false };
    /** Millicores of the smallest task for which no target had room since the last change, by service and label. */
    std::map<std::pair<std::string, std::string>, std::uint32_t> m_noRoom;
    /** The target list was recent enough for starts at the last check. */
    bool m_isListRecent { true };
};

}
