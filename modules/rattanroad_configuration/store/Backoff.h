#pragma once

#include "rattanroad_core/random/RandomSource.h"
#include "rattanroad_core/time/Clock.h"

#include <algorithm>

namespace rattanroad {

/** Growing waits between attempts, with jitter so that hosts don't return to a recovered store all at once. */
class Backoff {
public:
    Backoff(Duration first, Duration longest, RandomSource& random)
        : m_first(first)
        , m_longest(longest)
        , m_next(first)
        , m_random(random)
    {
    }

    /** Returns the next wait, between half of the current step and all of it, and doubles the step. */
    Duration next()
    {
        const auto step = m_next;
        m_next = std::min(m_longest, 2 * m_next);
        return step / 2 + Duration(m_random.below(static_cast<std::uint64_t>(step.count() / 2 + 1)));
    }

    /** Begins again with the first wait, after a success. */
    void reset() { m_next = m_first; }

private:
    Duration m_first;
    Duration m_longest;
    Duration m_next;
    RandomSource& m_random;
};

}
