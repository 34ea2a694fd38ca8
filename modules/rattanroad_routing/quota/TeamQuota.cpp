#include "rattanroad_routing/quota/TeamQuota.h"

#include <algorithm>
#include <cmath>

namespace rattanroad {

void TeamQuota::configure(const Inventory& inventory, SlotCount keeperSlots)
{
    m_inventory = &inventory;
    const auto total = inventory.totalSlots().value();
    m_slotShare = total == 0 ? 1 : std::min(1.0, static_cast<double>(keeperSlots.value()) / total);
    for (auto& [id, account] : m_accounts)
        configure(*account);
}

void TeamQuota::configure(TeamAccount& account) const
{
    const Team* const team = m_inventory ? m_inventory->team(account.id) : nullptr;
    account.limit = 0;
    account.weight = 1;
    if (!team)
        return;
    account.weight = team->weight > 0 ? team->weight : 1;
    if (team->quota.value() == 0)
        return;
    // The small reduction keeps rounding errors in a product such as 0.1 * 10 from rounding it up to 2.
    const double slots = std::ceil(team->quota.value() * m_slotShare - 1e-9);
    account.limit = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(slots));
}

TeamAccount& TeamQuota::account(const TeamId& team)
{
    auto& account = m_accounts[team];
    if (!account) {
        account = std::make_unique<TeamAccount>();
        account->id = team;
        configure(*account);
    }
    return *account;
}

void TeamQuota::charge(TeamAccount& account, double milliseconds)
{
    m_virtualTime = std::max(m_virtualTime, account.virtualTime);
    account.virtualTime += milliseconds / account.weight;
}

void TeamQuota::demandAdded(TeamAccount& account)
{
    if (account.waitingDemands++ == 0)
        account.virtualTime = std::max(account.virtualTime, m_virtualTime);
}

void TeamQuota::demandRemoved(TeamAccount& account) { --account.waitingDemands; }

}
