#pragma once

#include "rattanroad_core/time/Clock.h"

#include <array>
#include <cstdint>
#include <map>

namespace rattanroad::shards {

/** Sums of work by deadline. Adding, removing and the sum up to a deadline cost a bounded number of steps, however many
    jobs there are: the sums are kept in a tree of 64 branches a node, down to milliseconds.
*/
class DeadlineSums {
public:
    void add(TimePoint deadline, std::uint64_t work);
    /** @pre the work was added at this deadline */
    void remove(TimePoint deadline, std::uint64_t work);
    /** Returns the work whose deadline, in whole milliseconds, is @p deadline or earlier. */
    std::uint64_t upTo(TimePoint deadline) const;
    std::uint64_t total() const { return m_total; }

private:
    static constexpr unsigned bitsPerLevel = 6;
    static constexpr std::size_t levelCount = 5;

    /** Sums by deadline, in milliseconds divided by 64 to the power of the level. Only sums above 0 are kept. */
    std::array<std::map<std::int64_t, std::uint64_t>, levelCount> m_levels;
    std::uint64_t m_total { 0 };
};

}
