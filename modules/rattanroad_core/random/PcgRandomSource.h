#pragma once

#include "rattanroad_core/random/RandomSource.h"

#include <pcg_random.hpp>

namespace rattanroad {

/** A PCG generator; the same seed gives the same sequence on every machine. */
class PcgRandomSource final : public RandomSource {
public:
    explicit PcgRandomSource(std::uint64_t seed)
        : m_generator(seed)
    {
    }

    std::uint64_t next() override { return m_generator(); }

private:
    pcg64 m_generator;
};

}
