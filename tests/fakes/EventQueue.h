#pragma once

#include "rattanroad_core/time/VirtualClock.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace rattanroad {

/** Runs actions in the order of their virtual time; actions of the same time run in the order of their scheduling.
    @see VirtualClock
*/
class EventQueue {
public:
    using Action = std::function<void()>;

    explicit EventQueue(VirtualClock& clock);
    EventQueue(const EventQueue&) = delete;
    EventQueue& operator=(const EventQueue&) = delete;

    /** Schedules @p action; a time in the past means as soon as possible. */
    void at(TimePoint time, Action action);
    void after(Duration delay, Action action) { at(m_clock.now() + delay, std::move(action)); }

    /** Runs the earliest action and returns true, or returns false when there is none. */
    bool runNext();
    /** Runs everything up to and including @p time and moves the clock there. */
    void runUntil(TimePoint time);

    bool isEmpty() const { return m_events.empty(); }
    VirtualClock& clock() { return m_clock; }
    TimePoint now() const { return m_clock.now(); }

private:
    struct Event {
        TimePoint time;
        std::uint64_t sequence;
        Action action;
    };
    static bool runsLater(const Event& left, const Event& right);

    VirtualClock& m_clock;
    std::uint64_t m_nextSequence { 0 };
    std::vector<Event> m_events;
};

}
