#include "rattanroad_routing/slots/SlotKeeper.h"

#include "rattanroad_routing/quota/TeamQuota.h"
#include "rattanroad_routing/slots/DemandBook.h"
#include "rattanroad_routing/slots/GrantMatcher.h"
#include "rattanroad_routing/slots/LeaseManager.h"
#include "rattanroad_routing/slots/SlotOffers.h"
#include "rattanroad_routing/slots/SlotReservations.h"
#include "rattanroad_routing/slots/TargetPool.h"
#include "rattanroad_routing/speed/SpeedModel.h"

#include <algorithm>

namespace rattanroad {

namespace {

    // A demand that is not granted soon is answered empty, so that the borrower knows that it is queued here, unless
    // another message has shown the borrower that this keeper lives. The borrower's timeout is longer by a round trip.
    constexpr Duration answerDelay = std::chrono::milliseconds(40);
    // From this weight of wasted messages on slots are not reused: the permission saves a round trip of waiting, but
    // costs messages when it is taken back. Measured: 0.02 wasted messages per task against 0.4 to 0.7 % of the mean
    // ratio.
    constexpr double noReuseWeight = 0.75;
    // Period for trials, drift of the estimates and repeated report requests.
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

    // Whether the demand has a better claim on a slot than the borrower that holds it.
    bool isRival(const Demand& demand, const HostId& host, const TeamAccount* team, TimePoint jobArrivedAt)
    {
        return demand.team != team || demand.key.host != host || demand.arrivedAt < jobArrivedAt;
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
        , m_demands(clock, m_pool, m_quota, settings.lease)
        , m_leases(clock, random, settings.lease, m_pool, m_quota, m_speed)
        , m_matcher(clock, m_pool, m_speed)
        , m_offers(m_pool, m_speed)
        , m_reservations(clock, m_pool, m_leases, settings.lease,
              [this](const HostId& host, protocol::SlotReport&& request) { sendRequest(host, std::move(request)); })
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
    /** Slots lent to one demand in this round, before they are sent. */
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
    void sendRequest(const HostId& host, protocol::SlotReport&& request);
    void grant(Demand& demand, KeptTarget& target);
    void sendGrants();
    bool isReusable(const PendingGrant& pending);
    bool isWantedByOthers(const KeptTarget& target, const HostId& host, const TeamAccount* team, TimePoint arrivedAt);
    void revokeReuse();
    void answerQueued();
    void send(const HostId& host, protocol::SlotGrant grant);

    const Settings m_settings;
    Clock& m_clock;
    const Hooks m_hooks;
    SpeedModel m_speed;
    TeamQuota m_quota;
    TargetPool m_pool;
    DemandBook m_demands;
    LeaseManager m_leases;
    GrantMatcher m_matcher;
    SlotOffers m_offers;
    SlotReservations m_reservations;
    std::vector<PendingGrant> m_pending;
    std::deque<std::pair<TimePoint, DemandKey>> m_unanswered;
    std::map<HostId, TimePoint> m_lastSentTo;
    TimePoint m_nextHousekeeping;
    bool m_needsRound { false };
};

void SlotKeeper::Impl::setKeptTargets(
    std::shared_ptr<const Inventory> inventory, const std::vector<TargetId>& kept, const std::vector<HostId>& liveHosts)
{
    const std::set<TargetId> keptSet(kept.begin(), kept.end());
    m_leases.drop([&](const KeptTarget& target) {
        return !keptSet.count(target.contract.id) || !inventory->target(target.contract.id);
    });
    if (const auto* const previous = m_pool.inventory()) {
        for (const auto& target : previous->parts().targets) {
            if (!inventory->target(target.id))
                m_speed.removeTarget(target.id);
        }
    }
    const std::set<HostId> live(liveHosts.begin(), liveHosts.end());
    const auto added = m_pool.install(std::move(inventory), kept);
    m_quota.configure(*m_pool.inventory(), m_pool.slots());
    m_pool.refreshAll();
    m_reservations.begin(added, live);
    refuseUnservable();
    m_needsRound = true;
}

void SlotKeeper::Impl::setLeavingTargets(const std::set<TargetId>& leaving)
{
    m_pool.setLeaving(leaving);
    refuseUnservable();
    m_needsRound = true;
}

void SlotKeeper::Impl::hostDied(const HostId& host)
{
    m_demands.withdrawAll(host);
    m_lastSentTo.erase(host);
    m_reservations.hostDied(host);
    m_needsRound = true;
}

void SlotKeeper::Impl::peerMessage(const HostId& from, const protocol::Envelope& envelope)
{
    m_needsRound = true;
    if (envelope.has_slot_demand())
        handleDemand({ from, envelope.from_incarnation(), envelope.slot_demand().demand() }, envelope.slot_demand());
    else if (envelope.has_slot_return())
        handleReturn(from, envelope.slot_return());
    else if (envelope.has_slot_report() && !envelope.slot_report().request())
        m_reservations.reported(from, envelope.slot_report());
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
    // Renewals of reusable slots are confirmed, as the borrower may reuse a slot only while it is certain of the lease.
    // The answer to a slot that was reused without permission repeats a revocation that was lost.
    std::map<bool, protocol::SlotGrant> confirmations;
    for (const auto& slot : message.slots()) {
        const auto* const lease = m_leases.returned(from, slot);
        if (lease && (lease->isReusable || slot.use() != protocol::ReturnedSlot::UNUSED))
            confirmations[lease->isReusable].add_slots()->set_lease(lease->id.value());
    }
    for (auto& [isReusable, confirmation] : confirmations) {
        confirmation.set_reusable(isReusable);
        confirmation.set_lease_ms(milliseconds(m_settings.lease));
        send(from, std::move(confirmation));
    }
}

bool SlotKeeper::Impl::canBeServed(const Demand& demand) const
{
    const auto& eligible = demand.workClass->eligible;
    return std::any_of(eligible.begin(), eligible.end(), [&](const KeptTarget* target) {
        return !target->isLeaving() && !demand.excluded.count(target->contract.id)
            && target->contract.slots.value() > 0;
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
    m_demands.end(demand);
    send(host, std::move(message));
}

void SlotKeeper::Impl::refuseUnservable()
{
    for (auto* const demand : m_demands.select([&](const Demand& each) { return !canBeServed(each); }))
        refuse(*demand);
}

void SlotKeeper::Impl::flush()
{
    if (m_needsRound || m_matcher.waitingUntil() <= m_clock.now()) {
        m_needsRound = false;
        m_matcher.beginRound();
        while (const auto match = m_matcher.next())
            grant(*match->demand, *match->target);
        sendGrants();
        revokeReuse();
    }
    answerQueued();
}

void SlotKeeper::Impl::grant(Demand& demand, KeptTarget& target)
{
    const auto& lease = m_leases.lend(demand, target);
    auto* const last = m_pending.empty() ? nullptr : &m_pending.back();
    const bool isSameGrant = last && !(last->key < demand.key) && !(demand.key < last->key);
    // A trial slot is a grant of its own, since it must come back after one task.
    if (!isSameGrant || last->isTrial != lease.isTrial) {
        m_pending.push_back(
            { demand.key, demand.workClass->kind, demand.team, demand.arrivedAt, lease.isTrial, {}, {} });
        m_pending.back().message.set_demand(demand.key.demand);
        m_pending.back().message.set_lease_ms(milliseconds(m_settings.lease));
    }
    auto& pending = m_pending.back();
    pending.leases.push_back(lease.id);
    auto* const slot = pending.message.add_slots();
    slot->set_lease(lease.id.value());
    slot->set_target(target.contract.id.value());
    slot->set_relative_speed(static_cast<float>(m_speed.relativeSpeed(target.contract.id, demand.workClass->kind)));
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
    // Without more tasks of the job waiting here reuse is unlikely, and taking the permission back costs a message.
    if (pending.isTrial || m_settings.wasteWeight >= noReuseWeight || !m_demands.find(pending.key))
        return false;
    return std::none_of(pending.leases.begin(), pending.leases.end(), [&](LeaseId id) {
        const auto& target = *m_leases.find(id)->target;
        return isWantedByOthers(target, pending.key.host, pending.team, pending.jobArrivedAt);
    });
}

bool SlotKeeper::Impl::isWantedByOthers(
    const KeptTarget& target, const HostId& host, const TeamAccount* team, TimePoint arrivedAt)
{
    return std::any_of(target.memberships.begin(), target.memberships.end(), [&](const auto& membership) {
        return membership.workClass->queue.hasWaiting(
            [&](const Demand& demand) { return isRival(demand, host, team, arrivedAt); });
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
            if (!isWantedByOthers(*target, lease.host, lease.team, lease.jobArrivedAt))
                continue;
            m_leases.setReusable(lease, false);
            revocations[lease.host].add_slots()->set_lease(leaseId.value());
        }
    }
    for (auto& [host, revocation] : revocations)
        send(host, std::move(revocation));
}

void SlotKeeper::Impl::answerQueued()
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

void SlotKeeper::Impl::sendRequest(const HostId& host, protocol::SlotReport&& request)
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
    m_needsRound = true;
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
        TargetStatus one;
        one.id = id;
        one.limit = SlotCount(target->limit.limit());
        one.used = SlotCount(target->used);
        one.isEjected = target->health.isEjected();
        one.isLeaving = target->isLeaving();
        one.successShare = target->health.successShare();
        double sum = 0;
        for (const auto& kind : target->contract.kinds)
            sum += m_speed.relativeSpeed(id, kind);
        if (!target->contract.kinds.empty())
            one.relativeSpeed = sum / static_cast<double>(target->contract.kinds.size());
        all.push_back(std::move(one));
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
