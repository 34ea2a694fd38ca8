#pragma once

#include "rattanroad_routing/slots/DemandQueue.h"
#include "rattanroad_routing/slots/TargetPool.h"

#include <optional>
#include <vector>

namespace rattanroad {

/** Pairs waiting demands with free targets, in the order of the queues. One round ends when nothing more fits.

    A slow target is left free while a faster slot can be expected sooner than the slow one would finish.
*/
class GrantMatcher {
public:
    struct Match {
        Demand* demand { nullptr };
        KeptTarget* target { nullptr };
    };

    GrantMatcher(const Clock& clock, TargetPool& pool, const SpeedModel& speed);

    /** Starts a round over the classes that have both waiting demands and free targets. */
    void beginRound();
    /** Returns the next pair, which must be lent before the next call; nothing when the round is over. */
    std::optional<Match> next();

    /** Returns when a demand that waits for a faster target gives up doing so; TimePoint::max() when none does. */
    TimePoint waitingUntil() const { return m_waitingUntil; }

private:
    struct Candidate {
        WorkClass* workClass { nullptr };
        std::uint32_t skipped { 0 };
    };

    Candidate* best(Demand*& demand);
    KeptTarget* choose(const Demand& demand, bool& isWaiting);
    bool isWorthWaiting(const Demand& demand, const KeptTarget& slow);

    const Clock& m_clock;
    TargetPool& m_pool;
    const SpeedModel& m_speed;
    std::uint64_t m_round { 0 };
    std::vector<Candidate> m_candidates;
    TimePoint m_waitingUntil { TimePoint::max() };
};

}
