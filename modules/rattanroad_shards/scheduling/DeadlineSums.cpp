#include "rattanroad_shards/scheduling/DeadlineSums.h"

namespace rattanroad::shards {

namespace {
    std::int64_t milliseconds(TimePoint time)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
    }
}

void DeadlineSums::add(TimePoint deadline, std::uint64_t work)
{
    if (work == 0)
        return;
    std::int64_t slot = milliseconds(deadline);
    for (auto& level : m_levels) {
        level[slot] += work;
        slot >>= bitsPerLevel;
    }
    m_total += work;
}

void DeadlineSums::remove(TimePoint deadline, std::uint64_t work)
{
    if (work == 0)
        return;
    std::int64_t slot = milliseconds(deadline);
    for (auto& level : m_levels) {
        const auto sum = level.find(slot);
        sum->second -= work;
        if (sum->second == 0)
            level.erase(sum);
        slot >>= bitsPerLevel;
    }
    m_total -= work;
}

std::uint64_t DeadlineSums::upTo(TimePoint deadline) const
{
    const std::int64_t last = milliseconds(deadline);
    std::uint64_t sum = 0;
    // Whole slots of the coarsest level, then of each finer one within the slot that contains the deadline.
    for (std::size_t level = levelCount; level-- > 0;) {
        const auto shift = static_cast<unsigned>(level) * bitsPerLevel;
        const std::int64_t end = level == 0 ? last + 1 : last >> shift;
        const auto& slots = m_levels[level];
        auto slot = level + 1 == levelCount ? slots.begin()
                                            : slots.lower_bound((last >> (shift + bitsPerLevel)) << bitsPerLevel);
        for (; slot != slots.end() && slot->first < end; ++slot)
            sum += slot->second;
    }
    return sum;
}

}
