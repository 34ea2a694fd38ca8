#include "rattanroad_admission/admission/QueueWaitEstimator.h"

#include <algorithm>

namespace rattanroad {

namespace {

    // The buckets cover one second: long compared with a task and short compared with a burst.
    constexpr Duration bucketLength = std::chrono::milliseconds(100);
    // Fewer slots or a shorter window give no reliable rate: when the first 1600 tasks of a burst of 10,000 got slots
    // within 10 ms and their number was divided by the full second, the estimated wait was 6 s.
    constexpr std::uint32_t minimumSamples = 20;
    constexpr Duration minimumWindow = bucketLength;
    constexpr std::size_t recentBucketCount = 2;

}

QueueWaitEstimator::QueueWaitEstimator(Clock& clock)
    : m_clock(clock)
{
}

std::int64_t QueueWaitEstimator::currentBucketIndex() const { return m_clock.now().time_since_epoch() / bucketLength; }

void QueueWaitEstimator::record(Duration wait)
{
    const auto now = m_clock.now();
    if (now - m_lastRecordedAt > bucketLength * static_cast<int>(bucketCount))
        m_activeSince = now;
    m_lastRecordedAt = now;
    const auto index = currentBucketIndex();
    auto& bucket = m_buckets[static_cast<std::size_t>(index) % bucketCount];
    if (bucket.index != index)
        bucket = { index, 0, Duration(0) };
    ++bucket.count;
    bucket.totalWait += wait;
}

QueueWaitEstimator::Window QueueWaitEstimator::window(std::size_t buckets) const
{
    const auto lastIndex = currentBucketIndex();
    const auto firstIndex = lastIndex - static_cast<std::int64_t>(buckets) + 1;
    Window window;
    for (const auto& bucket : m_buckets) {
        if (bucket.index < firstIndex || bucket.index > lastIndex)
            continue;
        window.count += bucket.count;
        window.totalWait += bucket.totalWait;
    }
    const auto begin = std::max(m_activeSince, TimePoint(bucketLength * firstIndex));
    window.length = m_clock.now() - begin;
    return window;
}

Duration QueueWaitEstimator::recentWait() const
{
    const auto recent = window(recentBucketCount);
    return recent.count == 0 ? Duration(0) : recent.totalWait / recent.count;
}

std::optional<Duration> QueueWaitEstimator::expectedWait(std::size_t queuedTasks) const
{
    const auto all = window(bucketCount);
    if (all.count < minimumSamples || all.length < minimumWindow)
        return std::nullopt;
    const double wait
        = static_cast<double>(queuedTasks) * std::chrono::duration<double>(all.length).count() / all.count;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
}

}
