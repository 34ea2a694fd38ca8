#pragma once

#include "rattanroad_core/random/RandomSource.h"
#include "rattanroad_core/time/Clock.h"

#include <algorithm>

namespace rattanroad {

/** Exponential backoff with jitter, so that hosts don't all reconnect to a recovered store at once. */
class Backoff {
public:
    Backoff(Duration first, Duration maximum, RandomSource& random)
        : m_first(first)
        , m_maximum(maximum)
        , m_step(first)
        , m_random(random)
    {
    }

    /** Returns a random delay between half of the current step and the whole step, then doubles the step up to the
        maximum.
    */
    Duration next()
    {
        const auto step = m_step;
        m_step = std::min(m_maximum, 2 * m_step);
        return step / 2 + Duration(m_random.below(static_cast<std::uint64_t>(step.count() / 2 + 1)));
    }

    /** Sets the step back to the first one. Call it after a success. */
    void reset() { m_step = m_first; }

private:
    Duration m_first;
    Duration m_maximum;
    Duration m_step;
    RandomSource& m_random;
};

}
