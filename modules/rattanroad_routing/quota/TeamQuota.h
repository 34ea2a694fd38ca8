#pragma once

#include "rattanroad_inventory/inventory/Inventory.h"

#include <memory>
#include <unordered_map>

namespace rattanroad {

/** Slot usage of one team at one keeper, and its state for weighted fair queueing. */
struct TeamAccount {
    TeamId id;
    /** Slots that the team may hold at this keeper; 0 means unlimited. */
    std::uint32_t limit { 0 };
    std::uint32_t used { 0 };
    double weight { 1 };
    /** Slot time used so far divided by the weight, in milliseconds. The waiting team with the lowest value is served
        first.
    */
    double virtualTime { 0 };
    std::uint32_t waitingDemands { 0 };

    bool isExhausted() const { return limit > 0 && used >= limit; }
};

/** Enforces the slot quotas of the teams at one keeper, and accounts their slot time for weighted fair queueing.

    A keeper applies the fraction of each quota that corresponds to its share of all slots, so the quotas hold across
    the fleet without messages between keepers. The fraction is rounded up and is at least one slot, so that every team
    can make progress at every keeper; the sum over all keepers exceeds the quota by less than one slot per keeper.
*/
class TeamQuota {
public:
    /** Sets quotas and weights for a keeper whose targets have @p keeperSlots slots. @p inventory is not owned and must
        stay valid until the next call.
    */
    void configure(const Inventory& inventory, SlotCount keeperSlots);

    /** Returns the account of @p team, which lives as long as this object. A team that is not in the inventory has no
        limit.
    */
    TeamAccount& account(const TeamId& team);

    /** Adds @p milliseconds of slot time to the virtual time of the team. */
    void charge(TeamAccount& account, double milliseconds);
    /** Updates the number of waiting demands of a team. A team that was idle gets no credit for its idle time. */
    void demandAdded(TeamAccount& account);
    static void demandRemoved(TeamAccount& account);

private:
    void configure(TeamAccount& account) const;

    const Inventory* m_inventory { nullptr };
    double m_slotShare { 1 };
    // Highest virtual time that a team had when it was charged; a team that was idle resumes from here.
    double m_virtualTime { 0 };
    std::unordered_map<TeamId, std::unique_ptr<TeamAccount>> m_accounts;
};

}
