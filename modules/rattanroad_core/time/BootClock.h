#pragma once

#include "rattanroad_core/time/Clock.h"

#include <ctime>

namespace rattanroad {

/** The machine's clock, which also advances while the machine is suspended, so that leases expire meanwhile. */
class BootClock final : public Clock {
public:
    TimePoint now() const override
    {
        timespec time {};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }
    std::chrono::system_clock::time_point wallNow() const override { return std::chrono::system_clock::now(); }
};

}
