#pragma once

#include "rattanroad_core/time/Clock.h"

#include <array>
#include <cstdint>
#include <optional>

namespace rattanroad {

/** Watches how this host's queue drains: the rate at which its tasks get slots, and how long they have waited.

    Unlike the keepers' advertisements it needs no message and no assumed run time, so it stays right when an overload
    starts or a keeper is cut off.
*/
class QueueWaitEstimator {
public:
    explicit QueueWaitEstimator(Clock& clock);

    /** Counts one task that has got a slot after @p waited. */
    void record(Duration waited);

    /** Returns the mean wait of the tasks that got slots lately; zero when there were none. */
    Duration recentWait() const;
    /** Returns the expected wait behind @p queuedTasks, or nothing when too little has been seen to tell. The rate is
        that of the queue only while tasks wait; an idle host drains no faster than work arrives.
    */
    std::optional<Duration> expectedWait(std::size_t queuedTasks) const;

private:
    static constexpr std::size_t bucketCount = 10;

    struct Bucket {
        std::int64_t number { -1 };
        std::uint32_t count { 0 };
        Duration waited { 0 };
    };
    struct Window {
        std::uint32_t count { 0 };
        Duration waited { 0 };
        Duration length { 0 };
    };

    std::int64_t currentBucket() const;
    /** Sums the last @p buckets buckets, the present one included. */
    Window window(std::size_t buckets) const;

    Clock& m_clock;
    std::array<Bucket, bucketCount> m_buckets;
    // First task after a second without any: the time before it says nothing about the rate.
    TimePoint m_firstAt;
    TimePoint m_lastAt;
};

}
