#pragma once

#include "rattanroad_ledger/ledger/JournalReplica.h"
#include "rattanroad_ledger/ledger/OwnedSegment.h"

#include <unordered_map>

namespace rattanroad {

/** All segments that this host owns, has owned or holds as a backup, and the current one, from which ids are minted. */
class SegmentDirectory {
public:
    explicit SegmentDirectory(LedgerContext& context);

    /** Returns the segment that ids are minted from; opens a new one when there is none that can be used. */
    OwnedSegment& current();
    /** Returns a segment that this host owns or has owned, or null. */
    OwnedSegment* owned(const SegmentKey& key);
    Standing standing(const SubmissionId& id) const;

    void open(const HostId& from, Incarnation fromIncarnation, const protocol::SegmentOpen& open);
    void append(const HostId& from, Incarnation fromIncarnation, const protocol::JournalAppend& append);
    void viewChangeResult(const ViewChangeResult& result);
    /** Takes over from owners that are gone, drops backups that are gone and moves on to a new segment if needed. */
    void peersChanged();

    void releaseAll();
    void flush();
    void tick();
    TimePoint nextWakeup() const;
    /** Fills in the numbers of segments and submissions. */
    void addSizes(SubmissionLedger::Statistics& statistics) const;

private:
    using Replicas = std::unordered_map<SegmentKey, std::unique_ptr<JournalReplica>>;

    bool isCurrentStale() const;
    void openSegment();
    void takeOver(JournalReplica& replica);
    void refuseAppend(const HostId& host, const protocol::JournalAppend& append);
    void replyToOpen(const HostId& host, const protocol::SegmentOpen& open, bool isAccepted);
    bool acceptsOpen(const SegmentKey& key, const protocol::SegmentOpen& open) const;
    void forgetOldSegments();
    void rememberClosed(const SegmentKey& key);

    Standing ownedStanding(const OwnedSegment& segment, const SubmissionId& id) const;
    Standing replicaStanding(const JournalReplica& replica) const;
    Standing standingAtOwner(const SubmissionId& id) const;
    Standing standingAtBackup(const SubmissionId& id) const;
    /** Points to @p host, provided that it is alive and, if @p expected is given, the same process as then. */
    Standing elsewhere(const HostId& host, std::optional<Incarnation> expected) const;

    LedgerContext& m_context;
    std::unordered_map<SegmentKey, std::unique_ptr<OwnedSegment>> m_owned;
    Replicas m_replicas;
    /** Per owner the newest segment whose copy was given up here. A delayed message must not open it again, since the
        new copy would be empty.
    */
    std::map<HostId, std::pair<Incarnation, SegmentNumber>> m_closed;
    /** Copies with records to acknowledge at the next flush. */
    std::vector<SegmentKey> m_acknowledgementsDue;
    OwnedSegment* m_current { nullptr };
    SegmentNumber m_lastSegment;
    TimePoint m_nextSweep;
};

}
