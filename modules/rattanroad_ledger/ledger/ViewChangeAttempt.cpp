#include "rattanroad_ledger/ledger/ViewChangeAttempt.h"

#include "rattanroad_ledger/ledger/LedgerGuards.h"

namespace rattanroad {

namespace {

    bool isSame(const SegmentView& left, const SegmentView& right)
    {
        return left.epoch == right.epoch && left.owner == right.owner && left.members == right.members;
    }

}

ViewChangeAttempt::ViewChangeAttempt(LedgerEffects& effects, Duration retryInterval)
    : m_effects(effects)
    , m_retryInterval(retryInterval)
{
}

void ViewChangeAttempt::begin(ViewChange request)
{
    m_retryAt.reset();
    m_request = std::move(request);
    m_effects.changeView(*m_request);
}

void ViewChangeAttempt::tick(TimePoint now)
{
    if (!m_request || !m_retryAt || now < *m_retryAt)
        return;
    m_retryAt.reset();
    m_effects.changeView(*m_request);
}

ViewChangeAttempt::Resolution ViewChangeAttempt::resolve(const ViewChangeResult& result, TimePoint now)
{
    if (!m_request)
        return Resolution::Open;
    if (result.kind == ViewChangeResult::Kind::Unavailable && isGuarded(Guard::UnavailableStore)) {
        m_retryAt = now + m_retryInterval;
        return Resolution::Open;
    }
    // Only this host asks for itself as owner, so a view equal to the request is the effect of an earlier try whose
    // answer was lost.
    const bool isWon = result.kind != ViewChangeResult::Kind::Lost || isSame(result.current, m_request->next)
        || !isGuarded(Guard::LostViewChange);
    m_request.reset();
    m_retryAt.reset();
    return isWon ? Resolution::Won : Resolution::Lost;
}

TimePoint ViewChangeAttempt::nextWakeup() const { return m_request && m_retryAt ? *m_retryAt : TimePoint::max(); }

}
