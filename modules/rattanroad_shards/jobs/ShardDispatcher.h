#pragma once

#include "rattanroad_shards/holding/ShardElection.h"
#include "rattanroad_shards/jobs/ShardJob.h"
#include "rattanroad_shards/placing/SpeedBook.h"
#include "rattanroad_shards/placing/TaskPlacer.h"
#include "rattanroad_shards/store/RecordWriter.h"
#include "rattanroad_shards/targets/TargetSession.h"

#include <map>
#include <memory>
#include <optional>

namespace rattanroad::shards {

/** The holder of a shard answers a submission so. */
enum class SubmitVerdict {
    Accepted, ///< The job's record is in the store.
    Refused, ///< The job never runs.
    NotHolder, ///< Nothing was done with the job here.
    Unsettled, ///< An earlier holder may have left a run of the job on a target that does not answer; not taken.
};

/** Holds one shard: accepts its jobs, runs their tasks on its targets and records how the jobs end.

    A new holder reads the records of the shard's jobs and asks each target, under its own token, what runs and what
    has ended. It goes on with what it finds; a task that it does not find starts again only when no earlier run can
    be left on any target.
*/
class ShardDispatcher {
public:
    struct Settings {
        ShardId shard;
        TargetSession::Settings targets;
        TaskPlacer::Settings placing;
        /** Time after taking the shard until no order of an earlier holder can be in force: a lease of a host, the
            time that it goes on without one, a lease of a target, and the drift of its clock. */
        std::chrono::milliseconds earlierHolderLimit { 13000 };
        /** After an interruption, and after the start of this process, targets may be missing from the list: entries
            that lapsed with the store are back within two seconds, and targets write every 1.5 s. */
        std::chrono::seconds listSettled { 4 };
        /** Ends that are kept for longer are covered by a record of the job's progress. */
        std::chrono::milliseconds progressDelay { 700 };
        /** Ended jobs stay known for this long. */
        std::chrono::seconds retention { 130 };
        /** A best-effort job that its entrance has not asked after for this long is stopped: its caller may submit it
           to another host 1.3 s after the connection broke. */
        std::chrono::milliseconds entranceLimit { 1000 };
        /** The jobs of a shard that was lost longer ago are not handed over: their callers have turned elsewhere. */
        std::chrono::milliseconds handoverLimit { 600 };
        /** New best-effort jobs are announced for this long, as single messages may be lost. */
        std::chrono::milliseconds announceTime { 650 };
        /** Callers submit a best-effort job again within a few seconds, or not at all. */
        std::chrono::seconds bestEffortRetention { 6 };
        /** A target whose entry is gone is forgotten after this time: entries that lapsed with the store are back
            within two seconds. */
        std::chrono::milliseconds unlistedLimit { 3500 };
        /** A new holder waits this long for the jobs of the one before, several links long, before it asks the targets:
            it stops what it does not know. */
        std::chrono::milliseconds handoverWait { 80 };
        /** A run is overdue after this many times its expected time, and a little more. Estimates are off by a few
            tenths, so less than one run in thirty is overdue on a sound target. */
        double overdueFactor { 3 };
        std::chrono::milliseconds overdueSlack { 60 };
        /** Interval of the checks that no event triggers. */
        std::chrono::milliseconds sweepInterval { 100 };
        /** Pause before a task that a target could not read starts again. */
        std::chrono::milliseconds malformedPause { 200 };
        /** A job whose expected wait is this many times its objective is refused: later it would be of no use. */
        double refusalFactor { 2 };
        /** Wait that is advised at least with a refusal. */
        std::chrono::milliseconds shortestRetry { 100 };
    };
    struct Hooks {
        /** A job has ended, for the host that took it in. */
        std::function<void(const ShardJob&)> jobEnded;
        /** The key of the shard in the store is no longer this host's. */
        std::function<void()> keyChanged;
        /** A target has seen another holder. */
        std::function<void()> displaced;
        /** Logs a decision about a job. */
        std::function<void(const char* event, const JobId&, const std::string& detail)> log;
    };
    using SubmitReply = std::function<void(SubmitVerdict, std::chrono::milliseconds retryAfter)>;
    using StateReply = std::function<void(bool isKnown, JobState)>;

    ShardDispatcher(
        Settings settings, KeyValueStore& store, TargetCalls& targets, Timers timers, const Clock& clock, Hooks hooks);
    ShardDispatcher(const ShardDispatcher&) = delete;
    ShardDispatcher& operator=(const ShardDispatcher&) = delete;

    /** Begins to hold the shard. */
    void begin(const ShardElection::Holding& holding);
    /** Gives no order from now on. */
    void end();
    bool isHolding() const { return m_holding.has_value() && m_isLoaded; }
    /** Returns the best-effort jobs for the next holder, once. @pre this host no longer holds the shard */
    protocol::ShardHandover takeHandover();
    /** Takes the jobs of the holder before. */
    void handoverReceived(const protocol::ShardHandover& handover);

    void targetListed(const TargetReport& report);
    void targetUnlisted(const TargetId& target);
    /** The list of targets cannot be followed at the moment. */
    void targetListInterrupted() { m_listGapAt = m_clock.now(); }

    /** Takes a job. @p isResent tells that an earlier holder, or this one, may have started it. */
    void submit(const protocol::PlacedJob& job, std::chrono::milliseconds waited, bool isResent,
        const std::string& entranceAddress, SubmitReply reply);
    /** Returns the state of a job, or nothing when it is not in memory here. */
    std::optional<JobState> state(const JobId& job) const;
    /** Cancels a job; @p reply follows when the record is stored, or at once for a job that is unknown or ended. */
    void cancel(const JobId& job, const StateReply& reply);

    /** Returns the load, for the hosts that choose among shards. */
    protocol::ShardLoad load() const;
    /** Returns the best-effort jobs that were taken in recently. */
    std::vector<JobId> newJobs();

private:
    void readRecords(const std::string& after);
    void takeRecords(const ReadReply& reply);
    void takeRecord(const StoredItem& item);
    void finishLoading();
    void openSessions();
    bool hasRun(const TaskName& task) const;
    std::unique_ptr<ShardJob> makeJob(const protocol::PlacedJob& description) const;
    void openSession(const TargetReport& report);
    TargetSession::Hooks sessionHooks();

    /** Goes on with a best-effort job that was stopped; runs that are being stopped end first. */
    void reopen(ShardJob& job);
    void acceptanceKnown(const JobId& id, RecordWriter::Acceptance acceptance, const StoredItem& existing);
    void runEnded(TargetSession& session, const EndedTask& end);
    /** Takes the time since the start of a run as a sample of its target's speed. */
    void learn(const TargetSession& session, const PlacingTask& wanted, TimePoint startedAt);
    /** Returns null for a job that is not in memory. */
    ShardJob* findJob(const JobId& id) const;
    std::optional<Resources> runFound(TargetSession& session, const RunningTask& running);
    void startRejected(TargetSession& session, const TaskName& task, std::uint32_t attempt, TargetEnding ending);
    void taskDone(ShardJob& job, ShardTask& task, const TaskName& name);
    void endJob(ShardJob& job, JobState state, const std::string& reason);
    void stopRuns(ShardJob& job);
    void keepEnd(ShardJob& job, TargetSession& session, std::uint64_t number);
    void endStored(const JobId& id);
    /** Returns whether no run of an earlier holder can be left on a target that is not known or has not answered. */
    bool areTargetsSettled() const;
    static void clearUncertainty(ShardJob& job);
    void submitBestEffort(std::unique_ptr<ShardJob> job, bool isResent, const SubmitReply& reply);
    void forgetEnds(ShardJob& job, std::uint64_t lastSequence);

    void scheduleSoon();
    void schedule();
    std::vector<ShardJob*> jobsInOrder();
    void placeJob(ShardJob& job);
    bool placeTask(ShardJob& job, std::size_t phase, std::uint32_t index);
    PlacingTask placingTask(const ShardJob& job, std::size_t phase) const;
    std::uint32_t nextAttempt(const ShardJob& job, const ShardTask& task) const;
    std::chrono::milliseconds expectedWait(TimePoint objective) const;
    bool hasEligibleTarget(const ShardJob& job) const;

    void sweep();
    void sweepRecovery();
    void sweepTargets();
    /** Learns from runs that take too long, and moves each such task once. */
    void sweepOverdue();
    void takeOverdue(TargetSession& session, const TaskName& name);
    void sweepJobs();

    Settings m_settings;
    KeyValueStore& m_store;
    TargetCalls& m_targetCalls;
    Timers m_timers;
    const Clock& m_clock;
    Hooks m_hooks;
    RecordWriter m_writer;
    TaskPlacer m_placer;
    SpeedBook m_speeds;
    std::optional<ShardElection::Holding> m_holding;
    /** Rises with each holding, so that readings of an earlier one are ignored. */
    std::uint64_t m_round { 0 };
    bool m_isLoaded { false };
    bool m_areSessionsOpen { false };
    bool m_isRecovering { false };
    bool m_isScheduleDue { false };
    TimePoint m_heldSince;
    /** When the list of targets may last have been incomplete. */
    TimePoint m_listGapAt;
    std::map<TargetId, TargetReport> m_reports;
    std::map<TargetId, std::unique_ptr<TargetSession>> m_sessions;
    std::map<JobId, std::unique_ptr<ShardJob>> m_jobs;
    /** Jobs that have not ended. */
    std::map<JobId, ShardJob*> m_open;
    std::map<JobId, std::vector<SubmitReply>> m_submitReplies;
    std::uint64_t m_lastKeptEnd { 0 };
    std::vector<std::pair<TimePoint, JobId>> m_newJobs;
    TimePoint m_lostAt { longAgo };
};

}
