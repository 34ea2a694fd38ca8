#pragma once

#include "rattanroad_core/time/Clock.h"

#include <cstdint>
#include <map>

namespace rattanroad::shards {

/** Learns how much work of each priority a shard accepts in a millisecond. What arrives with a higher priority while a
    job waits starts before it.
*/
class ArrivalRates {
public:
    /** Time constant of the average: a burst lasts some seconds. */
    explicit ArrivalRates(std::chrono::milliseconds memory = std::chrono::milliseconds(500))
        : m_memory(memory)
    {
    }

    void accepted(std::uint32_t priority, std::uint64_t work, TimePoint now);
    /** Returns the work that is accepted in a millisecond with a higher priority than @p priority. */
    double rateAbove(std::uint32_t priority, TimePoint now) const;
    void reset() { m_rates.clear(); }

private:
    struct Average {
        double rate { 0 };
        TimePoint at;
    };
    double rateAt(const Average& average, TimePoint now) const;

    std::chrono::milliseconds m_memory;
    std::map<std::uint32_t, Average> m_rates;
};

}
