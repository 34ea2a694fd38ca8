#pragma once

#include "rattanroad_protocol/rattanroad_protocol.h"
#include "rattanroad_routing/slots/DemandQueue.h"
#include "rattanroad_routing/slots/LeaseTable.h"
#include "rattanroad_routing/slots/TargetPool.h"

#include <functional>

namespace rattanroad {

/** Lends and takes back slots: keeps the occupancy of the targets and the use of the team quotas in step with the
    leases, and learns speed and health from returned slots.
*/
class LeaseManager {
public:
    LeaseManager(const Clock& clock, RandomSource& random, Duration leaseTime, TargetPool& pool, TeamQuota& quota,
        SpeedModel& speed);

    /** Lends one slot of @p target, which must have one free. */
    const Lease& lend(const Demand& demand, KeptTarget& target);

    /** Handles one returned or kept slot. Returns the lease when the borrower kept it, null otherwise. */
    const Lease* returned(const HostId& from, const protocol::ReturnedSlot& slot);

    /** Enters a slot that a borrower holds from an earlier keeper of the target. */
    void adopt(const HostId& holder, LeaseId id, KeptTarget& target);

    /** Ends the leases whose time is over. */
    void expire();
    /** Drops all leases of the targets for which @p isDropped holds, without any further effect on them. */
    void drop(const std::function<bool(const KeptTarget&)>& isDropped);

    Lease* find(LeaseId id) { return m_leases.find(id); }
    std::optional<TimePoint> firstExpiry() const { return m_leases.firstExpiry(); }
    void setReusable(Lease& lease, bool isReusable);
    std::size_t reusableCount() const { return m_reusableCount; }

    std::uint64_t lentCount() const { return m_lentCount; }
    std::uint64_t unusedCount() const { return m_unusedCount; }
    std::uint64_t expiredCount() const { return m_expiredCount; }
    std::uint64_t ejectionCount() const { return m_ejectionCount; }

private:
    void learn(const protocol::ReturnedSlot& slot);
    void learnOutcome(KeptTarget& target, const protocol::ReturnedSlot& slot);
    void endTrial(Lease& lease, protocol::ReturnedSlot::Use use);
    void keep(Lease& lease, const protocol::ReturnedSlot& slot);
    void end(Lease& lease, const protocol::ReturnedSlot& slot);
    Duration coolDown(const KeptTarget& target, const protocol::ReturnedSlot& slot) const;
    void giveBackQuota(Lease& lease);
    void erase(Lease& lease);

    const Clock& m_clock;
    const Duration m_leaseTime;
    TargetPool& m_pool;
    TeamQuota& m_quota;
    SpeedModel& m_speed;
    LeaseTable m_leases;
    std::size_t m_reusableCount { 0 };
    std::uint64_t m_lentCount { 0 };
    std::uint64_t m_unusedCount { 0 };
    std::uint64_t m_expiredCount { 0 };
    std::uint64_t m_ejectionCount { 0 };
};

}
