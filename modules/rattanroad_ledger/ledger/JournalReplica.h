#pragma once

#include "rattanroad_ledger/ledger/LedgerContext.h"
#include "rattanroad_ledger/ledger/SubmissionTable.h"
#include "rattanroad_ledger/ledger/ViewChangeAttempt.h"

namespace rattanroad {

/** The copy of another owner's segment on one of its backups.

    It acknowledges the owner until it fences it: from then on it refuses every message of that owner and asks the store
    for the ownership.
*/
class JournalReplica {
public:
    enum class State {
        Holding,
        /** Fenced; the store decides. */
        TakingOver,
        /** This host owns the segment; the copy is to be moved into an OwnedSegment. */
        Won,
        /** Another host owns the segment for good. */
        Lost,
    };

    JournalReplica(LedgerContext& context, SegmentKey key, std::vector<HostId> members);

    const SegmentKey& key() const { return m_key; }
    State state() const { return m_state; }
    /** The view in force as far as this host knows. */
    const SegmentView& view() const { return m_view; }
    const SubmissionTable& submissions() const { return m_table; }
    /** Moves the copy out. @pre state() is Won */
    SubmissionTable takeSubmissions() { return std::move(m_table); }
    /** Backups that the ids of this segment name. */
    const std::vector<HostId>& namedBackups() const { return m_namedBackups; }

    /** Applies what is new of @p append and schedules an acknowledgement, or refuses it. */
    void append(protocol::JournalAppend&& append);
    /** Sends the acknowledgement that is due. */
    void flush();
    /** Fences the owner and asks the store for the ownership. Does nothing in other states than Holding. */
    void beginTakeover();
    void viewChangeResult(const ViewChangeResult& result);
    void tick();
    /** Returns whether the copy is too old to decide anything. */
    bool isOutdated() const;
    TimePoint nextWakeup() const { return m_viewChange.nextWakeup(); }

private:
    void applyRecords(protocol::JournalAppend& append, bool isGap);
    void requestOwnership();
    void lose(const SegmentView& current);
    void sendAcknowledgement(Epoch epoch, bool isRefused);
    Epoch reportedEpoch() const;

    LedgerContext& m_context;
    SegmentKey m_key;
    SegmentView m_view;
    std::vector<HostId> m_namedBackups;
    State m_state { State::Holding };
    SubmissionTable m_table;
    /** All records of the current epoch up to this position are applied. */
    std::uint64_t m_position { 0 };
    bool m_isAcknowledgementDue { false };
    TimePoint m_lastHeard;
    ViewChangeAttempt m_viewChange;
};

}
