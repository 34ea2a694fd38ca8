#pragma once

#include "rattanroad_protocol/rattanroad_protocol.h"
#include "rattanroad_routing/slots/DemandQueue.h"
#include "rattanroad_routing/slots/LeaseTable.h"
#include "rattanroad_routing/slots/TargetPool.h"

#include <functional>

namespace rattanroad {

/** Grants, renews and ends slot leases. Keeps the occupancy of targets and the usage of team quotas consistent with the
    leases, and updates the speed and health of targets from returned slots.
*/
class LeaseManager {
public:
    LeaseManager(const Clock& clock, RandomSource& random, Duration leaseDuration, TargetPool& pool, TeamQuota& quota,
        SpeedModel& speed);

    /** Lends one slot of @p target, which must have a free one. */
    const Lease& lend(const Demand& demand, KeptTarget& target);

    /** Handles one entry of a SlotReturn. Returns the renewed lease when the borrower keeps the slot, else null. */
    const Lease* handleReturnedSlot(const HostId& from, const protocol::ReturnedSlot& slot);

    /** Adds the lease of a slot that an earlier keeper of the target lent to @p holder. */
    void adopt(const HostId& holder, LeaseId id, KeptTarget& target);

    /** Ends the leases and cool-downs whose time has passed. */
    void expire();
    /** Drops all leases of the targets for which @p isDropped holds, without recording an outcome. */
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
    void recordUse(const protocol::ReturnedSlot& slot);
    void recordOutcome(KeptTarget& target, const protocol::ReturnedSlot& slot);
    void endTrial(Lease& lease, protocol::ReturnedSlot::Use use);
    void renew(Lease& lease, const protocol::ReturnedSlot& slot);
    void release(Lease& lease, const protocol::ReturnedSlot& slot);
    Duration coolDownTime(const KeptTarget& target, const protocol::ReturnedSlot& slot) const;
    void releaseQuota(Lease& lease);
    void erase(Lease& lease);

    const Clock& m_clock;
    const Duration m_leaseDuration;
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
