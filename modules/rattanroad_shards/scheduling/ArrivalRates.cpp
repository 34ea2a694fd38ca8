#include "rattanroad_shards/scheduling/ArrivalRates.h"

#include <cmath>

namespace rattanroad::shards {

double ArrivalRates::rateAt(const Average& average, TimePoint now) const
{
    const std::chrono::duration<double, std::milli> elapsed = now - average.at;
    return average.rate * std::exp(-elapsed.count() / static_cast<double>(m_memory.count()));
}

void ArrivalRates::accepted(std::uint32_t priority, std::uint64_t work, TimePoint now)
{
    Average& average = m_rates[priority];
    average.rate = rateAt(average, now) + static_cast<double>(work) / static_cast<double>(m_memory.count());
    average.at = now;
}

double ArrivalRates::rateAbove(std::uint32_t priority, TimePoint now) const
{
    double rate = 0;
    for (auto average = m_rates.begin(); average != m_rates.end() && average->first < priority; ++average)
        rate += rateAt(average->second, now);
    return rate;
}

}
