#pragma once

#include "rattanroad_core/time/Clock.h"

#include <array>
#include <cstdint>
#include <optional>

namespace rattanroad {

/** Estimates how long this host's queue takes to drain, from the rate at which its tasks have got slots lately.

    Unlike the keepers' advertisements it needs no message, so it stays right when an overload starts or a keeper is cut
    off.
*/
class DrainRate {
public:
    explicit DrainRate(Clock& clock);

    /** Counts one task that has got a slot. */
    void record();
    /** Returns the expected wait behind @p queuedTasks, or nothing when too few tasks have got slots to tell. */
    std::optional<Duration> expectedWait(std::size_t queuedTasks) const;

private:
    static constexpr std::size_t bucketCount = 10;

    std::int64_t currentBucket() const;

    Clock& m_clock;
    struct Bucket {
        std::int64_t number { -1 };
        std::uint32_t count { 0 };
    };
    std::array<Bucket, bucketCount> m_buckets;
};

}
