#pragma once

#include "rattanroad_shards/entrance/JobQueries.h"
#include "rattanroad_shards/entrance/JobShardMap.h"

namespace rattanroad::shards {

/** What a caller is told about a submission. */
enum class EntranceVerdict {
    Accepted, ///< The job is stored.
    Done, ///< The best-effort job has ended as done.
    Failed, ///< The best-effort job has ended as failed.
    Refused, ///< The job never runs.
    Unknown, ///< The job may have been stored; the caller should ask again.
};

/** Takes the requests of callers on any host and hands jobs to the holder of a shard, here or on another host. Also
    answers the messages of the entrances of other hosts about the shards that this host holds.
*/
class JobEntrance {
public:
    struct Settings {
        Incarnation incarnation;
        /** Own address for replies. */
        std::string address;
        ShardLoads::Settings loads;
        JobQueries::Settings questions;
        JobShardMap::Settings places;
        /** Limit of one message and its reply: a store answer, two links, and the batching of records. */
        std::chrono::milliseconds replyTimeout { 300 };
        std::chrono::milliseconds retryPause { 40 };
        /** A new holder needs tenths of a second at least until no earlier run can be left. */
        std::chrono::milliseconds unsettledPause { 150 };
        /** Callers wait this long when they do not say. */
        std::chrono::milliseconds defaultWait { 1500 };
        /** Advised wait when no shard can take jobs. */
        std::chrono::milliseconds unavailableRetry { 500 };
        /** Without a shard, a job waits for one for this share of the time to its objective: a holder is replaced
           within tenths of a second. */
        double waitShare { 0.5 };
    };
    struct Hooks {
        std::function<void(const std::string& address, const protocol::Envelope&)> send;
        /** Returns the dispatcher of a shard on this host, or null. */
        std::function<ShardDispatcher*(const ShardId&)> local;
        std::function<void(const char* event, const JobId&, const std::string& detail)> log;
    };
    using SubmitReply = std::function<void(EntranceVerdict, std::chrono::milliseconds retryAfter)>;
    using QueryResult = JobQueries::QueryResult;
    using StateReply = JobQueries::StateReply;

    JobEntrance(Settings settings, KeyValueStore& store, const FleetView& fleet, Timers timers, const Clock& clock,
        Hooks hooks);
    JobEntrance(const JobEntrance&) = delete;
    JobEntrance& operator=(const JobEntrance&) = delete;

    /** Hands a job in. Returns a number for abandon(). */
    std::uint64_t submit(const protocol::PlacedJob& job, std::chrono::milliseconds wait, SubmitReply reply);
    /** Refuses all jobs from now on. */
    void stopAccepting() { m_isTaking = false; }
    /** The caller has gone. A best-effort job is then stopped. */
    void abandon(std::uint64_t submission);
    void query(const JobId& job, std::chrono::milliseconds wait, StateReply reply);
    void cancel(const JobId& job, std::chrono::milliseconds wait, StateReply reply);
    /** Returns the number of accepted jobs of a queue of which no task has started. */
    std::uint32_t waitingJobs(const QueueId& queue) const { return m_loads.waitingJobs(queue); }
    /** Returns whether some shard can take jobs. */
    bool canServe() const { return m_loads.canServe(); }

    /** Takes a message of another host. */
    void received(const protocol::Envelope& envelope);
    /** Takes the load of a shard, of this host or another. */
    void loadReceived(const protocol::ShardLoad& load);
    /** A job that this host took in has ended. */
    void jobEnded(const JobId& job, JobState state);

private:
    struct Submission {
        protocol::PlacedJob job;
        TimePoint startedAt;
        TimePoint deadline;
        SubmitReply reply;
        ShardId shard;
        std::uint64_t attempt { 0 };
        /** Messages after which the job may be stored. */
        std::uint32_t unresolved { 0 };
    };
    void trySubmit(std::uint64_t id);
    /** Sends a submission to the holder of a shard. */
    void sendTo(std::uint64_t id, const ShardId& shard, const std::string* address);
    /** No shard can take the job now: waits, or refuses it. */
    void waitForShard(std::uint64_t id);
    /** The time of the caller is over. */
    void expire(std::uint64_t id);
    void watchReply(std::uint64_t id);
    std::chrono::milliseconds waitOf(std::chrono::milliseconds asked) const;
    std::optional<ShardId> shardFor(const Submission& submission) const;
    void takeVerdict(RequestNumber request, SubmitVerdict verdict, std::chrono::milliseconds retryAfter);
    void finishSubmission(std::uint64_t id, EntranceVerdict verdict, std::chrono::milliseconds retryAfter);
    void answerSubmit(const protocol::Envelope& envelope);
    void answerQuestion(const protocol::Envelope& envelope);
    void takeJobReply(const protocol::ShardJobReply& reply);
    JobQueries::Hooks questionHooks();
    protocol::Envelope envelope() const;

    Settings m_settings;
    Timers m_timers;
    const Clock& m_clock;
    Hooks m_hooks;
    ShardLoads m_loads;
    JobQueries m_questions;
    JobShardMap m_places;
    std::map<std::uint64_t, Submission> m_submissions;
    /** Submissions of best-effort jobs, by job. */
    std::multimap<JobId, std::uint64_t> m_awaited;
    std::uint64_t m_lastSubmission { 0 };
    bool m_isTaking { true };
};

}
