#pragma once

#include "rattanroad_ledger/ledger/LedgerEffects.h"

#include <optional>

namespace rattanroad {

/** One view change on its way to the store.

    The same request is repeated until the store answers, since a request that the store did not answer may have taken
    effect. Only then may another one be made for the segment.
*/
class ViewChangeAttempt {
public:
    enum class Resolution {
        Open,
        Won,
        Lost,
    };

    ViewChangeAttempt(LedgerEffects& effects, Duration retryInterval);

    bool isActive() const { return m_request.has_value(); }
    /** Returns the request that has no answer yet. */
    const std::optional<ViewChange>& request() const { return m_request; }
    void begin(ViewChange request);
    /** Repeats the request when its retry is due. */
    void tick(TimePoint now);
    /** Takes an answer of the store; the attempt ends unless the result is Open. */
    Resolution resolve(const ViewChangeResult& result, TimePoint now);
    TimePoint nextWakeup() const;

private:
    LedgerEffects& m_effects;
    Duration m_retryInterval;
    std::optional<ViewChange> m_request;
    std::optional<TimePoint> m_retryAt;
};

}
