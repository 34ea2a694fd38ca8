#pragma once

#include "rattanroad_shards/types/ShardTypes.h"

#include <map>
#include <optional>

namespace rattanroad::shards {

/** Protects the present incarnation of a target against calls that were sent to an earlier one and left unanswered. The
    target may carry them out late. They name a lease end on the clock of the earlier incarnation, which lies ahead on
   the new clock, so they extend the lease of all runs.

    Once the target has seen a higher fencing token it refuses such calls. A target that does not refuse a lower token
   is found out by a call with one; its lease counts as extended until no call can be late any more.
*/
class IncarnationGuard {
public:
    /** @p lateWindow is the time within which an unanswered call may still be carried out. */
    IncarnationGuard(Duration lateWindow, const Clock& clock)
        : m_lateWindow(lateWindow)
        , m_clock(clock)
    {
    }

    /** A call that renews the lease is sent. Returns its number. */
    std::uint64_t callSent();
    /** @p isAnswered is false when the call may be carried out later. */
    void callEnded(std::uint64_t number, bool isAnswered);
    /** Another incarnation has answered a call. @p token is the highest that was used so far. */
    void beginIncarnation(FencingToken token);

    /** Returns whether nothing may start on the target, because it may carry out calls with tokenToRefuse(). */
    bool isBlocked() const { return isExposed() && !m_isTokenIgnored; }
    /** Returns the token of the calls that may be late. A target is safe once it refuses this token. */
    FencingToken tokenToRefuse() const { return m_token; }
    /** The target has answered a call with tokenToRefuse() after it has seen a higher one. */
    void tokenChecked(bool isRefused);
    /** Returns until when late calls may extend the lease; nothing when none can be late. */
    std::optional<TimePoint> exposedUntil() const;

private:
    bool isExposed() const { return m_clock.now() < m_exposedUntil; }

    const Duration m_lateWindow;
    const Clock& m_clock;
    /** When the calls were sent that have neither been answered nor timed out. */
    std::map<std::uint64_t, TimePoint> m_callsInFlight;
    std::uint64_t m_lastNumber { 0 };
    /** When the last unanswered call to the present incarnation was sent. */
    TimePoint m_lastUnansweredAt { distantPast };
    /** Calls to earlier incarnations may be carried out until then. */
    TimePoint m_exposedUntil { distantPast };
    FencingToken m_token;
    bool m_isTokenIgnored { false };
};

}
