#pragma once

#include <chrono>

namespace rattanroad {

/** Monotonic point in time; never compared between processes. */
using TimePoint = std::chrono::steady_clock::time_point;
/** Monotonic duration, in nanoseconds. */
using Duration = std::chrono::steady_clock::duration;

/** Source of time for all decisions, so that tests can run on a virtual clock.
    @see BootClock, SteadyClock, VirtualClock
*/
class Clock {
public:
    Clock() = default;
    virtual ~Clock() = default;
    Clock(const Clock&) = delete;
    Clock& operator=(const Clock&) = delete;

    /** Returns the monotonic time. */
    virtual TimePoint now() const = 0;
    /** Returns the wall-clock time, for log lines, traces and records that people read. */
    virtual std::chrono::system_clock::time_point wallNow() const = 0;
};

}
