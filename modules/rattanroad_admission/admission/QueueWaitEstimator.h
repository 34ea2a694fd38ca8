#pragma once

#include "rattanroad_core/time/Clock.h"

#include <array>
#include <cstdint>
#include <optional>

namespace rattanroad {

/** Estimates the wait in this host's queue from the rate at which queued tasks get slots.

    Unlike the waits that slot keepers advertise, the estimate depends on no message and no assumed run time, so it
    stays valid when an overload starts or a keeper is unreachable.
*/
class QueueWaitEstimator {
public:
    explicit QueueWaitEstimator(Clock& clock);

    /** Records a task that got a slot after it had waited for @p wait. */
    void record(Duration wait);

    /** Returns the mean wait of the tasks that got slots recently; zero when there were none. */
    Duration recentWait() const;
    /** Returns the expected wait behind @p queuedTasks, or nullopt when there are too few samples. The estimate is
        only meaningful while tasks are queued: on an idle host, tasks get slots no faster than they arrive.
    */
    std::optional<Duration> expectedWait(std::size_t queuedTasks) const;

private:
    static constexpr std::size_t bucketCount = 10;

    struct Bucket {
        std::int64_t index { -1 };
        std::uint32_t count { 0 };
        Duration totalWait { 0 };
    };
    struct Window {
        std::uint32_t count { 0 };
        Duration totalWait { 0 };
        Duration length { 0 };
    };

    std::int64_t currentBucketIndex() const;
    /** Sums the last @p buckets buckets, including the current one. */
    Window window(std::size_t buckets) const;

    Clock& m_clock;
    std::array<Bucket, bucketCount> m_buckets;
    // Time of the first task after more than a second without any. The rate does not include the idle time before it.
    TimePoint m_activeSince;
    TimePoint m_lastRecordedAt;
};

}
