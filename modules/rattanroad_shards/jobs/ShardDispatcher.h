#pragma once

#include "rattanroad_shards/evacuation/JobTransfers.h"
#include "rattanroad_shards/evacuation/ReturnedJobs.h"
#include "rattanroad_shards/holding/ShardElection.h"
#include "rattanroad_shards/jobs/JobCodec.h"
#include "rattanroad_shards/jobs/TaskRunner.h"
#include "rattanroad_shards/store/PageReader.h"
#include "rattanroad_shards/store/RecordWriter.h"

namespace rattanroad::shards {

/** Answer of a shard's holder to a submission. */
enum class SubmitVerdict {
    Accepted, ///< The job's record is in the store, or the job is best effort and in memory.
    Refused, ///< The job never runs.
    NotHolder, ///< This host does not hold the shard; nothing was done.
    NotReconciled, ///< Nothing was done, because an earlier run may be active. Sent by earlier builds only.
};

/** Serves one shard while this host holds it: accepts its jobs, runs their tasks on its targets and records how the
    jobs end.

    A new holder reads the records of the shard's jobs and polls each target, under its own fencing token, for active
    and completed runs. It adopts the runs that it finds. A task without a run starts again only when no target can
    still have a run of an earlier holder.
*/
class ShardDispatcher {
public:
    struct Settings {
        ShardId shard;
        ShardTargets::Settings targets;
        JobTable::Settings jobs;
        TaskRunner::Settings running;
        ReturnedJobs::Settings returned;
        /** A job's progress is stored when a target has retained one of its completions for this long. */
        std::chrono::milliseconds progressDelay { 700 };
        /** The jobs of a shard that was lost longer ago are not handed over, because their callers have submitted them
            to other hosts. */
        std::chrono::milliseconds maximumHandoverAge { 600 };
        /** Time for which a new holder waits for the handover of its predecessor before it polls the targets, because
            it stops the runs of jobs that it does not know. Several link latencies. */
        std::chrono::milliseconds handoverWait { 80 };
        /** A stored job is transferred when no listed target has been able to run a task for this long: entries of
            targets whose leases expired are back within two seconds. */
        std::chrono::milliseconds transferDelay { 2500 };
        /** Interval of the periodic checks. */
        std::chrono::milliseconds sweepInterval { 100 };
        /** A job is refused when its expected wait is longer than this many times its latency objective, because its
            result would be of no use. */
        double refusalFactor { 2 };
        /** Shortest retry delay that a refusal advises. */
        std::chrono::milliseconds minimumRetryAfter { 100 };
    };
    struct Hooks {
        /** A job has ended; its origin is to be told. */
        std::function<void(const ShardJob&)> jobEnded;
        /** A write failed because the shard's key in the store has changed. */
        std::function<void()> keyChanged;
        /** A target or a job record shows that a later holder exists. */
        std::function<void()> displaced;
        /** Returns whether the store has been out of reach for a while; may be empty. */
        std::function<bool()> isStoreLost;
        /** Returns whether the failure domain of the shard is evacuated; an empty hook means that it is not. */
        std::function<bool()> isEvacuated;
        /** Returns whether the evacuation, if there is one, leaves time for starts; an empty hook means that it does.
         */
        std::function<bool()> areStartsAllowed;
        /** Returns the shard that a recent load shows to be able to run a job, or nothing; may be empty. */
        std::function<std::optional<ShardId>(const protocol::PlacedJob&)> chooseShard;
        /** Notifies the holder of another shard that the record of a job names that shard; may be empty. */
        std::function<void(const JobId&, const ShardId& to)> notifyTransfer;
        /** Tells the origin of a best-effort job that it has to submit it to another shard; may be empty. */
        std::function<void(const JobId&, const std::string& origin)> jobReturned;
        /** Logs an event of a job, or of the shard when the job id is empty. */
        std::function<void(const char* event, const JobId&, const std::string& detail)> log;
    };
    /** The host that received a job from its caller. */
    struct Origin {
        std::string address;
        /** When it sent the submission, by the clock of this host. */
        TimePoint sentAt;
    };
    using SubmitReply = std::function<void(SubmitVerdict, std::chrono::milliseconds retryAfter)>;
    using StateReply = std::function<void(bool isKnown, JobState)>;

    ShardDispatcher(
        Settings settings, KeyValueStore& store, TargetCalls& targets, Timers timers, const Clock& clock, Hooks hooks);
    ShardDispatcher(const ShardDispatcher&) = delete;
    ShardDispatcher& operator=(const ShardDispatcher&) = delete;

    /** Starts serving the shard. Loads the job records first, unless the holding continues an earlier one. */
    void begin(const ShardElection::Holding& holding);
    /** Stops sending requests to targets and writing records. Jobs stay in memory for takeHandover(). */
    void end();
    bool isHolding() const { return m_holding.has_value() && m_isLoaded; }
    /** Returns the open best-effort jobs for the next holder and clears the table, so that a second call returns none.
        @pre this host no longer holds the shard */
    protocol::ShardHandover takeHandover();
    /** Adds the best-effort jobs of the previous holder. */
    void handoverReceived(const protocol::ShardHandover& handover);

    void targetListed(const TargetReport& report);
    void targetUnlisted(const TargetId& target) { m_targets.unlisted(target); }
    /** The target is listed in another shard. */
    void targetMoved(const TargetId& target) { m_targets.moved(target); }
    /** The target list has all changes that the store had acknowledged before @p time. */
    void targetListUpdated(TimePoint time);
    /** Updates of the target list were interrupted, so targets may be missing from it. */
    void targetListInterrupted() { m_targets.listInterrupted(); }
    /** The whole target list was read after the previous holder had stopped. Until then, targets may have runs that
       this host cannot see. */
    void targetListRead();

    /** Submits a job that its origin received @p waited ago. @p isResent tells that it was sent before, so this or an
        earlier holder may have started it: its tasks start only when no earlier run can be left. A best-effort job is
        ignored if it was sent so long ago that its caller may have submitted it to another host. */
    void submit(const protocol::PlacedJob& job, std::chrono::milliseconds waited, bool isResent, const Origin& origin,
        SubmitReply reply);
    /** Returns the state of an accepted job, or nothing when there is none with this id in memory. */
    std::optional<JobState> state(const JobId& job) const;
    /** Cancels a job. Calls @p reply when its final state is stored, or at once when the job is unknown or its final
        state is stored already. */
    void cancel(const JobId& job, const StateReply& reply);

    /** The record of a job names this shard, by a transfer. Reads it, and calls @p reply once this holder has the job or
        it has ended; not if the store does not answer. */
    void transferReceived(const JobId& job, const std::function<void()>& reply);
    /** The holder of another shard has a job that was transferred there. */
    void transferAcknowledged(const JobId& job, const ShardId& to) { m_transfers.acknowledged(job, to); }
    /** The failure domain of the shard is evacuated, or is so no longer. */
    void evacuationChanged();

    bool hasOpenJobs() const { return !m_jobs.openJobs().empty(); }
    /** Returns the load that hosts compare when they choose a shard for a job. */
    protocol::ShardLoad load() const;

private:
    void loadRecord(const StoredItem& item);
    JobTransfers::Hooks transferHooks();
    /** Transfers the stored jobs that no target of this shard can run to other shards. */
    void transferJobs();
    /** Returns whether a stored job has to run in another shard, and nothing of it may be active in this one. */
    bool isTransferDue(ShardJob& job);
    void finishLoading();
    void openSessions();
    TargetSession::Hooks sessionHooks();
    TaskRunner::Hooks runnerHooks();

    /** Reopens a cancelled best-effort job. Its tasks start once the runs that are being stopped have ended. */
    void reopen(ShardJob& job);
    void insertCompleted(const JobId& id, RecordWriter::InsertResult result, const StoredItem& existing);
    void finishJob(ShardJob& job, JobState state, const std::string& reason);
    void retainCompletion(ShardJob& job, TargetSession& session, std::uint64_t number);
    void finalStateStored(const JobId& id);
    void submitBestEffort(std::unique_ptr<ShardJob> job, bool isResent, const SubmitReply& reply);
    void acknowledgeCompletions(ShardJob& job, std::uint64_t lastSequence);

    bool isEvacuated() const { return m_hooks.isEvacuated && m_hooks.isEvacuated(); }
    bool areStartsAllowed() const { return !m_hooks.areStartsAllowed || m_hooks.areStartsAllowed(); }
    /** Returns whether an unknown submission was left to another shard because this one is evacuated, or because the
        job was returned before the submission was sent. */
    bool isLeftToOtherShard(
        const protocol::PlacedJob& description, bool isResent, const Origin& origin, const SubmitReply& reply);
    /** Returns the best-effort jobs that have not started to their origins, while the shard is evacuated. */
    void returnWaitingJobs();
    void sweep();
    /** Returns whether a run of an earlier holder may be active that this host has not found. */
    bool mayHaveEarlierRuns() const;
    void updateRecovery();
    void cancelAbandonedJobs();
    void recordRetainedCompletions();
    void recordRunsInDanger();
    void recordLosses(const ShardJob& job);
    /** Adds the runs that the previous holder has handed over for a stored job. */
    void applyHandedOverRuns(ShardJob& job);
    std::string encode(const ShardJob& job) const;
    CurrentRun currentRuns() const;
    void removeExpiredJobs();

    Settings m_settings;
    Timers m_timers;
    const Clock& m_clock;
    Hooks m_hooks;
    RecordWriter m_writer;
    PageReader m_records;
    ShardTargets m_targets;
    JobTable m_jobs;
    TaskRunner m_runner;
    std::optional<ShardElection::Holding> m_holding;
    /** Rises with each load of the records, so that timers of earlier ones are ignored. */
    std::uint64_t m_loadEpoch { 0 };
    bool m_isLoaded { false };
    /** Stored jobs may have runs of an earlier holder. */
    bool m_isRecovering { false };
    TimePoint m_acquiredAt;
    /** When the holding began, until the target list is current as of then. */
    std::optional<TimePoint> m_targetListAwaitedSince;
    std::map<JobId, std::vector<SubmitReply>> m_submitReplies;
    std::uint64_t m_lastCompletionSequence { 0 };
    /** Runs of stored jobs that the previous holder handed over, until the records of the jobs are loaded. */
    std::map<JobId, protocol::JobHandover> m_handedOverRuns;
    TimePoint m_lostAt { distantPast };
    ReturnedJobs m_returned;
    KeyValueStore& m_store;
    JobTransfers m_transfers;
};

}
