#include "fakes/EventQueue.h"

#include <algorithm>

namespace rattanroad {

EventQueue::EventQueue(VirtualClock& clock)
    : m_clock(clock)
{
}

bool EventQueue::runsLater(const Event& left, const Event& right)
{
    if (left.time != right.time)
        return left.time > right.time;
    return left.sequence > right.sequence;
}

void EventQueue::at(TimePoint time, Action action)
{
    m_events.push_back({ std::max(time, m_clock.now()), m_nextSequence++, std::move(action) });
    std::push_heap(m_events.begin(), m_events.end(), runsLater);
}

bool EventQueue::runNext()
{
    if (m_events.empty())
        return false;
    std::pop_heap(m_events.begin(), m_events.end(), runsLater);
    const Event event = std::move(m_events.back());
    m_events.pop_back();
    m_clock.advanceTo(event.time);
    event.action();
    return true;
}

void EventQueue::runUntil(TimePoint time)
{
    while (!m_events.empty() && m_events.front().time <= time)
        runNext();
    if (time > m_clock.now())
        m_clock.advanceTo(time);
}

}
