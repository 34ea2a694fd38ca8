#include "rattanroad_routing/slots/SlotKeeper.h"

#include "rattanroad_routing/quota/TeamQuota.h"
#include "rattanroad_routing/slots/DemandTable.h"
#include "rattanroad_routing/slots/GrantMatcher.h"
#include "rattanroad_routing/slots/LeaseManager.h"
#include "rattanroad_routing/slots/SlotOffers.h"
#include "rattanroad_routing/slots/SlotReservations.h"
#include "rattanroad_routing/slots/TargetPool.h"
#include "rattanroad_routing/speed/SpeedModel.h"

#include <algorithm>

namespace rattanroad {

namespace {

    // A demand that is not granted within this time is acknowledged by an empty grant, so that the borrower knows that
    // it is queued, unless another message has shown the borrower that this keeper is alive. The borrower's timeout is
    // longer by a round trip.
    constexpr Duration answerDelay = std::chrono::milliseconds(40);
    // Slots are not reusable from this Settings::wasteWeight on. Reuse saves a round trip of waiting but costs messages
    // when it is revoked: 0.02 wasted messages per task, against 0.4 to 0.7 % of the mean response ratio.
    constexpr double reuseWasteWeightLimit = 0.75;
    // Period of refreshing targets, whose trials become due and estimates drift, and of repeating report requests.
    constexpr Duration housekeepingPeriod = std::chrono::milliseconds(250);

    protocol::Envelope newEnvelope()
    {
        protocol::Envelope envelope;
        envelope.set_version(protocol::protocolVersion);
        return envelope;
    }

    std::uint32_t milliseconds(Duration duration)
    {
        return static_cast<std::uint32_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(duration + std::chrono::microseconds(999)).count());
    }

    // Returns whether the demand takes precedence over further use of a slot by the borrower that holds it: it is of
    // another team or host, or its job is older.
    bool isCompeting(const Demand& demand, const HostId& host, const TeamAccount* team, TimePoint jobArrivedAt)
    {
        return demand.team != team || demand.key.host != host || demand.jobArrivedAt < jobArrivedAt;
    }

}

class SlotKeeper::Impl {
public:
    Impl(Settings settings, Clock& clock, RandomSource& random, Hooks hooks)
        : m_settings(settings)
        , m_clock(clock)
        , m_hooks(std::move(hooks))
        , m_speed(clock)
        , m_pool(clock, m_speed, settings.maximumEjectedShare)
        , m_demands(clock, m_pool, m_quota, settings.leaseDuration)
        , m_leases(clock, random, settings.leaseDuration, m_pool, m_quota, m_speed)
        , m_matcher(clock, m_pool, m_speed)
        , m_offers(m_pool, m_speed)
        , m_reservations(clock, m_pool, m_leases, settings.leaseDuration,
              [this](
                  const HostId& host, protocol::SlotReport&& request) { sendReportRequest(host, std::move(request)); })
        , m_nextHousekeeping(clock.now())
    {
    }

    void setKeptTargets(std::shared_ptr<const Inventory> inventory, const std::vector<TargetId>& kept,
        const std::vector<HostId>& liveHosts);
    void setLeavingTargets(const std::set<TargetId>& leaving);
    void hostDied(const HostId& host);
    void peerMessage(const HostId& from, const protocol::Envelope& envelope);
    void flush();
    void tick();
    TimePoint nextWakeup() const;
    std::vector<protocol::FreeSlots> freeSlots() { return m_offers.all(); }
    std::vector<TargetStatus> status() const;
    Statistics statistics() const;

private:
    /** Slots lent to one demand in the current round, not sent yet. */
    struct PendingGrant {
        DemandKey key;
        WorkKind kind;
        TeamAccount* team { nullptr };
        TimePoint jobArrivedAt;
        bool isTrial { false };
        std::vector<LeaseId> leases;
        protocol::SlotGrant message;
    };

    void handleDemand(const DemandKey& key, const protocol::SlotDemand& message);
    void handleReturn(const HostId& from, const protocol::SlotReturn& message);
    void refuseUnservable();
    void refuse(Demand& demand);
    bool canBeServed(const Demand& demand) const;
    Failure refusalReason(const Demand& demand) const;
    void sendReportRequest(const HostId& host, protocol::SlotReport&& request);
    void grant(Demand& demand, KeptTarget& target);
    void sendGrants();
    bool isReusable(const PendingGrant& pending);
    bool hasCompetingDemand(
        const KeptTarget& target, const HostId& host, const TeamAccount* team, TimePoint jobArrivedAt);
    void revokeReuse();
    void answerQueuedDemands();
    void send(const HostId& host, protocol::SlotGrant grant);

    const Settings m_settings;
    Clock& m_clock;
    const Hooks m_hooks;
    SpeedModel m_speed;
    TeamQuota m_quota;
    TargetPool m_pool;
    DemandTable m_demands;
    LeaseManager m_leases;
    GrantMatcher m_matcher;
    SlotOffers m_offers;
    SlotReservations m_reservations;
    std::vector<PendingGrant> m_pending;
    std::deque<std::pair<TimePoint, DemandKey>> m_unanswered;
    std::map<HostId, TimePoint> m_lastSentTo;
    TimePoint m_nextHousekeeping;
    bool m_needsMatching { false };
};

void SlotKeeper::Impl::setKeptTargets(
    std::shared_ptr<const Inventory> inventory, const std::vector<TargetId>& kept, const std::vector<HostId>& liveHosts)
{
    const std::set<TargetId> keptSet(kept.begin(), kept.end());
    m_leases.drop([&](const KeptTarget& target) {
        return !keptSet.count(target.definition.id) || !inventory->target(target.definition.id);
    });
    if (const auto* const previous = m_pool.inventory()) {
        for (const auto& target : previous->parts().targets) {
            if (!inventory->target(target.id))
                m_speed.removeTarget(target.id);
        }
    }
    const std::set<HostId> live(liveHosts.begin(), liveHosts.end());
    const auto added = m_pool.install(std::move(inventory), kept);
    m_quota.configure(*m_pool.inventory(), m_pool.totalSlots());
    m_pool.refreshAll();
    m_reservations.reserve(added, live);
    refuseUnservable();
    m_needsMatching = true;
}

void SlotKeeper::Impl::setLeavingTargets(const std::set<TargetId>& leaving)
{
    m_pool.setLeaving(leaving);
    refuseUnservable();
    m_needsMatching = true;
}

void SlotKeeper::Impl::hostDied(const HostId& host)
{
    m_demands.withdrawAll(host);
    m_lastSentTo.erase(host);
    m_reservations.hostDied(host);
    m_needsMatching = true;
}

void SlotKeeper::Impl::peerMessage(const HostId& from, const protocol::Envelope& envelope)
{
    m_needsMatching = true;
    if (envelope.has_slot_demand())
        handleDemand({ from, envelope.from_incarnation(), envelope.slot_demand().demand() }, envelope.slot_demand());
    else if (envelope.has_slot_return())
        handleReturn(from, envelope.slot_return());
    else if (envelope.has_slot_report() && !envelope.slot_report().request())
        m_reservations.handleReport(from, envelope.slot_report());
}

void SlotKeeper::Impl::handleDemand(const DemandKey& key, const protocol::SlotDemand& message)
{
    auto* const demand = m_demands.update(key, message);
    if (!demand)
        return;
    if (!canBeServed(*demand)) {
        refuse(*demand);
        return;
    }
    demand->isAnswered = false;
    m_unanswered.emplace_back(m_clock.now() + answerDelay, key);
}

void SlotKeeper::Impl::handleReturn(const HostId& from, const protocol::SlotReturn& message)
{
    // Renewals of reusable slots are confirmed, as the borrower may reuse a slot only during the confirmed lease. When
    // a slot was reused although it is not reusable, a revocation was lost, and the confirmation repeats it.
    std::map<bool, protocol::SlotGrant> confirmations;
    for (const auto& slot : message.slots()) {
        const auto* const lease = m_leases.handleReturnedSlot(from, slot);
        if (lease && (lease->isReusable || slot.use() != protocol::ReturnedSlot::UNUSED))
            confirmations[lease->isReusable].add_slots()->set_lease(lease->id.value());
    }
    for (auto& [isReusable, confirmation] : confirmations) {
        confirmation.set_reusable(isReusable);
        confirmation.set_lease_ms(milliseconds(m_settings.leaseDuration));
        send(from, std::move(confirmation));
    }
}

bool SlotKeeper::Impl::canBeServed(const Demand& demand) const
{
    const auto& eligible = demand.workClass->eligible;
    return std::any_of(eligible.begin(), eligible.end(), [&](const KeptTarget* target) {
        return !target->isLeaving() && !demand.excluded.count(target->definition.id)
            && target->definition.slots.value() > 0;
    });
}

Failure SlotKeeper::Impl::refusalReason(const Demand& demand) const
{
    const auto& kind = demand.workClass->kind;
    if (!m_pool.inventory())
        return { FailureCode::ConfigurationMissing, RunState::NotRun, "no configuration is installed on this keeper" };
    if (const auto reason = m_pool.inventory()->reasonNoTargetCanRun(kind, demand.workClass->needs))
        return *reason;
    return { FailureCode::NotFound, RunState::NotRun,
        "this keeper has no target that may run work of kind '" + kind.value() + "'" };
}

void SlotKeeper::Impl::refuse(Demand& demand)
{
    protocol::SlotGrant message;
    message.set_demand(demand.key.demand);
    message.set_refused(true);
    *message.mutable_reason() = protocol::toMessage(refusalReason(demand));
    const auto host = demand.key.host;
    m_demands.remove(demand);
    send(host, std::move(message));
}

void SlotKeeper::Impl::refuseUnservable()
{
    for (auto* const demand : m_demands.select([&](const Demand& each) { return !canBeServed(each); }))
        refuse(*demand);
}

void SlotKeeper::Impl::flush()
{
    if (m_needsMatching || m_matcher.waitingUntil() <= m_clock.now()) {
        m_needsMatching = false;
        m_matcher.beginRound();
        while (const auto match = m_matcher.next())
            grant(*match->demand, *match->target);
        sendGrants();
        revokeReuse();
    }
    answerQueuedDemands();
}

void SlotKeeper::Impl::grant(Demand& demand, KeptTarget& target)
{
    const auto& lease = m_leases.lend(demand, target);
    auto* const last = m_pending.empty() ? nullptr : &m_pending.back();
    const bool isSameGrant = last && !(last->key < demand.key) && !(demand.key < last->key);
    // A trial slot needs a grant of its own, as it must be returned after one task and is not reusable.
    if (!isSameGrant || last->isTrial != lease.isTrial) {
        m_pending.push_back(
            { demand.key, demand.workClass->kind, demand.team, demand.jobArrivedAt, lease.isTrial, {}, {} });
        m_pending.back().message.set_demand(demand.key.demand);
        m_pending.back().message.set_lease_ms(milliseconds(m_settings.leaseDuration));
    }
    auto& pending = m_pending.back();
    pending.leases.push_back(lease.id);
    auto* const slot = pending.message.add_slots();
    slot->set_lease(lease.id.value());
    slot->set_target(target.definition.id.value());
    slot->set_relative_speed(static_cast<float>(m_speed.relativeSpeed(target.definition.id, demand.workClass->kind)));
    m_demands.countGrant(demand);
}

void SlotKeeper::Impl::sendGrants()
{
    auto pendingGrants = std::move(m_pending);
    m_pending.clear();
    for (auto& pending : pendingGrants) {
        const bool reusable = isReusable(pending);
        for (const auto id : pending.leases)
            m_leases.setReusable(*m_leases.find(id), reusable);
        pending.message.set_reusable(reusable);
        *pending.message.mutable_offer() = m_offers.offer(pending.kind);
        send(pending.key.host, std::move(pending.message));
    }
}

bool SlotKeeper::Impl::isReusable(const PendingGrant& pending)
{
    // Reuse is unlikely when no further tasks of the job are queued here, and revoking it costs a message.
    if (pending.isTrial || m_settings.wasteWeight >= reuseWasteWeightLimit || !m_demands.find(pending.key))
        return false;
    return std::none_of(pending.leases.begin(), pending.leases.end(), [&](LeaseId id) {
        const auto& target = *m_leases.find(id)->target;
        return hasCompetingDemand(target, pending.key.host, pending.team, pending.jobArrivedAt);
    });
}

bool SlotKeeper::Impl::hasCompetingDemand(
    const KeptTarget& target, const HostId& host, const TeamAccount* team, TimePoint jobArrivedAt)
{
    return std::any_of(target.memberships.begin(), target.memberships.end(), [&](const auto& membership) {
        return membership.workClass->queue.hasWaiting(
            [&](const Demand& demand) { return isCompeting(demand, host, team, jobArrivedAt); });
    });
}

void SlotKeeper::Impl::revokeReuse()
{
    if (m_leases.reusableCount() == 0 || m_demands.size() == 0)
        return;
    std::map<HostId, protocol::SlotGrant> revocations;
    for (const auto& [id, target] : m_pool.targets()) {
        const auto reusable = target->reusableLeases;
        for (const auto leaseId : reusable) {
            auto& lease = *m_leases.find(leaseId);
            if (!hasCompetingDemand(*target, lease.host, lease.team, lease.jobArrivedAt))
                continue;
            m_leases.setReusable(lease, false);
            revocations[lease.host].add_slots()->set_lease(leaseId.value());
        }
    }
    for (auto& [host, revocation] : revocations)
        send(host, std::move(revocation));
}

void SlotKeeper::Impl::answerQueuedDemands()
{
    while (!m_unanswered.empty() && m_unanswered.front().first <= m_clock.now()) {
        auto* const demand = m_demands.find(m_unanswered.front().second);
        m_unanswered.pop_front();
        if (!demand || demand->isAnswered)
            continue;
        demand->isAnswered = true;
        const auto sentAt = m_lastSentTo.find(demand->key.host);
        if (sentAt != m_lastSentTo.end() && sentAt->second > demand->receivedAt)
            continue;
        protocol::SlotGrant answer;
        answer.set_demand(demand->key.demand);
        *answer.mutable_offer() = m_offers.offer(demand->workClass->kind);
        send(demand->key.host, std::move(answer));
    }
}

void SlotKeeper::Impl::sendReportRequest(const HostId& host, protocol::SlotReport&& request)
{
    auto envelope = newEnvelope();
    *envelope.mutable_slot_report() = std::move(request);
    m_hooks.send(host, std::move(envelope));
}

void SlotKeeper::Impl::send(const HostId& host, protocol::SlotGrant grant)
{
    m_lastSentTo[host] = m_clock.now();
    auto envelope = newEnvelope();
    *envelope.mutable_slot_grant() = std::move(grant);
    m_hooks.send(host, std::move(envelope));
}

void SlotKeeper::Impl::tick()
{
    const auto now = m_clock.now();
    m_leases.expire();
    m_needsMatching = true;
    if (now < m_nextHousekeeping)
        return;
    m_nextHousekeeping = now + housekeepingPeriod;
    m_demands.tick();
    m_reservations.tick();
    m_pool.refreshAll();
}

TimePoint SlotKeeper::Impl::nextWakeup() const
{
    auto wakeup = std::min(m_nextHousekeeping, m_matcher.waitingUntil());
    if (const auto expiry = m_leases.firstExpiry())
        wakeup = std::min(wakeup, *expiry);
    if (!m_unanswered.empty())
        wakeup = std::min(wakeup, m_unanswered.front().first);
    return wakeup;
}

std::vector<SlotKeeper::TargetStatus> SlotKeeper::Impl::status() const
{
    std::vector<TargetStatus> all;
    for (const auto& [id, target] : m_pool.targets()) {
        TargetStatus entry;
        entry.id = id;
        entry.limit = SlotCount(target->limit.limit());
        entry.used = SlotCount(target->used);
        entry.isEjected = target->health.isEjected();
        entry.isLeaving = target->isLeaving();
        entry.successShare = target->health.successShare();
        double sum = 0;
        for (const auto& kind : target->definition.kinds)
            sum += m_speed.relativeSpeed(id, kind);
        if (!target->definition.kinds.empty())
            entry.relativeSpeed = sum / static_cast<double>(target->definition.kinds.size());
        all.push_back(std::move(entry));
    }
    return all;
}

SlotKeeper::Statistics SlotKeeper::Impl::statistics() const
{
    return { m_leases.lentCount(), m_leases.unusedCount(), m_leases.expiredCount(), m_leases.ejectionCount(),
        m_demands.size() };
}

SlotKeeper::SlotKeeper(Settings settings, Clock& clock, RandomSource& random, Hooks hooks)
    : m_impl(std::make_unique<Impl>(settings, clock, random, std::move(hooks)))
{
}

SlotKeeper::~SlotKeeper() = default;

void SlotKeeper::setKeptTargets(
    std::shared_ptr<const Inventory> inventory, const std::vector<TargetId>& kept, const std::vector<HostId>& liveHosts)
{
    m_impl->setKeptTargets(std::move(inventory), kept, liveHosts);
}

void SlotKeeper::setLeavingTargets(const std::set<TargetId>& leaving) { m_impl->setLeavingTargets(leaving); }

void SlotKeeper::hostDied(const HostId& host) { m_impl->hostDied(host); }

void SlotKeeper::peerMessage(const HostId& from, const protocol::Envelope& envelope)
{
    m_impl->peerMessage(from, envelope);
}

void SlotKeeper::flush() { m_impl->flush(); }

void SlotKeeper::tick() { m_impl->tick(); }

TimePoint SlotKeeper::nextWakeup() const { return m_impl->nextWakeup(); }

std::vector<protocol::FreeSlots> SlotKeeper::freeSlots() const { return m_impl->freeSlots(); }

std::vector<SlotKeeper::TargetStatus> SlotKeeper::status() const { return m_impl->status(); }

SlotKeeper::Statistics SlotKeeper::statistics() const { return m_impl->statistics(); }

}
