#include "rattanroad_shards/scheduling/GuaranteedShares.h"

#include <algorithm>

namespace rattanroad::shards {

void GuaranteedShares::started(
    std::uint32_t priority, std::uint64_t work, const std::vector<std::uint32_t>& waiting, double rate)
{
    const double limit = rate * static_cast<double>(m_settings.maximumCredit.count());
    const auto add = [&](std::uint32_t receiver, double amount) {
        double& credit = m_credits[receiver];
        credit = std::clamp(credit + amount, -limit, limit);
    };
    for (const std::uint32_t other : waiting)
        add(other, m_settings.share * static_cast<double>(work));
    add(priority, -static_cast<double>(work));
}

std::optional<std::uint32_t> GuaranteedShares::owed(const std::vector<std::uint32_t>& waiting) const
{
    std::optional<std::uint32_t> mostOwed;
    double largest = 0;
    for (const std::uint32_t priority : waiting) {
        const auto credit = m_credits.find(priority);
        if (credit == m_credits.end() || credit->second <= largest)
            continue;
        mostOwed = priority;
        largest = credit->second;
    }
    return mostOwed;
}

}
