#pragma once

#include <cstdint>

namespace rattanroad {

/** Source of random numbers for decisions; seeded in tests so that a run can be repeated.
    @see PcgRandomSource
*/
class RandomSource {
public:
    RandomSource() = default;
    virtual ~RandomSource() = default;
    RandomSource(const RandomSource&) = delete;
    RandomSource& operator=(const RandomSource&) = delete;

    /** Returns 64 uniformly distributed bits. */
    virtual std::uint64_t next() = 0;

    /** Returns a uniformly distributed integer in [0, bound); @p bound must be positive. */
    std::uint64_t below(std::uint64_t bound) { return next() % bound; }

    /** Returns a uniformly distributed number in [0, 1). */
    double uniform() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }
};

}
