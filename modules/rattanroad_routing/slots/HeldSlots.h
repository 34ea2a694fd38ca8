#pragma once

#include "rattanroad_routing/slots/OpenDemands.h"

#include <deque>
#include <map>
#include <set>
#include <vector>

namespace rattanroad {

/** A slot that is leased to this host and runs one of its tasks. */
struct HeldSlot {
    /** The slot as offered to the engine; its keeper is the one that granted the lease. */
    BorrowedSlot slot;
    /** Keeper that the slot is returned to; differs from slot.keeper after the target has changed its keeper. */
    HostId keeper;
    SlotPurpose purpose;
    TimePoint renewedAt;
    /** Confirmed end of the lease: one lease after the confirmed renewal was sent, or after the grant arrived. */
    TimePoint validUntil;
    /** When the oldest unconfirmed renewal was sent. */
    std::optional<TimePoint> unconfirmedSince;
    bool isReusable { false };
};

/** The slots that a borrower holds, and the keys of recently ended leases, so that a duplicated grant does not add a
    slot again.
*/
class HeldSlots {
public:
    using Key = std::pair<HostId, LeaseId>;

    static Key keyOf(const BorrowedSlot& slot) { return { slot.keeper, slot.lease }; }

    HeldSlot& add(HeldSlot slot) { return m_slots[keyOf(slot.slot)] = std::move(slot); }
    HeldSlot* find(const Key& key);
    /** Returns the slot that @p keeper knows as @p lease, or null. */
    HeldSlot* findAtKeeper(const HostId& keeper, LeaseId lease);
    /** Removes a slot and remembers its key until @p until. */
    void remove(const Key& key, TimePoint until);
    /** Returns whether the slot is held or its lease ended recently. */
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
