#pragma once

#include "rattanroad_ledger/ledger/LedgerEffects.h"

#include <deque>
#include <memory>
#include <optional>

namespace rattanroad {

/** The starts and seals of one segment that wait until all members hold their records, in the order of the records. */
class PendingDecisions {
public:
    explicit PendingDecisions(LedgerEffects& effects)
        : m_effects(effects)
    {
    }

    void addStart(std::uint64_t record, SequenceNumber sequence, SubmissionLedger::StartCallback callback);
    void addSeal(std::uint64_t record, SequenceNumber sequence, SubmissionLedger::SealCallback callback);
    /** Grants what waits for records up to @p record. */
    void grantUpTo(std::uint64_t record);
    /** Refuses the starts of one submission, or of all, also those that are granted but whose callback did not run yet.
        Returns how many there were.
    */
    std::size_t refuseStarts(std::optional<SequenceNumber> sequence);
    /** Refuses everything. Returns the number of refused starts. */
    std::size_t refuseAll();

private:
    struct Decision {
        std::uint64_t record { 0 };
        SequenceNumber sequence;
        SubmissionLedger::StartCallback start;
        SubmissionLedger::SealCallback seal;

        bool isOpen() const { return start || seal; }
        void finish(bool isGranted);
    };
    using DecisionPointer = std::shared_ptr<Decision>;

    void refuse(Decision& decision);

    LedgerEffects& m_effects;
    std::deque<DecisionPointer> m_waiting;
    /** Granted, with the callback still queued in the effects. */
    std::deque<DecisionPointer> m_granted;
};

}
