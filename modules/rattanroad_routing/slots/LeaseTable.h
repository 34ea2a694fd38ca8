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

/** Occupies one slot of a target: lent to a borrower, or cooling down after a failure. */
struct Lease {
    LeaseId id;
    KeptTarget* target { nullptr };
    /** The borrower; empty while the slot cools down after a failure. */
    HostId host;
    /** Null for a slot that an earlier keeper lent, as only that keeper knew the team, and while cooling down. */
    TeamAccount* team { nullptr };
    /** Arrival time of the job that the slot was lent for. */
    TimePoint jobArrivedAt;
    TimePoint lentAt;
    TimePoint expiresAt;
    /** Whether the borrower may reuse the slot for other tasks. */
    bool isReusable { false };
    bool isTrial { false };
    bool isCoolingDown { false };
};

/** The leases of a keeper, by number and by expiry time. Numbers start at a random value, which distinguishes them from
    those of an earlier keeper of the same target.
*/
class LeaseTable {
public:
    explicit LeaseTable(RandomSource& random);

    /** Adds a lease with a new number. */
    Lease& create(Lease lease);
    /** Adds a lease that an earlier keeper numbered; returns null when it is already known. If the number belongs to
        another slot, the lease gets a new number that its borrower does not know, and the slot stays busy until it
        expires.
    */
    Lease* adopt(Lease lease);

    Lease* find(LeaseId id);
    void setExpiry(Lease& lease, TimePoint expiresAt);
    void erase(Lease& lease);

    /** Returns the lease with the earliest expiry time if it has expired by @p now, or null. */
    Lease* firstExpired(TimePoint now);
    std::optional<TimePoint> firstExpiry() const;
    /** Records that the lease with this number expired without a return. @see acceptLateReturn */
    void recordExpired(LeaseId id);

    /** Returns whether a return with the unknown number @p id carries a measurement that is not counted yet: its lease
        expired here, or another keeper granted it. A number that expired here is accepted only once.
    */
    bool acceptLateReturn(LeaseId id);

    void forEach(const std::function<void(Lease&)>& visit);
    std::size_t size() const { return m_leases.size(); }

private:
    Lease& insert(Lease lease);
    bool isOwnNumber(LeaseId id) const { return id.value() >= m_firstNumber && id.value() < m_nextNumber; }

    std::uint64_t m_firstNumber;
    std::uint64_t m_nextNumber;
    std::unordered_map<LeaseId, Lease> m_leases;
    std::set<std::pair<TimePoint, LeaseId>> m_byExpiry;
    std::unordered_set<LeaseId> m_expiredNumbers;
};

}
