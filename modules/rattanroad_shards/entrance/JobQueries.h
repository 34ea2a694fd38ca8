#pragma once

#include "rattanroad_shards/entrance/JobStateCache.h"
#include "rattanroad_shards/entrance/RequestNumber.h"
#include "rattanroad_shards/entrance/ShardLoads.h"
#include "rattanroad_shards/jobs/ShardDispatcher.h"

namespace rattanroad::shards {

/** Answers questions about jobs and cancels them: asks the holder of the job's shard, here or on another host, and
   reads the record in the store to learn the shard, or when the holder does not answer.
*/
class JobQueries {
public:
    struct Settings {
        /** Limit of one message and its reply: a store answer, two links, and the batching of records. */
        std::chrono::milliseconds replyTimeout { 300 };
        std::chrono::milliseconds retryPause { 40 };
        /** A state that was seen this recently is given without asking again. */
        std::chrono::milliseconds stateLimit { 250 };
        JobStateCache::Settings states;
    };
    struct Hooks {
        std::function<void(const std::string& address, const protocol::Envelope&)> send;
        /** Returns the dispatcher of a shard on this host, or null. */
        std::function<ShardDispatcher*(const ShardId&)> local;
        /** Returns a message of this host without a body. */
        std::function<protocol::Envelope()> envelope;
    };
    enum class QueryResult {
        Known,
        NoSuchJob,
        Unavailable, ///< Neither a holder nor the store could be asked in time.
    };
    using StateReply = std::function<void(QueryResult, JobState)>;

    JobQueries(Settings settings, KeyValueStore& store, const ShardLoads& loads, Timers timers, const Clock& clock,
        Hooks hooks);
    JobQueries(const JobQueries&) = delete;
    JobQueries& operator=(const JobQueries&) = delete;

    void query(const JobId& job, std::chrono::milliseconds wait, StateReply reply);
    void cancel(const JobId& job, std::chrono::milliseconds wait, StateReply reply);
    /** Takes the answer of a holder. */
    void answered(RequestNumber request, bool isKnown, JobState state);
    /** Takes a state that was learned without a question. */
    void note(const JobId& job, const ShardId& shard, JobState state) { m_states.note(job, shard, state); }
    /** Takes the end of a job that may have been asked about. */
    void jobEnded(const JobId& job, JobState state);

private:
    struct Question {
        JobId job;
        TimePoint deadline;
        StateReply reply;
        bool isCancel { false };
        bool wasRead { false };
        std::uint64_t attempt { 0 };
        /** State of the stored record, when it was read. */
        std::optional<JobState> storedState;
    };

    void begin(const JobId& job, std::chrono::milliseconds wait, bool isCancel, StateReply reply);
    void ask(std::uint64_t id);
    void askHolder(std::uint64_t id, const ShardId& shard);
    void askLocal(std::uint64_t id, ShardDispatcher& holder);
    void readRecord(std::uint64_t id);
    void takeRecord(std::uint64_t id, const ReadReply& reply);
    void holderSilent(std::uint64_t id);
    void finish(std::uint64_t id, QueryResult knowledge, JobState state);

    Settings m_settings;
    KeyValueStore& m_store;
    const ShardLoads& m_loads;
    Timers m_timers;
    const Clock& m_clock;
    Hooks m_hooks;
    JobStateCache m_states;
    std::map<std::uint64_t, Question> m_questions;
    std::uint64_t m_lastQuestion { 0 };
};

}
