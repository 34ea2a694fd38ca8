#pragma once

#include "rattanroad_ledger/ledger/SubmissionLedger.h"

#include <deque>
#include <map>
#include <memory>

namespace rattanroad {

/** State of one task in the journal, kept small: a segment holds up to some 100,000 of them. */
struct JournaledTask {
    RecoveredTask::State state { RecoveredTask::State::NotStarted };
    /** The task succeeded or its outcome is unknown: no further attempt is allowed. */
    bool isFinal { false };
    AttemptNumber attempts;
    /** Null on the owner, which has answered its caller itself. */
    std::unique_ptr<protocol::TaskOutcome> outcome;
};

/** One submission as far as the journal describes it. */
struct JournaledSubmission {
    /** Null on the owner and once sealed. */
    std::unique_ptr<protocol::JobDescription> job;
    std::vector<JournaledTask> tasks;
    bool isSealed { false };
    /** On a backup, once sealed: everything but the payloads as a serialized JournalAppend. Millions of outcomes are
        kept for the retention time, and as objects they take several times the space.
    */
    std::unique_ptr<std::string> packed;
    TimePoint acceptedAt;
};

/** The submissions of one segment, on the owner or on a backup.

    Every change is idempotent and checks the attempt number, so that a record which is applied twice has the effect of
    one. Sealed submissions leave after the retention time; what remains is a low-water mark.
*/
class SubmissionTable {
public:
    /** Whether jobs and outcomes are kept for a later takeover. */
    enum class Content {
        StatesOnly,
        Complete,
    };

    explicit SubmissionTable(Content content)
        : m_content(content)
    {
    }

    /** Applies a record from the owner. Records of sealed or unknown submissions are ignored, except a seal, which
        also ends a submission that was refused before it was accepted.
    */
    void apply(protocol::JournalRecord&& record, TimePoint now);

    /** Adds a submission; @p job may be null. An existing submission is left as it is. */
    void accept(
        SequenceNumber sequence, std::size_t taskCount, std::unique_ptr<protocol::JobDescription> job, TimePoint now);
    /** Records a start. Returns false, without a change, when the task may not start under this attempt number. */
    bool start(SequenceNumber sequence, TaskIndex task, AttemptNumber attempt);
    /** Records the outcome of the attempt that is under way. Returns false when that is another attempt. */
    bool recordOutcome(SequenceNumber sequence, TaskIndex task, AttemptNumber attempt, bool isProvablyNotStarted,
        protocol::TaskOutcome&& outcome);
    /** Ends a submission, known or not. Returns false when it had ended before. */
    bool seal(SequenceNumber sequence, std::unique_ptr<protocol::SealRecord> seal, TimePoint now);

    /** Returns the submission or null. */
    const JournaledSubmission* find(SequenceNumber sequence) const;
    /** Returns whether @p sequence is unknown here because it is past its retention. */
    bool isExpired(SequenceNumber sequence) const;
    SequenceNumber lowWater() const { return m_lowWater; }
    /** Raises the mark below which unknown submissions count as expired. */
    void raiseLowWater(SequenceNumber sequence);
    /** Drops what was sealed before @p sealedBefore. */
    void expire(TimePoint sealedBefore);

    std::size_t size() const { return m_submissions.size(); }
    /** Number of submissions that are not sealed. */
    std::size_t activeCount() const { return m_activeCount; }
    void clear();

    /** Moves the jobs and outcomes out as recovered submissions of @p segment; the states remain here. */
    std::vector<RecoveredSubmission> recover(const SegmentKey& segment, const std::vector<HostId>& backups);

private:
    static void pack(SequenceNumber sequence, JournaledSubmission& submission, protocol::SealRecord&& seal);
    static RecoveredSubmission unpack(SequenceNumber sequence, const JournaledSubmission& submission);
    JournaledTask* activeTask(SequenceNumber sequence, TaskIndex task);

    Content m_content;
    std::map<SequenceNumber, JournaledSubmission> m_submissions;
    /** In the order of sealing, so that retention looks only at what it drops. */
    std::deque<std::pair<TimePoint, SequenceNumber>> m_sealed;
    SequenceNumber m_lowWater { 1 };
    std::size_t m_activeCount { 0 };
};

}
