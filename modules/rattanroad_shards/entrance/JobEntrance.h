#pragma once

#include "rattanroad_shards/entrance/HolderRequests.h"
#include "rattanroad_shards/entrance/JobQueries.h"

#include <set>

namespace rattanroad::shards {

/** Result of a submission, as reported to the caller. */
enum class EntranceVerdict {
    Accepted, ///< The job is stored.
    Done, ///< The best-effort job has succeeded.
    Failed, ///< The best-effort job has failed.
    Refused, ///< The job was not accepted and never runs.
    Unknown, ///< The job may have been accepted; the caller should query or submit it again.
};

/** Receives the requests of callers on an entry host and forwards each job to the holder of a shard, on this host or
    another. Also answers the requests of other hosts for the shards that this host holds.
*/
class JobEntrance {
public:
    struct Settings {
        Incarnation incarnation;
        /** Address of this host, to which other hosts send replies. */
        std::string address;
        ShardLoads::Settings loads;
        JobQueries::Settings queries;
        JobHomes::Settings homes;
        /** Timeout of one request: one store call, two network hops, and the batching delay of records. */
        std::chrono::milliseconds replyTimeout { 300 };
        std::chrono::milliseconds retryPause { 40 };
        /** A repetition that is later than this was delayed by a pause of the process, during which the caller may have
            left. It waits once more for the same time, until what has arrived meanwhile was read. */
        std::chrono::milliseconds lateRepetition { 100 };
        /** Pause after SubmitVerdict::NotReconciled. A new holder needs at least some tenths of a second until no run
            of an earlier holder can be left. */
        std::chrono::milliseconds notReconciledPause { 150 };
        /** Wait of a caller that does not specify one. */
        std::chrono::milliseconds defaultWait { 1500 };
        /** Retry-after value sent to callers while no shard is available. */
        std::chrono::milliseconds unavailableRetry { 500 };
        /** Share of its latency objective that a job waits while no shard is available. A failed holder is replaced
            within tenths of a second, so waiting usually succeeds. */
        double waitShare { 0.5 };
    };
    struct Hooks {
        /** Sends a message; returns false when it was not sent. */
        std::function<bool(const std::string& address, const protocol::Envelope&)> send;
        /** Returns the dispatcher of a shard that this host holds, or null. */
        std::function<ShardDispatcher*(const ShardId&)> localDispatcher;
        std::function<void(const char* event, const JobId&, const std::string& detail)> log;
    };
    using SubmitReply = std::function<void(EntranceVerdict, std::chrono::milliseconds retryAfter)>;
    using QueryResult = JobQueries::QueryResult;
    using StateReply = JobQueries::StateReply;

    JobEntrance(Settings settings, KeyValueStore& store, const FleetView& fleet, Timers timers, const Clock& clock,
        Hooks hooks);
    JobEntrance(const JobEntrance&) = delete;
    JobEntrance& operator=(const JobEntrance&) = delete;

    /** Submits a job and calls @p reply once with the result. Returns the id of the submission for abandon(). */
    std::uint64_t submit(const protocol::PlacedJob& job, std::chrono::milliseconds wait, SubmitReply reply);
    /** Makes submit() refuse all further jobs. */
    void stopAccepting() { m_isAccepting = false; }
    /** Answers all callers that wait, before this host ends: with EntranceVerdict::Refused only if no holder may have
       the job. Other best-effort jobs are cancelled. */
    void answerWaiting();
    /** Ends a submission whose caller has disconnected; cancels the job if it is best-effort. */
    void abandon(std::uint64_t submission);
    void query(const JobId& job, std::chrono::milliseconds wait, StateReply reply);
    void cancel(const JobId& job, std::chrono::milliseconds wait, StateReply reply);
    /** Returns the number of accepted jobs of a queue that have not started any task. */
    std::uint32_t waitingJobs(const QueueId& queue) const { return m_loads.waitingJobs(queue); }
    /** Returns whether at least one shard can accept jobs. */
    bool canServe() const { return m_loads.canServe(); }

    /** Handles a message from another host. */
    void received(const protocol::Envelope& envelope);
    /** Updates the load of a shard that this host or another holds. */
    void loadReceived(const protocol::ShardLoad& load);
    const ShardLoads& loads() const { return m_loads; }
    /** A job that this host transfers arrives at a shard after @p delay; new jobs are sent elsewhere accordingly. */
    void jobAssigned(const ShardId& shard, const protocol::PlacedJob& job, Duration delay)
    {
        m_loads.addAssignedJob(shard, job, delay);
    }
    JobHomes& homes() { return m_requests.homes(); }
    /** Tells whether the failure domain of a shard is evacuated. */
    void setEvacuated(const ShardId& shard, bool isEvacuated) { m_loads.setEvacuated(shard, isEvacuated); }
    /** Answers the callers that wait for a job that has ended. */
    void jobEnded(const JobId& job, JobState state);
    /** The host at address @p holder no longer has a best-effort job: answers the callers that wait for it, or submits
       it to another shard. */
    void jobReturned(const std::string& holder, const protocol::ShardJobReturned& returned);

private:
    struct Submission {
        protocol::PlacedJob job;
        TimePoint startedAt;
        TimePoint deadline;
        SubmitReply reply;
        ShardId shard;
        /** The holder of the shard has accepted the best-effort job. */
        bool isShardCertain { false };
        /** Home through which the best-effort job was last submitted. */
        ShardId home;
        std::uint64_t attempt { 0 };
        /** Attempts without a definite negative reply, after any of which the job may have been accepted. */
        std::uint32_t unresolvedAttempts { 0 };
        /** Requests that no holder has answered. */
        std::set<std::uint64_t> unansweredRequests;
        /** Hosts that have accepted the best-effort job as holder. */
        std::set<std::string> acceptedBy;
        /** Shards that have returned the job. */
        std::set<ShardId> returnedFrom;
        /** Replies to attempts before this one are ignored, because a shard has returned the job since. */
        std::uint64_t firstValidAttempt { 0 };
    };
    /** Ends a submission with EntranceVerdict::Unknown and cancels the job at its holder if it is best-effort. */
    void abandon(std::uint64_t id, const char* reason);
    void trySubmit(std::uint64_t id);
    /** Returns the shard through whose holder a best-effort job is to be submitted, or nothing when none can be reached
        or the job can be sent to its shard directly. */
    std::optional<ShardId> homeFor(const Submission& submission) const;
    /** Sends a submission to a holder: that of its shard, or that of @p home if there is one. */
    void sendTo(std::uint64_t id, const std::optional<ShardId>& home);
    /** Retries later while no shard is available, or refuses the job once the wait limit is reached. */
    void waitForShard(std::uint64_t id);
    /** Ends a submission whose deadline has passed. */
    void expire(std::uint64_t id);
    void startReplyTimeout(std::uint64_t id);
    /** Tries again after a reply timeout that ended at @p due. */
    void repeat(std::uint64_t id, std::uint64_t attempt, TimePoint due);
    std::chrono::milliseconds effectiveWait(std::chrono::milliseconds requested) const;
    std::optional<ShardId> shardFor(const Submission& submission) const;
    /** Returns whether a job has to stay in its shard: runs of one task of a best-effort job in two shards could
        overlap. */
    static bool isBound(const Submission& submission);
    /** Returns whether a shard has returned the job since this request was sent. */
    static bool isOutdated(const Submission& submission, RequestNumber request);
    void handleSubmitReply(const std::string& holder, const protocol::ShardSubmitReply& reply);
    void handleVerdict(
        RequestNumber request, SubmitVerdict verdict, std::chrono::milliseconds retryAfter, const ShardId& shard);
    void finishSubmission(std::uint64_t id, EntranceVerdict verdict, std::chrono::milliseconds retryAfter);
    void handleJobReply(const protocol::ShardJobReply& reply);
    /** Submits a best-effort job that a shard has returned without having started it to another shard. */
    void submitElsewhere(const JobId& job, const ShardId& shard);
    JobQueries::Settings querySettings() const;
    JobQueries::Hooks queryHooks();
    HolderRequests::Settings requestSettings() const;
    HolderRequests::Hooks requestHooks();
    /** Sends a message to this or another host. Returns false when it was not sent. */
    bool send(const std::string& address, const protocol::Envelope& message);
    protocol::Envelope envelope() const;

    Settings m_settings;
    Timers m_timers;
    const Clock& m_clock;
    Hooks m_hooks;
    ShardLoads m_loads;
    JobQueries m_queries;
    HolderRequests m_requests;
    std::map<std::uint64_t, Submission> m_submissions;
    /** Open submissions of best-effort jobs, by job. */
    std::multimap<JobId, std::uint64_t> m_bestEffortSubmissions;
    std::uint64_t m_lastSubmission;
    bool m_isAccepting { true };
};

}
