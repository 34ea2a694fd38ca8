#include "rattanroad_admission/admission/DrainRate.h"

namespace rattanroad {

namespace {

    // One second of history in all: long against a task, short against a burst.
    constexpr Duration bucketLength = std::chrono::milliseconds(100);
    // A rate from fewer slots than this says little.
    constexpr std::uint32_t fewestSamples = 20;

}

DrainRate::DrainRate(Clock& clock)
    : m_clock(clock)
{
}

std::int64_t DrainRate::currentBucket() const { return m_clock.now().time_since_epoch() / bucketLength; }

void DrainRate::record()
{
    const auto number = currentBucket();
    auto& bucket = m_buckets[static_cast<std::size_t>(number) % bucketCount];
    if (bucket.number != number)
        bucket = { number, 0 };
    ++bucket.count;
}

std::optional<Duration> DrainRate::expectedWait(std::size_t queuedTasks) const
{
    const auto now = currentBucket();
    std::uint32_t count = 0;
    for (const auto& bucket : m_buckets) {
        if (bucket.number > now - static_cast<std::int64_t>(bucketCount))
            count += bucket.count;
    }
    if (count < fewestSamples)
        return std::nullopt;
    const double window = std::chrono::duration<double>(bucketLength * static_cast<int>(bucketCount)).count();
    const double wait = static_cast<double>(queuedTasks) * window / count;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
}

}
