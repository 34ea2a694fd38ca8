#pragma once

#include "rattanroad_core/time/Clock.h"

namespace rattanroad {

/** The machine's steady clock, which on Linux stands still while the machine is suspended.
    @see BootClock
*/
class SteadyClock final : public Clock {
public:
    TimePoint now() const override { return std::chrono::steady_clock::now(); }
    std::chrono::system_clock::time_point wallNow() const override { return std::chrono::system_clock::now(); }
};

}
