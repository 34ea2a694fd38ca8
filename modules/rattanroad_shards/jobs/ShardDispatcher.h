#pragma once

#include "rattanroad_shards/evacuation/JobTransfers.h"
#include "rattanroad_shards/evacuation/ReturnedJobs.h"
#include "rattanroad_shards/holding/ShardElection.h"
#include "rattanroad_shards/jobs/CompletionRetention.h"
#include "rattanroad_shards/jobs/ShardHandovers.h"
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
        CompletionRetention::Settings completions;
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
        /** Largest error of the time at which a caller sent its request, as its submission tells it here: a submission
            without the clock of its receiver counts from its arrival. */
        std::chrono::milliseconds requestTimeTolerance { 400 };
        /** Shortest retry delay that a refusal advises. */
        std::chrono::milliseconds minimumRetryAfter { 100 };
    };
    struct Hooks {
        /** A job has ended, and its record holds the end; its origin is to be told. */
        std::function<void(const ShardJob&)> jobEnded;
        /** A best-effort job was given up because its caller cannot be answered in time; its origin is to be told. May
            be empty. */
        std::function<void(const ShardJob&, std::chrono::milliseconds retryAfter)> jobGivenUp;
        /** A write failed because the shard's key in the store has changed. */
        std::function<void()> keyChanged;
        /** A target or a job record shows that a later holder exists. */
        std::function<void()> displaced;
        /** A target has restarted and may carry out calls late that its earlier incarnation was sent; may be empty. */
        std::function<void()> tokenRaiseNeeded;
        /** Returns whether the store has been out of reach for a while; may be empty. */
        std::function<bool()> isStoreLost;
        /** Returns whether the failure domain of the shard is evacuated; an empty hook means that it is not. */
        std::function<bool()> isEvacuated;
        /** Returns whether the evacuation, if there is one, leaves time for starts; an empty hook means that it does.
         */
        std::function<bool()> areStartsAllowed;
        /** Returns another shard that a recent load shows to be able to run a job, or nothing; may be empty. */
        std::function<std::optional<ShardId>(const protocol::PlacedJob&)> chooseShard;
        /** A job is being transferred to another shard, whose load does not contain it yet; may be empty. */
        std::function<void(const protocol::PlacedJob&, const ShardId& to)> jobAssigned;
        /** Notifies the holder of another shard that the record of a job names that shard; may be empty. */
        std::function<void(const JobId&, const ShardId& to)> notifyTransfer;
        /** Tells the origin of a best-effort job that it has to submit it to another shard; may be empty. */
        std::function<void(const JobId&, const std::string& origin)> jobSentElsewhere;
        /** Logs an event of a job, or of the shard when the job id is empty. */
        std::function<void(const char* event, const JobId&, const std::string& detail)> log;
    };
    /** The host that received a job from its caller. */
    struct Origin {
        std::string address;
        /** When it sent the submission, by the clock of this host. */
        TimePoint sentAt;
        /** How long the caller waits for its response, from its request; 0 when unknown. */
        std::chrono::milliseconds callerWait { 0 };
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
    /** Uses a higher token of the same holding from now on. */
    void raiseToken(FencingToken token);
    bool isHolding() const { return m_holding.has_value() && m_isLoaded; }
    /** Returns the open best-effort jobs, the runs of stored jobs and the ends that could not be stored for the next
        holder and clears the table, so that a second call returns none. @pre this host no longer holds the shard */
    protocol::ShardHandover takeHandover();
    /** Returns the ends of stored jobs that could not be stored, and removes these jobs from the table. Unlike the
       other jobs they are handed over at any time: what has ended stays so. @pre this host no longer holds the shard */
    protocol::ShardHandover takeUnstoredEnds() { return m_handovers.takeUnstoredEnds(); }
    /** Returns the generation of the latest holding that has ended. */
    Generation lostGeneration() const { return m_lostGeneration; }
    /** Adds the best-effort jobs of the previous holder, and the ends of stored jobs that it could not store. */
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
    /** Returns the state of an accepted job that callers are shown, or nothing when there is none with this id in
        memory. */
    std::optional<JobState> state(const JobId& job) const;
    /** Returns the same, but nothing for a job that was cancelled and cannot have a run any more. */
    std::optional<JobState> stateUnlessStopped(const JobId& job) const;
    /** Cancels a job. Calls @p reply when its end is shown, or at once when the job is unknown or its end is shown
        already. */
    void cancel(const JobId& job, const StateReply& reply);

    /** The record of a job names this shard, by a transfer. Reads it, and calls @p reply once this holder has the job
       or it has ended; not if the store does not answer. */
    void transferReceived(const JobId& job, const std::function<void()>& reply);
    /** The holder of another shard has a job that was transferred there. */
    void transferAcknowledged(const JobId& job, const ShardId& to) { m_transfers.acknowledged(job, to); }
    /** The failure domain of the shard is evacuated, or is so no longer. */
    void evacuationChanged();

    /** Returns whether a job has not ended, or its end is not stored yet. */
    bool hasOpenJobs() const { return !m_jobs.openJobs().empty() || !m_jobs.jobsWithUnstoredEnds().empty(); }
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
    void submitBestEffort(std::unique_ptr<ShardJob> job, bool isResent, const SubmitReply& reply);

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
    void giveUpHopelessJobs();
    void returnToOrigin(const ShardJob& job);
    /** Applies a repeated submission to a job in memory and answers it. */
    void submitAgain(ShardJob& job, std::chrono::milliseconds waited, const Origin& origin, SubmitReply reply);
    void recordRunsInDanger();
    void recordLosses(const ShardJob& job);
    /** Adds the runs or the end that an earlier holder has handed over for a stored job. */
    void applyHandedOverState(ShardJob& job);
    std::string encode(const ShardJob& job) const;
    CurrentRun currentRuns() const;

    Settings m_settings;
    Timers m_timers;
    const Clock& m_clock;
    Hooks m_hooks;
    RecordWriter m_writer;
    PageReader m_records;
    ShardTargets m_targets;
    JobTable m_jobs;
    TaskRunner m_runner;
    CompletionRetention m_completions;
    ShardHandovers m_handovers;
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
    TimePoint m_lostAt { distantPast };
    ReturnedJobs m_returned;
    /** Generation of the latest holding that has ended. */
    Generation m_lostGeneration;
    KeyValueStore& m_store;
    JobTransfers m_transfers;
};

}
