#pragma once

#include "rattanroad_core/time/Clock.h"

#include <cassert>

namespace rattanroad {

/** A clock that advances only by calls of advanceTo() and advance(); for tests, simulations and replay. */
class VirtualClock final : public Clock {
public:
    TimePoint now() const override { return m_now; }
    std::chrono::system_clock::time_point wallNow() const override
    {
        return std::chrono::system_clock::time_point(
            std::chrono::duration_cast<std::chrono::system_clock::duration>(m_now.time_since_epoch()));
    }

    /** Moves the clock to @p time, which must not be earlier than now(): the clock is monotonic. */
    void advanceTo(TimePoint time)
    {
        assert(time >= m_now);
        m_now = time;
    }

    /** Moves the clock forward by @p duration. */
    void advance(Duration duration) { advanceTo(m_now + duration); }

private:
    // Starts after the default TimePoint, which stands for "never", so that subtracting a timeout does not reach it.
    TimePoint m_now { std::chrono::hours(1) };
};

}
