#pragma once

#include "rattanroad_routing/slots/DemandQueue.h"
#include "rattanroad_routing/slots/TargetPool.h"

#include <optional>
#include <vector>

namespace rattanroad {

/** Matches queued demands with free targets, in the order of the demand queues. A round ends when no further match is
    possible.

    A straggler is left idle while waiting for a faster slot is expected to finish the task sooner.
*/
class GrantMatcher {
public:
    struct Match {
        Demand* demand { nullptr };
        KeptTarget* target { nullptr };
    };

    GrantMatcher(const Clock& clock, TargetPool& pool, const SpeedModel& speed);

    /** Starts a round over the work classes that have both queued demands and free targets. */
    void beginRound();
    /** Returns the next match, or std::nullopt when the round is over. The slot must be lent before the next call. */
    std::optional<Match> next();

    /** Returns the earliest time at which a demand stops waiting for a faster target, or TimePoint::max(). */
    TimePoint waitingUntil() const { return m_waitingUntil; }

private:
    struct Candidate {
        WorkClass* workClass { nullptr };
        std::uint32_t skipped { 0 };
    };

    Candidate* nextCandidate(Demand*& demand);
    KeptTarget* chooseTarget(const Demand& demand, bool& isWaiting);
    bool isWorthWaiting(const Demand& demand, const KeptTarget& slowTarget);

    const Clock& m_clock;
    TargetPool& m_pool;
    const SpeedModel& m_speed;
    std::uint64_t m_round { 0 };
    std::vector<Candidate> m_candidates;
    TimePoint m_waitingUntil { TimePoint::max() };
};

}
