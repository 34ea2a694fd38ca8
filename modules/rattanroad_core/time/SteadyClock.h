#pragma once

#include "rattanroad_core/time/Clock.h"

namespace rattanroad {

/** The machine's clock. */
class SteadyClock final : public Clock {
public:
    TimePoint now() const override { return std::chrono::steady_clock::now(); }
    std::chrono::system_clock::time_point wallNow() const override { return std::chrono::system_clock::now(); }
};

}
