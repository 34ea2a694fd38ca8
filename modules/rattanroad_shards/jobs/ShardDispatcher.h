#pragma once

#include "rattanroad_shards/holding/ShardElection.h"
#include "rattanroad_shards/jobs/TaskRunner.h"
#include "rattanroad_shards/store/PageReader.h"
#include "rattanroad_shards/store/RecordWriter.h"

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
        ShardTargets::Settings targets;
        JobBook::Settings jobs;
        TaskRunner::Settings running;
        /** Time after taking the shard until no order of an earlier holder can be in force: a lease of a host, the
            time that it goes on without one, a lease of a target, and the drift of its clock. */
        std::chrono::milliseconds earlierHolderLimit { 13000 };
        /** Ends that are kept for longer are covered by a record of the job's progress. */
        std::chrono::milliseconds progressDelay { 700 };
        /** The jobs of a shard that was lost longer ago are not handed over: their callers have turned elsewhere. */
        std::chrono::milliseconds handoverLimit { 600 };
        /** A new holder waits this long for the jobs of the one before, several links long, before it asks the targets:
            it stops what it does not know. */
        std::chrono::milliseconds handoverWait { 80 };
        /** Interval of the checks that no event triggers. */
        std::chrono::milliseconds sweepInterval { 100 };
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
    void targetUnlisted(const TargetId& target) { m_targets.unlisted(target); }
    /** The list of targets cannot be followed at the moment. */
    void targetListInterrupted() { m_targets.listInterrupted(); }

    /** Takes a job. @p isResent tells that an earlier holder, or this one, may have started it. */
    void submit(const protocol::PlacedJob& job, std::chrono::milliseconds waited, bool isResent,
        const std::string& entranceAddress, SubmitReply reply);
    /** Returns the state of a job, or nothing when it is not in memory here. */
    std::optional<JobState> state(const JobId& job) const;
    /** Cancels a job; @p reply follows when the record is stored, or at once for a job that is unknown or ended. */
    void cancel(const JobId& job, const StateReply& reply);

    bool hasOpenJobs() const { return !m_jobs.openJobs().empty(); }
    /** Returns the load, for the hosts that choose among shards. */
    protocol::ShardLoad load() const;
    /** Returns the best-effort jobs that were taken in recently. */
    std::vector<JobId> newJobs() { return m_jobs.announced(); }

private:
    void takeRecord(const StoredItem& item);
    void finishLoading();
    void openSessions();
    TargetSession::Hooks sessionHooks();
    TaskRunner::Hooks runnerHooks();

    /** Goes on with a best-effort job that was stopped; runs that are being stopped end first. */
    void reopen(ShardJob& job);
    void acceptanceKnown(const JobId& id, RecordWriter::InsertResult acceptance, const StoredItem& existing);
    void endJob(ShardJob& job, JobState state, const std::string& reason);
    void keepEnd(ShardJob& job, TargetSession& session, std::uint64_t number);
    void endStored(const JobId& id);
    void submitBestEffort(std::unique_ptr<ShardJob> job, bool isResent, const SubmitReply& reply);
    void forgetEnds(ShardJob& job, std::uint64_t lastSequence);

    void sweep();
    void sweepRecovery();
    void sweepForsaken();
    void sweepKeptEnds();
    void sweepEnded();

    Settings m_settings;
    Timers m_timers;
    const Clock& m_clock;
    Hooks m_hooks;
    RecordWriter m_writer;
    PageReader m_records;
    ShardTargets m_targets;
    JobBook m_jobs;
    TaskRunner m_runner;
    std::optional<ShardElection::Holding> m_holding;
    /** Rises with each holding, so that a timer of an earlier one is ignored. */
    std::uint64_t m_round { 0 };
    bool m_isLoaded { false };
    bool m_isRecovering { false };
    TimePoint m_heldSince;
    std::map<JobId, std::vector<SubmitReply>> m_submitReplies;
    std::uint64_t m_lastKeptEnd { 0 };
    TimePoint m_lostAt { distantPast };
};

}
