#include "rattanroad_routing/health/ConcurrencyLimit.h"

#include <algorithm>

namespace rattanroad {

namespace {

    constexpr double decreaseFactor = 0.7;
    // For about a run time, tasks that were sent before a decrease still report the same overload.
    constexpr Duration minimumDecreaseInterval = std::chrono::milliseconds(100);

}

void ConcurrencyLimit::setMaximum(SlotCount slots)
{
    const double maximum = slots.value();
    const bool wasAtMaximum = m_isDisabled || m_limit >= m_maximum;
    m_isDisabled = maximum == 0;
    m_limit = wasAtMaximum ? maximum : std::min(m_limit, maximum);
    m_maximum = maximum;
}

void ConcurrencyLimit::recordOverload(std::uint32_t usedSlots, TimePoint now)
{
    if (now - m_decreasedAt < minimumDecreaseInterval)
        return;
    m_decreasedAt = now;
    m_limit = std::max(1.0, std::min(m_limit, static_cast<double>(usedSlots)) * decreaseFactor);
}

void ConcurrencyLimit::recordSuccess() { m_limit = std::min(m_maximum, m_limit + 1 / std::max(m_limit, 1.0)); }

}
