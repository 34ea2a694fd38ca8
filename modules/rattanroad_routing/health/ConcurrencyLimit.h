#pragma once

#include "rattanroad_core/identifiers/Units.h"
#include "rattanroad_core/time/Clock.h"

namespace rattanroad {

/** Number of tasks that a target is given at the same time: at most the slots of its contract, less after it rejected
    tasks or could not be reached. Decreases by a factor and recovers by one slot per round of successes.
*/
class ConcurrencyLimit {
public:
    /** Sets the slots of the contract; the limit never exceeds them. */
    void setMaximum(SlotCount slots);

    /** Lowers the limit; further overloads of the same moment count once. */
    void recordOverload(std::uint32_t inUse, TimePoint now);
    void recordSuccess();
    /** Starts again from one task, after the target was out of service. */
    void reset() { m_limit = 1; }

    std::uint32_t limit() const { return m_isClosed ? 0 : static_cast<std::uint32_t>(m_limit); }

private:
    double m_contract { 0 };
    double m_limit { 1 };
    bool m_isClosed { true };
    TimePoint m_loweredAt;
};

}
