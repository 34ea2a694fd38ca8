#pragma once

#include "rattanroad_core/time/Clock.h"

#include <functional>
#include <map>

namespace rattanroad {

/** Actions to run at given times, in time order. Actions are not cancelled; they check whether they still apply. */
class TimerQueue {
public:
    using Action = std::function<void()>;

    /** Runs @p action in the first runDue() at or after @p time. */
    void schedule(TimePoint time, Action action) { m_actions.emplace(time, std::move(action)); }

    /** Runs all actions that are due at @p now, including those scheduled meanwhile. */
    void runDue(TimePoint now)
    {
        while (!m_actions.empty() && m_actions.begin()->first <= now) {
            const auto action = std::move(m_actions.begin()->second);
            m_actions.erase(m_actions.begin());
            action();
        }
    }

    /** Returns when the next action is due, or TimePoint::max(). */
    TimePoint next() const { return m_actions.empty() ? TimePoint::max() : m_actions.begin()->first; }

private:
    std::multimap<TimePoint, Action> m_actions;
};

}
