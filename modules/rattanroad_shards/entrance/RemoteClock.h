#pragma once

#include "rattanroad_core/time/Clock.h"

#include <cstdint>
#include <optional>

namespace rattanroad::shards {

/** Estimates the clock of another host from the times that its messages carry. The estimate is behind that clock by the
    shortest time that a message took, and never ahead of it.
*/
class RemoteClock {
public:
    /** Processes the time @p sentMs, in milliseconds of the other clock, of a message received at @p receivedAt. */
    void update(std::uint64_t sentMs, TimePoint receivedAt);
    /** Returns the other clock in milliseconds, or nothing before the first update. */
    std::optional<std::uint64_t> estimate(TimePoint now) const;

private:
    struct Sample {
        /** Other clock minus local clock, in milliseconds. */
        std::int64_t offsetMs;
        TimePoint receivedAt;
    };
    /** Returns the offset of the sample at a later time, by which the clocks may have drifted apart. */
    static std::int64_t offsetAt(const Sample& sample, TimePoint now);

    /** The sample that took the shortest time, allowing for drift. */
    std::optional<Sample> m_best;
};

/** Returns the time of a clock in milliseconds since its epoch. */
std::uint64_t toMilliseconds(TimePoint time);

}
