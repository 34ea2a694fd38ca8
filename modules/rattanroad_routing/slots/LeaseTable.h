#pragma once

#include "rattanroad_core/random/RandomSource.h"
#include "rattanroad_core/time/Clock.h"
#include "rattanroad_routing/quota/TeamQuota.h"
#include "rattanroad_routing/slots/SlotTypes.h"

#include <functional>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace rattanroad {

struct KeptTarget;

/** One slot of one target that is not free. */
struct Lease {
    LeaseId id;
    KeptTarget* target { nullptr };
    /** Empty for a slot that cools down after a failure. */
    HostId host;
    /** Null when the slot was lent by an earlier keeper, which alone knew the team. */
    TeamAccount* team { nullptr };
    /** When the job arrived that the slot was lent to. */
    TimePoint jobArrivedAt;
    TimePoint lentAt;
    TimePoint expiresAt;
    /** The borrower was told that it may keep the slot for other tasks. */
    bool isReusable { false };
    bool isTrial { false };
    bool isCoolingDown { false };
};

/** The leases of all slots that a keeper lent, by number and by end. Lease numbers start at a random point, so that
    those of an earlier keeper of the same target are told apart.
*/
class LeaseTable {
public:
    explicit LeaseTable(RandomSource& random);

    /** Enters a lease under a new number. */
    Lease& create(Lease lease);
    /** Enters a lease that an earlier keeper numbered; returns null when it is known already. A number that two keepers
        gave to different slots is replaced by a new one: the slot then counts as busy until the lease ends.
    */
    Lease* adopt(Lease lease);

    Lease* find(LeaseId id);
    void setExpiry(Lease& lease, TimePoint expiresAt);
    void erase(Lease& lease);

    /** Returns the lease that ends first if it has ended by @p now. */
    Lease* firstExpired(TimePoint now);
    std::optional<TimePoint> firstExpiry() const;
    /** Notes that the lease with this number ended without a return, for isLateReturn(). */
    void noteExpired(LeaseId id);

    /** Returns whether a return with the unknown number @p id brings a measurement that was not counted before: its
        lease expired here, or another keeper lent it. Each number is accepted once if it expired here.
    */
    bool isLateReturn(LeaseId id);

    void forEach(const std::function<void(Lease&)>& visit);
    std::size_t size() const { return m_leases.size(); }

private:
    Lease& insert(Lease lease);
    bool isOwnNumber(LeaseId id) const { return id.value() >= m_first && id.value() < m_next; }

    std::uint64_t m_first;
    std::uint64_t m_next;
    std::unordered_map<LeaseId, Lease> m_leases;
    std::set<std::pair<TimePoint, LeaseId>> m_byExpiry;
    std::unordered_set<LeaseId> m_expired;
};

}
