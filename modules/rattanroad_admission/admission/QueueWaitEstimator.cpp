#include "rattanroad_admission/admission/QueueWaitEstimator.h"

#include <algorithm>

namespace rattanroad {

namespace {

    // One second of history in all: long against a task, short against a burst.
    constexpr Duration bucketLength = std::chrono::milliseconds(100);
    // A rate from fewer slots or a shorter time says little: a burst of 10,000 tasks was taken for a wait of 6 s when
    // the first 1600 of them, started within 10 ms, were divided by the whole second.
    constexpr std::uint32_t fewestSamples = 20;
    constexpr Duration shortestWindow = bucketLength;
    constexpr std::size_t recentBuckets = 2;

}

QueueWaitEstimator::QueueWaitEstimator(Clock& clock)
    : m_clock(clock)
{
}

std::int64_t QueueWaitEstimator::currentBucket() const { return m_clock.now().time_since_epoch() / bucketLength; }

void QueueWaitEstimator::record(Duration waited)
{
    const auto now = m_clock.now();
    if (now - m_lastAt > bucketLength * static_cast<int>(bucketCount))
        m_firstAt = now;
    m_lastAt = now;
    const auto number = currentBucket();
    auto& bucket = m_buckets[static_cast<std::size_t>(number) % bucketCount];
    if (bucket.number != number)
        bucket = { number, 0, Duration(0) };
    ++bucket.count;
    bucket.waited += waited;
}

QueueWaitEstimator::Window QueueWaitEstimator::window(std::size_t buckets) const
{
    const auto now = currentBucket();
    const auto first = now - static_cast<std::int64_t>(buckets) + 1;
    Window window;
    for (const auto& bucket : m_buckets) {
        if (bucket.number < first || bucket.number > now)
            continue;
        window.count += bucket.count;
        window.waited += bucket.waited;
    }
    const auto begin = std::max(m_firstAt, TimePoint(bucketLength * first));
    window.length = m_clock.now() - begin;
    return window;
}

Duration QueueWaitEstimator::recentWait() const
{
    const auto recent = window(recentBuckets);
    return recent.count == 0 ? Duration(0) : recent.waited / recent.count;
}

std::optional<Duration> QueueWaitEstimator::expectedWait(std::size_t queuedTasks) const
{
    const auto all = window(bucketCount);
    if (all.count < fewestSamples || all.length < shortestWindow)
        return std::nullopt;
    const double wait
        = static_cast<double>(queuedTasks) * std::chrono::duration<double>(all.length).count() / all.count;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
}

}
