#pragma once

#include "rattanroad_shards/types/ShardTypes.h"

#include <optional>

namespace rattanroad::shards {

/** The clock of a target, and the latest local time at which the lease of its runs may end. */
class TargetLease {
public:
    struct Settings {
        /** Largest relative error by which the target's clock runs slow. */
        double clockDrift { 0 };
        /** Longest time between the target's reading of its clock and the arrival of the reply. */
        std::chrono::milliseconds replyTime { 0 };
    };

    TargetLease(Settings settings, const Clock& clock)
        : m_settings(settings)
        , m_clock(clock)
        , m_end(clock.now())
    {
    }

    /** Sets the target's clock as read from a reply that has just arrived. */
    void setTargetClock(std::uint64_t clockMs);
    bool isTargetClockKnown() const { return m_targetClockMs.has_value(); }
    /** Returns the time of the target's clock at which a lease of this length ends.
        @pre isTargetClockKnown() */
    std::uint64_t targetEndMs(std::chrono::milliseconds length) const;
    /** Records that the target may grant a lease of this length from now on. */
    void extend(std::chrono::milliseconds length);
    /** Returns the local time by which all runs on the target have ended unless the lease is renewed. */
    TimePoint end() const { return m_end; }

private:
    Settings m_settings;
    const Clock& m_clock;
    /** The target's clock at m_targetClockReadAt. */
    std::optional<std::uint64_t> m_targetClockMs;
    TimePoint m_targetClockReadAt;
    TimePoint m_end;
};

}
