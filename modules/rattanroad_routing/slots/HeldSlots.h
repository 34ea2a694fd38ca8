#pragma once

#include "rattanroad_routing/slots/OpenDemands.h"

#include <deque>
#include <map>
#include <set>
#include <vector>

namespace rattanroad {

/** A slot that this host holds, with a task on it. */
struct HeldSlot {
    /** As offered to the engine; names the keeper that lent it. */
    BorrowedSlot slot;
    /** Keeper that the slot is returned to; differs from the lender after a change of keeper. */
    HostId keeper;
    SlotPurpose purpose;
    TimePoint renewedAt;
    /** Until then the keeper certainly holds the slot for this host. */
    TimePoint validUntil;
    /** When the first renewal was sent that the keeper has not confirmed. */
    std::optional<TimePoint> unconfirmedSince;
    bool isReusable { false };
};

/** The slots that a borrower holds, and the numbers of leases that ended lately, so that a duplicated grant does not
    bring a slot back.
*/
class HeldSlots {
public:
    using Key = std::pair<HostId, LeaseId>;

    static Key keyOf(const BorrowedSlot& slot) { return { slot.keeper, slot.lease }; }

    HeldSlot& add(HeldSlot slot) { return m_slots[keyOf(slot.slot)] = std::move(slot); }
    HeldSlot* find(const Key& key);
    /** Returns the slot that @p keeper knows under this number; null when there is none. */
    HeldSlot* findAtKeeper(const HostId& keeper, LeaseId lease);
    /** Removes a slot and remembers its number until @p until. */
    void end(const Key& key, TimePoint until);
    /** Returns whether a granted slot is held now or ended lately. */
    bool isKnown(const Key& key) const { return m_slots.count(key) || m_ended.count(key); }

    std::vector<HeldSlot*> onTarget(const TargetId& target);
    std::vector<HeldSlot*> all();
    void tick(TimePoint now);
    std::size_t size() const { return m_slots.size(); }

private:
    std::map<Key, HeldSlot> m_slots;
    std::set<Key> m_ended;
    std::deque<std::pair<TimePoint, Key>> m_endedByTime;
};

}
