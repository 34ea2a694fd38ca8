#include "rattanroad_routing/slots/LeaseManager.h"

#include <algorithm>
#include <cassert>

namespace rattanroad {

namespace {

    // After a failure on a target with a lower success share than this, the slot is blocked until a successful task
    // would have ended. Otherwise a target that fails fast would attract ever more tasks.
    constexpr double coolDownSuccessShare = 0.5;
    // Bounds the cool-down for kinds with long tasks that fail early.
    constexpr Duration maximumCoolDown = std::chrono::seconds(1);

    double milliseconds(Duration duration) { return std::chrono::duration<double, std::milli>(duration).count(); }

    bool isFailure(protocol::ReturnedSlot::Use use)
    {
        return use != protocol::ReturnedSlot::UNUSED && use != protocol::ReturnedSlot::SUCCEEDED;
    }

}

LeaseManager::LeaseManager(const Clock& clock, RandomSource& random, Duration leaseDuration, TargetPool& pool,
    TeamQuota& quota, SpeedModel& speed)
    : m_clock(clock)
    , m_leaseDuration(leaseDuration)
    , m_pool(pool)
    , m_quota(quota)
    , m_speed(speed)
    , m_leases(random)
{
}

const Lease& LeaseManager::lend(const Demand& demand, KeptTarget& target)
{
    // Slots are lent nowhere else; exceeding the limit here would overload the target.
    assert(target.free() > 0);
    const auto now = m_clock.now();
    Lease lease;
    lease.target = &target;
    lease.host = demand.key.host;
    lease.team = demand.team;
    lease.jobArrivedAt = demand.jobArrivedAt;
    lease.lentAt = now;
    lease.expiresAt = now + m_leaseDuration;
    lease.isTrial = target.health.isEjected();
    if (lease.isTrial)
        target.health.beginTrial();
    ++target.used;
    ++demand.team->used;
    ++m_lentCount;
    m_quota.charge(*demand.team, milliseconds(m_speed.expectedRunTime(demand.workClass->kind, demand.declared)));
    m_pool.refresh(target);
    return m_leases.create(std::move(lease));
}

const Lease* LeaseManager::handleReturnedSlot(const HostId& from, const protocol::ReturnedSlot& slot)
{
    auto* const lease = m_leases.find(LeaseId(slot.lease()));
    if (!lease || lease->isCoolingDown || lease->host != from) {
        if (!lease && m_leases.acceptLateReturn(LeaseId(slot.lease())))
            recordUse(slot);
        return nullptr;
    }
    if (lease->isTrial && !(slot.kept() && slot.use() == protocol::ReturnedSlot::UNUSED))
        endTrial(*lease, slot.use());
    else
        recordUse(slot);
    if (slot.kept()) {
        renew(*lease, slot);
        return lease;
    }
    release(*lease, slot);
    return nullptr;
}

void LeaseManager::recordUse(const protocol::ReturnedSlot& slot)
{
    auto* const target = m_pool.find(TargetId(slot.target()));
    if (!target || slot.use() == protocol::ReturnedSlot::UNUSED)
        return;
    recordOutcome(*target, slot);
    if (m_pool.ejectIfFailing(*target)) {
        ++m_ejectionCount;
        target->limit.reset();
    }
    m_pool.refresh(*target);
}

void LeaseManager::recordOutcome(KeptTarget& target, const protocol::ReturnedSlot& slot)
{
    const auto now = m_clock.now();
    switch (slot.use()) {
    case protocol::ReturnedSlot::SUCCEEDED:
        m_speed.record(target.definition.id, WorkKind(slot.kind()), std::chrono::milliseconds(slot.declared_ms()),
            std::chrono::microseconds(slot.run_us()));
        target.limit.recordSuccess();
        target.health.record(true, now);
        return;
    case protocol::ReturnedSlot::REJECTED:
        // A rejection means overload and lowers the concurrency limit. It is a failure only of a target that rejects
        // tasks even at a limit of one.
        if (target.limit.limit() <= 1)
            target.health.record(false, now);
        target.limit.recordOverload(target.used, now);
        return;
    case protocol::ReturnedSlot::UNREACHABLE:
        target.limit.recordOverload(target.used, now);
        target.health.record(false, now);
        return;
    default:
        target.health.record(false, now);
        return;
    }
}

void LeaseManager::endTrial(Lease& lease, protocol::ReturnedSlot::Use use)
{
    auto& health = lease.target->health;
    lease.isTrial = false;
    if (use == protocol::ReturnedSlot::UNUSED)
        health.abandonTrial(m_clock.now());
    else
        health.endTrial(use == protocol::ReturnedSlot::SUCCEEDED, m_clock.now());
    m_pool.refresh(*lease.target);
}

void LeaseManager::renew(Lease& lease, const protocol::ReturnedSlot& slot)
{
    m_leases.setExpiry(lease, m_clock.now() + m_leaseDuration);
    // The first use was charged when the slot was lent; a slot that is kept after a use starts another use.
    if (lease.team && slot.use() != protocol::ReturnedSlot::UNUSED)
        m_quota.charge(*lease.team, slot.run_us() / 1000.0);
}

void LeaseManager::release(Lease& lease, const protocol::ReturnedSlot& slot)
{
    if (slot.use() == protocol::ReturnedSlot::UNUSED)
        ++m_unusedCount;
    const auto coolDown = coolDownTime(*lease.target, slot);
    if (coolDown.count() <= 0) {
        erase(lease);
        return;
    }
    releaseQuota(lease);
    setReusable(lease, false);
    lease.isCoolingDown = true;
    lease.host = HostId();
    m_leases.setExpiry(lease, m_clock.now() + coolDown);
}

Duration LeaseManager::coolDownTime(const KeptTarget& target, const protocol::ReturnedSlot& slot) const
{
    if (!isFailure(slot.use()) || target.health.successShare() >= coolDownSuccessShare)
        return Duration(0);
    const auto meanRun = m_speed.meanRunTime(WorkKind(slot.kind()));
    return std::min(meanRun - std::chrono::microseconds(slot.run_us()), maximumCoolDown);
}

void LeaseManager::adopt(const HostId& holder, LeaseId id, KeptTarget& target)
{
    Lease lease;
    lease.id = id;
    lease.target = &target;
    lease.host = holder;
    lease.lentAt = m_clock.now();
    lease.expiresAt = lease.lentAt + m_leaseDuration;
    if (!m_leases.adopt(std::move(lease)))
        return;
    ++target.used;
    m_pool.refresh(target);
}

void LeaseManager::expire()
{
    while (auto* const lease = m_leases.firstExpired(m_clock.now())) {
        if (lease->isTrial)
            endTrial(*lease, protocol::ReturnedSlot::UNUSED);
        if (!lease->isCoolingDown) {
            ++m_expiredCount;
            m_leases.recordExpired(lease->id);
        }
        erase(*lease);
    }
}

void LeaseManager::drop(const std::function<bool(const KeptTarget&)>& isDropped)
{
    std::vector<Lease*> dropped;
    m_leases.forEach([&](Lease& lease) {
        if (isDropped(*lease.target))
            dropped.push_back(&lease);
    });
    for (auto* const lease : dropped)
        erase(*lease);
}

void LeaseManager::setReusable(Lease& lease, bool isReusable)
{
    if (lease.isReusable == isReusable)
        return;
    lease.isReusable = isReusable;
    if (isReusable) {
        lease.target->reusableLeases.insert(lease.id);
        ++m_reusableCount;
    } else {
        lease.target->reusableLeases.erase(lease.id);
        --m_reusableCount;
    }
}

void LeaseManager::releaseQuota(Lease& lease)
{
    if (lease.team)
        --lease.team->used;
    lease.team = nullptr;
}

void LeaseManager::erase(Lease& lease)
{
    auto& target = *lease.target;
    setReusable(lease, false);
    releaseQuota(lease);
    --target.used;
    m_leases.erase(lease);
    m_pool.refresh(target);
}

}
