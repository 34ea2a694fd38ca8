#pragma once

#include "rattanroad_admission/rattanroad_admission.h"
#include "rattanroad_dispatch/engine/TimerQueue.h"
#include "rattanroad_dispatch/job/Job.h"
#include "rattanroad_ledger/rattanroad_ledger.h"
#include "rattanroad_routing/rattanroad_routing.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace rattanroad {

/** Runs the jobs that this host owns: demands slots, starts tasks once the journal allows it, retries, and ends each
   job with a complete answer or a failure.
*/
class JobRunner {
public:
    struct Hooks {
        std::function<void(const TaskStart&)> startTask;
        std::function<void(const TaskKey&)> cancelTask;
        /** The job has ended; called once per job, before its waiters are answered. */
        std::function<void(const SubmissionId&, const JobAnswer&)> ended;
        std::function<void(const SpanRecord&)> recordSpan;
        std::function<std::shared_ptr<const Inventory>()> inventory;
    };

    struct Settings {
        /** How long a failed job waits for the journal to confirm "not run" before it reports "outcome unknown". */
        Duration sealTimeout { std::chrono::seconds(1) };
    };

    struct Dependencies {
        Clock& clock;
        RandomSource& random;
        TimerQueue& timers;
        SubmissionLedger& ledger;
        SlotBorrower& borrower;
        AdmissionControl& admission;
        RetryPolicy& retry;
        QueueWaitEstimator& queueWaitEstimator;
        RunTimeEstimator& runTimeEstimator;
    };

    JobRunner(Settings settings, Dependencies dependencies, Hooks hooks);
    JobRunner(const JobRunner&) = delete;
    JobRunner& operator=(const JobRunner&) = delete;

    /** Runs an admitted job that the ledger has accepted. */
    void run(const SubmissionId& id, protocol::JobDescription description, AnswerCallback answer);
    /** Goes on with a job that this host took over; tasks whose outcome is unknown fail the job. */
    void resume(RecoveredSubmission recovered);
    /** Adds a waiter to an active job; returns false when there is none. */
    bool join(const SubmissionId& id, AnswerCallback answer);
    /** Fails an active job with @p failure; its run state is replaced by what is known. Returns false when there is
     * none. */
    bool fail(const SubmissionId& id, Failure failure);
    /** Cancels an active job and the requests of its running tasks, except those of unrepeatable tasks. */
    bool cancel(const SubmissionId& id);

    /** Gives up all active jobs of @p segment without an answer; returns them with their waiters. */
    struct AbandonedJob {
        JobRequest request;
        std::vector<AnswerCallback> waiters;
    };
    std::vector<AbandonedJob> abandon(const SegmentKey& segment);

    /** Binds a waiting task to a slot; see SlotBorrower::Hooks::bind. */
    bool bind(DemandId demand, const BorrowedSlot& slot);
    /** No target can serve the demand; fails its job. */
    void demandRefused(DemandId demand, const Failure& failure);
    void taskResult(TaskResult result);

    /** Returns whether the job is in progress and not answered yet. */
    bool isActive(const SubmissionId& id) const;
    /** Returns whether the active job with @p id has the same team and tasks as @p job. */
    bool isSameJob(const SubmissionId& id, const protocol::JobDescription& job) const;
    /** Jobs that are not answered or still have attempts outstanding. */
    std::size_t activeJobs() const { return m_jobs.size(); }

    struct Statistics {
        std::uint64_t jobsCompleted { 0 };
        std::uint64_t jobsFailed { 0 };
        std::uint64_t tasksStarted { 0 };
        std::uint64_t tasksSucceeded { 0 };
        std::uint64_t tasksFailed { 0 };
        std::uint64_t tasksRetried { 0 };
    };
    const Statistics& statistics() const { return m_statistics; }

private:
    using JobMap = std::unordered_map<SubmissionId, std::unique_ptr<Job>>;

    Job& add(const SubmissionId& id, protocol::JobDescription description, TimePoint arrivedAt);
    Job* find(const SubmissionId& id);
    void demandAll(Job& job);
    void demandOne(Job& job, TaskIndex task, const std::set<TargetId>& excluded);
    void openGroup(Job& job, TaskGroup group);
    void startDecided(
        const SubmissionId& id, TaskIndex task, AttemptNumber attempt, SubmissionLedger::StartVerdict verdict);
    void sendToTarget(Job& job, TaskIndex task, const Target& target);
    void giveSlotBack(Job& job, TaskIndex task);
    void taskSucceeded(Job& job, TaskIndex task, TaskResult& result);
    void taskFailed(Job& job, TaskIndex task, const TaskResult& result);
    void retryLater(Job& job, TaskIndex task, Duration backoff);
    void complete(Job& job);
    void close(Job& job, Failure failure);
    void answer(Job& job, JobAnswer answer);
    void withdraw(Job& job);
    void eraseIfDone(const SubmissionId& id);
    void recordSpan(
        const Job& job, const char* name, const TaskProgress* task, TaskIndex index, TimePoint begin, bool isError);

    Settings m_settings;
    Dependencies m_dependencies;
    Hooks m_hooks;
    JobMap m_jobs;
    std::unordered_map<DemandId, SubmissionId> m_jobOfDemand;
    Statistics m_statistics;
};

}
