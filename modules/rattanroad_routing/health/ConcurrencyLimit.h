#pragma once

#include "rattanroad_core/identifiers/Units.h"
#include "rattanroad_core/time/Clock.h"

namespace rattanroad {

/** Adaptive limit on the number of tasks in flight at a target.

    The limit is at most the number of slots that the inventory allows. It decreases by a factor when the target rejects
    tasks or cannot be reached, and increases by one per limit() successes (additive increase, multiplicative decrease).
*/
class ConcurrencyLimit {
public:
    /** Sets the maximum of the limit; with zero, the target gets no tasks. A limit at its maximum rises with it. */
    void setMaximum(SlotCount slots);

    /** Lowers the limit by a factor, from @p usedSlots when that is lower; at most once within 100 ms. */
    void recordOverload(std::uint32_t usedSlots, TimePoint now);
    void recordSuccess();
    /** Sets the limit to one task, so that an ejected target returns to service with little load. */
    void reset() { m_limit = 1; }

    std::uint32_t limit() const { return m_isDisabled ? 0 : static_cast<std::uint32_t>(m_limit); }

private:
    double m_maximum { 0 };
    double m_limit { 1 };
    bool m_isDisabled { true };
    TimePoint m_decreasedAt;
};

}
