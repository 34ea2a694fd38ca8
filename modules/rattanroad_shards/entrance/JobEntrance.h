#pragma once

#include "rattanroad_shards/holding/FleetView.h"
#include "rattanroad_shards/jobs/ShardDispatcher.h"
#include "rattanroad_shards/store/KeyValueStore.h"

#include <map>
#include <optional>

namespace rattanroad::shards {

/** What a caller is told about a submission. */
enum class EntranceVerdict {
    Accepted, ///< The job is stored.
    Done, ///< The best-effort job has ended as done.
    Failed, ///< The best-effort job has ended as failed.
    Refused, ///< The job never runs.
    Unknown, ///< The job may have been stored; the caller should ask again.
};

/** Takes the requests of callers on any host, hands them to the holder of a shard, here or on another host, and
    answers questions about jobs from the holder or, when there is none, from the store.
*/
class JobEntrance {
public:
    struct Settings {
        HostId self;
        Incarnation incarnation;
        FailureDomainId failureDomain;
        /** Own address for replies. */
        std::string address;
        /** Shards by failure domain of their targets. */
        std::vector<ShardId> shards;
        /** Limit of one message and its reply: a store answer, two links, and the batching of records. */
        std::chrono::milliseconds replyTimeout { 300 };
        std::chrono::milliseconds retryPause { 40 };
        /** A new holder needs tenths of a second at least until no earlier run can be left. */
        std::chrono::milliseconds unsettledPause { 150 };
        /** Loads are sent ten times a second; a holder that is silent for longer may be gone. */
        std::chrono::milliseconds loadLimit { 450 };
        /** A state that was seen this recently is given without asking again. */
        std::chrono::milliseconds stateLimit { 250 };
        /** Callers wait this long when they do not say. */
        std::chrono::milliseconds defaultWait { 1500 };
        /** Advised wait when no shard can take jobs. */
        std::chrono::milliseconds unavailableRetry { 500 };
        /** Without a shard, a job waits for one for this share of the time to its objective: a holder is replaced
           within tenths of a second. */
        double waitShare { 0.5 };
        /** Cost of another failure domain, as a wait. */
        std::chrono::milliseconds remoteCost { 10 };
        /** Cost of a shard without the rack that holds the data: about the run time of a short task. */
        std::chrono::milliseconds dataCost { 60 };
        /** Cost of a shard all of whose room is taken, as a wait. */
        std::chrono::milliseconds fullCost { 60 };
        /** States of jobs that are kept in memory. */
        std::size_t maximumStates { 20000 };
        /** Shards of best-effort jobs are remembered for this long, several times the longest wait of a caller. */
        std::chrono::seconds placeLimit { 30 };
    };
    struct Hooks {
        std::function<void(const std::string& address, const protocol::Envelope&)> send;
        /** Returns the dispatcher of a shard on this host, or null. */
        std::function<ShardDispatcher*(const ShardId&)> local;
        std::function<void(const char* event, const JobId&, const std::string& detail)> log;
    };
    using SubmitReply = std::function<void(EntranceVerdict, std::chrono::milliseconds retryAfter)>;
    enum class Knowledge {
        Known,
        NoSuchJob,
        Unavailable, ///< Neither a holder nor the store could be asked in time.
    };
    using StateReply = std::function<void(Knowledge, JobState)>;

    JobEntrance(Settings settings, KeyValueStore& store, const FleetView& fleet, Timers timers, const Clock& clock,
        Hooks hooks);
    JobEntrance(const JobEntrance&) = delete;
    JobEntrance& operator=(const JobEntrance&) = delete;

    /** Hands a job in. Returns a number for abandon(). */
    std::uint64_t submit(const protocol::PlacedJob& job, std::chrono::milliseconds wait, SubmitReply reply);
    /** Refuses all jobs from now on. */
    void stopTaking() { m_isTaking = false; }
    /** The caller has gone. A best-effort job is then stopped. */
    void abandon(std::uint64_t submission);
    void query(const JobId& job, std::chrono::milliseconds wait, StateReply reply);
    void cancel(const JobId& job, std::chrono::milliseconds wait, StateReply reply);
    /** Returns the number of accepted jobs of a queue of which no task has started. */
    std::uint32_t waitingJobs(const QueueId& queue) const;
    /** Returns whether some shard can take jobs. */
    bool canServe() const;

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
    struct SeenState {
        ShardId shard;
        JobState state { JobState::Queued };
        TimePoint seenAt;
    };
    struct Place {
        ShardId shard;
        TimePoint seenAt;
    };
    struct SeenLoad {
        protocol::ShardLoad load;
        TimePoint seenAt;
        /** Room that was handed out since, in millicores. */
        std::uint64_t handedOut { 0 };
    };

    void trySubmit(std::uint64_t id);
    std::optional<ShardId> chooseShard(const protocol::PlacedJob& job) const;
    std::optional<ShardId> shardFor(const Submission& submission) const;
    /** Returns the address of a shard's holder, or null. */
    const std::string* holderAddress(const ShardId& shard) const;
    void place(const JobId& job, const ShardId& shard);
    void takeVerdict(
        std::uint64_t id, std::uint64_t attempt, SubmitVerdict verdict, std::chrono::milliseconds retryAfter);
    void finishSubmission(std::uint64_t id, EntranceVerdict verdict, std::chrono::milliseconds retryAfter);
    void ask(std::uint64_t id);
    void askHolder(std::uint64_t id, const ShardId& shard);
    void readRecord(std::uint64_t id);
    void takeAnswer(std::uint64_t id, std::uint64_t attempt, bool isKnown, JobState state);
    void questionSilent(std::uint64_t id, std::uint64_t attempt);
    void finishQuestion(std::uint64_t id, Knowledge knowledge, JobState state);
    void remember(const JobId& job, const ShardId& shard, JobState state);
    void answerSubmit(const protocol::Envelope& envelope);
    void answerQuestion(const protocol::Envelope& envelope);
    protocol::Envelope envelope() const;

    Settings m_settings;
    KeyValueStore& m_store;
    const FleetView& m_fleet;
    Timers m_timers;
    const Clock& m_clock;
    Hooks m_hooks;
    std::map<std::uint64_t, Submission> m_submissions;
    std::map<std::uint64_t, Question> m_questions;
    std::map<JobId, SeenState> m_states;
    std::vector<JobId> m_stateOrder;
    std::size_t m_oldestState { 0 };
    std::map<ShardId, SeenLoad> m_loads;
    /** Shards of best-effort jobs, which stay where they were first sent to. */
    std::map<JobId, Place> m_places;
    std::vector<std::pair<TimePoint, JobId>> m_placeOrder;
    std::multimap<JobId, std::uint64_t> m_awaited;
    std::uint64_t m_lastRequest { 0 };
    bool m_isTaking { true };
};

}
