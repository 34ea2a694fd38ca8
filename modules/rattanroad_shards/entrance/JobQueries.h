#pragma once

#include "rattanroad_shards/entrance/JobStateCache.h"
#include "rattanroad_shards/entrance/RequestNumber.h"
#include "rattanroad_shards/entrance/ShardLoads.h"
#include "rattanroad_shards/jobs/ShardDispatcher.h"

namespace rattanroad::shards {

/** Queries the state of jobs and cancels jobs through the holder of the job's shard, on this host or another. Reads the
    job record from the store when the shard is not known or the holder does not answer.
*/
class JobQueries {
public:
    struct Settings {
        /** This process. */
        Incarnation incarnation;
        /** Timeout of one request: one store call, two network hops, and the batching delay of records. */
        std::chrono::milliseconds replyTimeout { 300 };
        std::chrono::milliseconds retryPause { 40 };
        /** A cached state that is younger than this is returned without a request to the holder. */
        std::chrono::milliseconds maximumStateAge { 250 };
        JobStateCache::Settings states;
    };
    struct Hooks {
        /** Sends a message; returns false when it was not sent. */
        std::function<bool(const std::string& address, const protocol::Envelope&)> send;
        /** Returns the dispatcher of a shard that this host holds, or null. */
        std::function<ShardDispatcher*(const ShardId&)> localDispatcher;
        /** Returns an envelope from this host without a body. */
        std::function<protocol::Envelope()> envelope;
    };
    enum class QueryResult {
        Known,
        NoSuchJob,
        Unavailable, ///< Neither the holder nor the store answered in time.
    };
    using StateReply = std::function<void(QueryResult, JobState)>;

    JobQueries(Settings settings, KeyValueStore& store, const ShardLoads& loads, Timers timers, const Clock& clock,
        Hooks hooks);
    JobQueries(const JobQueries&) = delete;
    JobQueries& operator=(const JobQueries&) = delete;

    void query(const JobId& job, std::chrono::milliseconds wait, StateReply reply);
    void cancel(const JobId& job, std::chrono::milliseconds wait, StateReply reply);
    /** Answers all callers that wait, and later ones at once unless the state is cached. */
    void answerWaiting();
    /** Handles the reply of a holder; ignores replies to earlier attempts. */
    void handleReply(RequestNumber request, bool isKnown, JobState state);
    /** Caches a state that was learned by other means than a query. */
    void recordState(const JobId& job, const ShardId& shard, JobState state) { m_states.update(job, shard, state); }
    /** Updates the cached state of a job that has ended. */
    void jobEnded(const JobId& job, JobState state);

private:
    struct PendingQuery {
        JobId job;
        TimePoint deadline;
        StateReply reply;
        bool isCancel { false };
        bool wasRecordRead { false };
        std::uint64_t attempt { 0 };
        /** State in the stored record, once that was read. */
        std::optional<JobState> storedState;
    };

    void begin(const JobId& job, std::chrono::milliseconds wait, bool isCancel, StateReply reply);
    void startAttempt(std::uint64_t id);
    /** Answers a caller with what is known when its wait ends. */
    void expire(std::uint64_t id);
    void sendToHolder(std::uint64_t id, const ShardId& shard);
    void callLocalHolder(std::uint64_t id, ShardDispatcher& holder);
    void readRecord(std::uint64_t id);
    void handleRecord(std::uint64_t id, const ReadReply& reply);
    void handleNoAnswer(std::uint64_t id);
    void finish(std::uint64_t id, QueryResult result, JobState state);

    Settings m_settings;
    KeyValueStore& m_store;
    const ShardLoads& m_loads;
    Timers m_timers;
    const Clock& m_clock;
    Hooks m_hooks;
    JobStateCache m_states;
    std::map<std::uint64_t, PendingQuery> m_pending;
    std::uint64_t m_lastId { 0 };
    bool m_isAccepting { true };
};

}
