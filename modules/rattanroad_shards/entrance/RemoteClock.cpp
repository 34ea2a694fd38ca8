#include "rattanroad_shards/entrance/RemoteClock.h"

#include <algorithm>

namespace rattanroad::shards {

namespace {
    /** Largest relative difference between the speeds of two clocks. */
    constexpr double maximumDrift = 0.001;
}

std::int64_t RemoteClock::offsetAt(const Sample& sample, TimePoint now)
{
    const std::chrono::duration<double, std::milli> age = now - sample.receivedAt;
    return sample.offsetMs - static_cast<std::int64_t>(age.count() * maximumDrift);
}

void RemoteClock::update(std::uint64_t sentMs, TimePoint receivedAt)
{
    const std::int64_t offset
        = static_cast<std::int64_t>(sentMs) - static_cast<std::int64_t>(toMilliseconds(receivedAt));
    if (!m_best || offset > offsetAt(*m_best, receivedAt))
        m_best = Sample { offset, receivedAt };
}

std::optional<std::uint64_t> RemoteClock::estimate(TimePoint now) const
{
    if (!m_best)
        return std::nullopt;
    const std::int64_t estimate = static_cast<std::int64_t>(toMilliseconds(now)) + offsetAt(*m_best, now);
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, estimate));
}

std::uint64_t toMilliseconds(TimePoint time)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count());
}

}
