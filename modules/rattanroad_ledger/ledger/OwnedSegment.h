#pragma once

#include "rattanroad_ledger/ledger/BackupStream.h"
#include "rattanroad_ledger/ledger/LedgerContext.h"
#include "rattanroad_ledger/ledger/PendingDecisions.h"
#include "rattanroad_ledger/ledger/SubmissionTable.h"
#include "rattanroad_ledger/ledger/ViewChangeAttempt.h"

namespace rattanroad {

/** A segment that this host owns or has owned: its own, or one that it took over.

    It permits a start or confirms a seal only after every other member of its view acknowledged the record.
*/
class OwnedSegment {
public:
    enum class State {
        Owning,
        /** Starts nothing any more; hands the segment to its only backup once that holds everything. */
        Releasing,
        Released,
        /** Another host won a view. */
        Superseded,
    };
    using Backups = std::vector<std::pair<HostId, Incarnation>>;

    /** Creates a new segment of this host; nothing starts before all @p backups accepted it. */
    OwnedSegment(LedgerContext& context, SegmentKey key, const Backups& backups);
    /** Continues a segment that this host took over; it is its only member. */
    OwnedSegment(LedgerContext& context, SegmentKey key, SegmentView view, SubmissionTable&& table);

    const SegmentKey& key() const { return m_key; }
    const SegmentView& view() const { return m_view; }
    State state() const { return m_state; }
    TimePoint createdAt() const { return m_createdAt; }
    const SubmissionTable& submissions() const { return m_table; }
    /** Returns the process that has the segment now, when it was superseded or released and the process is known. */
    std::optional<Incarnation> successor() const { return m_successor; }
    /** Returns whether a backup refuses or is not alive under the incarnation that holds the copy. */
    bool hasUnusableBackup() const;
    std::size_t backupCount() const { return m_streams.size(); }

    SubmissionId mint();
    /** Returns whether @p sequence was handed out; always true for a segment that was taken over. */
    bool isMinted(SequenceNumber sequence) const;

    void accept(SequenceNumber sequence, protocol::JobDescription&& job);
    void requestStart(SequenceNumber sequence, TaskIndex task, AttemptNumber attempt, const TargetId& target,
        SubmissionLedger::StartCallback&& callback);
    void recordOutcome(SequenceNumber sequence, TaskIndex task, AttemptNumber attempt, bool isProvablyNotStarted,
        protocol::TaskOutcome&& outcome);
    void seal(SequenceNumber sequence, bool isComplete, std::optional<Failure>&& failure,
        SubmissionLedger::SealCallback&& callback);

    void openReply(const HostId& from, Incarnation fromIncarnation, bool isAccepted);
    void acknowledgement(
        const HostId& from, Incarnation fromIncarnation, const protocol::JournalAcknowledgement& acknowledgement);
    void viewChangeResult(const ViewChangeResult& result);

    /** Starts to hand the segment over. */
    void release();
    /** Returns whether the backup can still take the segment: a graceful shutdown waits for that. */
    bool isHandoverPending() const;
    /** Looks for backups that died, restarted or refuse. @p isCurrent: new ids still come from this segment. */
    void checkBackups(bool isCurrent);
    void flush();
    /** Runs retries and retention. */
    void tick();
    /** Returns whether nothing about the segment needs to be remembered any more. */
    bool isDisposable() const;
    TimePoint nextWakeup() const;

private:
    BackupStream* stream(const HostId& host, Incarnation incarnation);
    bool isUsable(const BackupStream& stream) const;
    bool isStalled(const BackupStream& stream) const;
    /** Returns whether the backup can stay in the view. */
    bool checkBackup(BackupStream& stream);
    void requestSmallerView();
    std::uint64_t append(SequenceNumber sequence, protocol::JournalRecord&& record);
    std::uint64_t committed() const;
    void commit();
    void installView(const SegmentView& view);
    void supersede(const SegmentView& view);

    LedgerContext& m_context;
    SegmentKey m_key;
    SegmentView m_view;
    std::vector<HostId> m_namedBackups;
    State m_state { State::Owning };
    std::optional<Incarnation> m_successor;
    TimePoint m_createdAt;
    bool m_isTakenOver;
    SequenceNumber m_lastMinted;
    SubmissionTable m_table;
    RecordLog m_log;
    std::vector<BackupStream> m_streams;
    PendingDecisions m_pending;
    ViewChangeAttempt m_viewChange;
};

}
