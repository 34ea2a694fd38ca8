#pragma once

#include "rattanroad_ledger/ledger/SubmissionLedger.h"

#include <deque>

namespace rattanroad {

/** Collects what the ledger does to the outside until its state is consistent.

    A hook or callback may call the ledger again. Running all of them at the end of a public call keeps such a call from
    meeting a segment in the middle of a change.
*/
class LedgerEffects {
public:
    LedgerEffects(const SubmissionLedger::Settings& settings, SubmissionLedger::Hooks hooks);

    /** Completes the header of @p envelope and queues it for @p host. */
    void send(const HostId& host, protocol::Envelope&& envelope);
    void changeView(const ViewChange& change);
    void recovered(RecoveredSubmission&& submission);
    void superseded(const SegmentKey& segment, const SegmentView& view);
    void standingChanged(const SegmentKey& segment);
    void call(std::function<void()> callback);

    /** Runs everything queued, in order. A nested call returns at once: the outer one continues. */
    void run();

private:
    const SubmissionLedger::Settings& m_settings;
    SubmissionLedger::Hooks m_hooks;
    std::deque<std::function<void()>> m_queue;
    bool m_isRunning { false };
};

}
