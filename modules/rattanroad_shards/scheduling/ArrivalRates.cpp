#include "rattanroad_shards/scheduling/ArrivalRates.h"

#include <cmath>

namespace rattanroad::shards {

namespace {
    /** Standard deviations of the demand for which room is kept. A whole one leaves lower priorities little beyond
       their guaranteed share on a shard of some dozen targets. */
    constexpr double deviations = 0.3;
}

double ArrivalRates::rateAt(const Average& average, TimePoint now) const
{
    const std::chrono::duration<double, std::milli> elapsed = now - average.at;
    return average.rate * std::exp(-elapsed.count() / static_cast<double>(m_memory.count()));
}

void ArrivalRates::accepted(std::uint32_t priority, std::uint64_t work, std::uint64_t millicores, TimePoint now)
{
    Average& average = m_rates[priority];
    average.rate = rateAt(average, now) + static_cast<double>(work) / static_cast<double>(m_memory.count());
    average.at = now;
    constexpr double smoothing = 0.05;
    const auto size = static_cast<double>(millicores);
    average.millicores = average.millicores == 0 ? size : average.millicores + smoothing * (size - average.millicores);
}

double ArrivalRates::expectedRoomAbove(std::uint32_t priority, double runTimeFactor, TimePoint now) const
{
    double room = 0;
    double variance = 0;
    for (auto average = m_rates.begin(); average != m_rates.end() && average->first < priority; ++average) {
        // Work in a millisecond, in millicores times milliseconds, is the millicores in use.
        const double used = rateAt(average->second, now) * runTimeFactor;
        room += used;
        variance += used * average->second.millicores;
    }
    return room + deviations * std::sqrt(variance);
}

double ArrivalRates::rateAbove(std::uint32_t priority, TimePoint now) const
{
    double rate = 0;
    for (auto average = m_rates.begin(); average != m_rates.end() && average->first < priority; ++average)
        rate += rateAt(average->second, now);
    return rate;
}

}
