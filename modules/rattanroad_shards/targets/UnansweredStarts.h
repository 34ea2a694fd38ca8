#pragma once

#include "rattanroad_shards/types/ShardTypes.h"

#include <deque>

namespace rattanroad::shards {

/** Starts that a target left unanswered and may still carry out. */
class UnansweredStarts {
public:
    struct Start {
        TaskId task;
        std::uint32_t attempt;
        TimePoint sentAt;
    };

    /** @p lateWindow is the time within which an unanswered request may still be carried out. */
    UnansweredStarts(Duration lateWindow, const Clock& clock)
        : m_lateWindow(lateWindow)
        , m_clock(clock)
    {
    }

    void add(const TaskId& task, std::uint32_t attempt);
    /** Returns whether an unanswered start of the task, up to this attempt, may still be carried out. */
    bool mayArriveLate(const TaskId& task, std::uint32_t highestAttempt) const;
    /** Returns the known starts, oldest first. Some may be older than the late window. */
    const std::deque<Start>& starts() const { return m_starts; }

private:
    const Duration m_lateWindow;
    const Clock& m_clock;
    std::deque<Start> m_starts;
};

}
