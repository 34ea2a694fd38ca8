#include "rattanroad_routing/health/ConcurrencyLimit.h"

#include <algorithm>

namespace rattanroad {

namespace {

    constexpr double decreaseFactor = 0.7;
    // Tasks that were sent before the limit was lowered still report the same overload for about a run time.
    constexpr Duration sameOverload = std::chrono::milliseconds(100);

}

void ConcurrencyLimit::setMaximum(SlotCount slots)
{
    const double contract = slots.value();
    const bool wasAtContract = m_isClosed || m_limit >= m_contract;
    m_isClosed = contract == 0;
    m_limit = wasAtContract ? contract : std::min(m_limit, contract);
    m_contract = contract;
}

void ConcurrencyLimit::recordOverload(std::uint32_t inUse, TimePoint now)
{
    if (now - m_loweredAt < sameOverload)
        return;
    m_loweredAt = now;
    m_limit = std::max(1.0, std::min(m_limit, static_cast<double>(inUse)) * decreaseFactor);
}

void ConcurrencyLimit::recordSuccess() { m_limit = std::min(m_contract, m_limit + 1 / std::max(m_limit, 1.0)); }

}
