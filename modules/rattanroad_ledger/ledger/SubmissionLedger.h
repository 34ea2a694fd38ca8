#pragma once

#include "rattanroad_core/failure/Result.h"
#include "rattanroad_core/identifiers/SubmissionId.h"
#include "rattanroad_core/random/RandomSource.h"
#include "rattanroad_core/time/Clock.h"
#include "rattanroad_protocol/rattanroad_protocol.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace rattanroad {

/** View of a segment: who owns it and who must acknowledge each start. */
struct SegmentView {
    Epoch epoch;
    HostId owner;
    std::vector<HostId> members;
};

/** Request to replace the view of a segment in the store by compare-and-swap: the write succeeds only if the stored
   view is still at @p expectedEpoch (0: no record exists).
*/
struct ViewChange {
    SegmentKey segment;
    Epoch expectedEpoch;
    SegmentView next;
};

/** Answer of the store to a ViewChange. */
struct ViewChangeResult {
    enum class Kind {
        Won, ///< The record now holds the requested view.
        Lost, ///< Another view is in force; it is in @p current.
        Unavailable, ///< The store did not answer; the ledger asks again later.
    };
    SegmentKey segment;
    Kind kind { Kind::Unavailable };
    SegmentView current;
};

/** Where the decision about a submission lies, as far as this host knows. */
struct Standing {
    enum class Kind {
        New, ///< This host owns the segment and nothing of the submission has been accepted.
        Active, ///< This host owns the segment and the submission is in progress.
        Sealed, ///< The submission has ended; see @p sealed.
        Expired, ///< Older than the retention time; the outcome is no longer known.
        Elsewhere, ///< Another host decides: forward to @p host.
        Pending, ///< A takeover is under way here; ask again after the ledger's next change.
        Undecided, ///< Nobody reachable can decide; see @p reason.
    };
    Kind kind { Kind::Undecided };
    HostId host;
    Failure reason;
};

/** State of one task as recovered from the journal. */
struct RecoveredTask {
    enum class State {
        NotStarted,
        StartedOutcomeUnknown,
        Ended,
    };
    State state { State::NotStarted };
    AttemptNumber attempts;
    protocol::TaskOutcome outcome;
};

/** A submission that this host took over with its segment. */
struct RecoveredSubmission {
    SubmissionId id;
    protocol::JobDescription job;
    std::vector<RecoveredTask> tasks;
    bool isSealed { false };
    protocol::SealRecord seal;
    /** When the journal record arrived here; the job's deadline counts from it. */
    TimePoint acceptedAt;
};

/** Owner and backup side of the journal that makes submissions idempotent.

    As owner it mints submission ids, opens segments, replicates records to the backups in batches and releases each
   start once all other members of the view have acknowledged its record. As backup it stores the records of other
   owners, fences an owner that it takes over from, and hands the recovered submissions to the engine. Views change only
   through the store. Not thread safe: one loop calls everything.
    @see docs/design.md, "Where the authoritative state of a submission is kept"
*/
class SubmissionLedger {
public:
    struct Settings {
        HostId self;
        FailureDomainId failureDomain;
        Incarnation incarnation;
        /** Backups of each new segment; fewer when fewer peers are alive. */
        std::size_t backupCount { 1 };
        Duration segmentLifetime { std::chrono::seconds(60) };
        Duration retention { std::chrono::minutes(10) };
        Duration viewChangeRetryInterval { std::chrono::milliseconds(500) };
        /** An append without acknowledgement is sent again after this time. */
        Duration appendRetryInterval { std::chrono::milliseconds(100) };
    };

    struct Hooks {
        std::function<void(const HostId&, protocol::Envelope&&)> sendToPeer;
        std::function<void(const ViewChange&)> changeView;
        /** The segment is owned here now; called once per recovered submission, sealed ones included. */
        std::function<void(RecoveredSubmission&&)> recovered;
        /** The segment is owned elsewhere now; all submissions of it that are active here must be abandoned. */
        std::function<void(const SegmentKey&, const SegmentView&)> superseded;
        /** A pending decision about a segment may have changed; waiting requests look at standing() again. */
        std::function<void(const SegmentKey&)> standingChanged;
    };

    /** How a requested start ended. */
    enum class StartVerdict {
        Permitted, ///< All members hold the record: the task may start now, once.
        Refused, ///< This host no longer owns the segment: the task must not start.
    };
    using StartCallback = std::function<void(StartVerdict)>;
    /** True when all members hold the seal or this host won the view; false when ownership was lost first. */
    using SealCallback = std::function<void(bool)>;

    SubmissionLedger(Settings settings, Clock& clock, RandomSource& random, Hooks hooks);
    ~SubmissionLedger();
    SubmissionLedger(const SubmissionLedger&) = delete;
    SubmissionLedger& operator=(const SubmissionLedger&) = delete;

    /** Sets the live peers that can hold journals, best first, with their incarnations. Peers that vanish from the list
        count as dead: as backups they are dropped by a view change, as owners their segments are taken over.
    */
    void setLivePeers(const std::vector<std::pair<HostId, Incarnation>>& ranked);

    /** Mints @p count fresh ids in the current segment; opens one when needed. */
    std::vector<SubmissionId> mintIds(std::size_t count);

    Standing standing(const SubmissionId& id) const;

    /** Records an accepted job. @pre standing(id).kind == Standing::Kind::New */
    void accept(const SubmissionId& id, protocol::JobDescription job);
    /** Asks for permission to start a task; @p callback is called once, possibly before this returns when the segment
       has no backups.
    */
    void requestStart(
        const SubmissionId& id, TaskIndex task, AttemptNumber attempt, const TargetId& target, StartCallback callback);
    /** Records how an attempt ended; replicated without waiting. */
    void recordOutcome(const SubmissionId& id, TaskIndex task, AttemptNumber attempt, bool isProvablyNotStarted,
        protocol::TaskOutcome outcome);
    /** Records the end of a submission. @p callback may be empty. A submission that was not accepted is sealed without
        waiting for the backups, and the callback is called at once.
    */
    void seal(const SubmissionId& id, bool isComplete, std::optional<Failure> failure, SealCallback callback);

    /** Handles SegmentOpen, SegmentOpenReply, JournalAppend and JournalAcknowledgement. */
    void peerMessage(const HostId& from, Incarnation fromIncarnation, const protocol::Envelope& envelope);
    void viewChangeResult(const ViewChangeResult& result);

    /** Hands all own segments over to their backups without a store access; no start is permitted afterwards.
        @pre no submission is active
    */
    void releaseAll();

    /** Sends the batches that have collected since the last call; called once per loop turn. */
    void flush();
    /** Runs retries, segment rotation and retention. */
    void tick();
    /** Returns when tick() is needed next. */
    TimePoint nextWakeup() const;

    /** Counters and sizes for metrics and status. */
    struct Statistics {
        /** Includes the segments that releaseAll() still hands over: a drain is finished when this is 0. */
        std::size_t segmentsOwned { 0 };
        std::size_t segmentsHeldAsBackup { 0 };
        std::size_t submissionsRetained { 0 };
        std::uint64_t takeovers { 0 };
        std::uint64_t viewChangesLost { 0 };
        std::uint64_t startsRefused { 0 };
        std::uint64_t recordsAppended { 0 };
    };
    Statistics statistics() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
