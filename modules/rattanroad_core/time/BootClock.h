#pragma once

#include "rattanroad_core/time/Clock.h"

#include <ctime>

namespace rattanroad {

/** The machine's clock that also counts the time of a suspension, so that leases end while the machine sleeps. */
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
