#pragma once

#include "rattanroad_shards/types/ShardTypes.h"

#include <functional>

namespace rattanroad::shards {

/** Tells by a periodic timer whether the event loop runs late and whether the process was paused. */
class LoopMonitor {
public:
    struct Settings {
        /** The process is taken to have been paused when the timer is overdue by more than this. */
        std::chrono::milliseconds pauseThreshold { 500 };
        /** The event loop is reported as late when the timer is overdue by more than this. */
        std::chrono::milliseconds lagThreshold { 100 };
        /** Minimum time between two reports of a late event loop. */
        std::chrono::seconds reportInterval { 1 };
    };
    struct Hooks {
        /** Records how late the timer fired; may be empty. */
        std::function<void(Duration)> lag;
        /** The timer fired later than the threshold allows. */
        std::function<void(Duration)> late;
    };

    LoopMonitor(Settings settings, const Clock& clock, Hooks hooks);
    LoopMonitor(const LoopMonitor&) = delete;
    LoopMonitor& operator=(const LoopMonitor&) = delete;

    /** The timer was set. */
    void timerSet(TimePoint due) { m_due = due; }
    /** The timer has fired. */
    void timerFired();
    /** Notices a pause before the timer has fired. */
    void detectPause();
    /** Returns when a pause of the process was last noticed. */
    TimePoint resumedAt() const { return m_resumedAt; }

private:
    void reportLag();

    Settings m_settings;
    const Clock& m_clock;
    Hooks m_hooks;
    /** When the timer last fired. */
    TimePoint m_firedAt { TimePoint::max() };
    TimePoint m_due { TimePoint::max() };
    TimePoint m_reportedAt { distantPast };
    TimePoint m_resumedAt { distantPast };
};

}
