#pragma once

#include "rattanroad_inventory/inventory/Inventory.h"

#include <memory>
#include <unordered_map>

namespace rattanroad {

/** Slots of one team at one keeper, and its place in the weighted fair order. */
struct TeamAccount {
    TeamId id;
    /** Slots that the team may hold here; 0 means unlimited. */
    std::uint32_t limit { 0 };
    std::uint32_t used { 0 };
    double weight { 1 };
    /** Slot time lent so far divided by the weight, in milliseconds; the waiting team with the least goes first. */
    double virtualTime { 0 };
    std::uint32_t waitingDemands { 0 };

    bool isExhausted() const { return limit > 0 && used >= limit; }
};

/** Divides the quotas of the teams: each keeper enforces the share that its targets have of all slots, so that the sum
    holds without messages between keepers. Shares are rounded up and at least one, so that every team can proceed
    everywhere; the sum exceeds the quota by less than one slot per keeper.
*/
class TeamQuota {
public:
    /** Sets quotas and weights for a keeper of @p keptSlots slots. */
    void configure(const Inventory& inventory, SlotCount keptSlots);

    /** Returns the account of @p team, which lives as long as this object; unknown teams have no limit. */
    TeamAccount& account(const TeamId& team);

    /** Charges @p milliseconds of slot time that were lent to the team. */
    void charge(TeamAccount& account, double milliseconds);
    /** Keep the number of waiting demands of a team up to date; a team that was idle does not catch up. */
    void demandAdded(TeamAccount& account);
    static void demandRemoved(TeamAccount& account);

private:
    void configure(TeamAccount& account) const;

    const Inventory* m_inventory { nullptr };
    double m_keptShare { 1 };
    // Virtual time of the team served last.
    double m_virtualTime { 0 };
    std::unordered_map<TeamId, std::unique_ptr<TeamAccount>> m_accounts;
};

}
