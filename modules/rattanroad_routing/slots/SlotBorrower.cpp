#include "rattanroad_routing/slots/SlotBorrower.h"

#include "rattanroad_routing/slots/DemandPlacer.h"
#include "rattanroad_routing/slots/HeldSlots.h"
#include "rattanroad_routing/slots/KeeperDirectory.h"
#include "rattanroad_routing/slots/SlotReturns.h"

#include <algorithm>
#include <optional>

namespace rattanroad {

namespace {

    // Used until a grant states the duration.
    constexpr Duration defaultLeaseDuration = std::chrono::seconds(2);

}

class SlotBorrower::Impl {
public:
    Impl(Settings settings, Clock& clock, RandomSource& random, Hooks hooks)
        : m_settings(std::move(settings))
        , m_clock(clock)
        , m_hooks(std::move(hooks))
        , m_directory(clock, random)
        , m_placer(m_settings, clock, m_directory, m_hooks)
        , m_nextRenewal(clock.now())
    {
    }

    void setKeepers(std::vector<KeeperOffer> keepers);
    DemandId addDemand(const WorkDemand& demand) { return m_placer.demands().add(demand).id; }
    void setDemandCount(DemandId id, std::uint32_t count) { m_placer.setCount(id, count); }
    void release(const BorrowedSlot& slot, SlotUse use, const WorkKind& kind, Duration runTime,
        std::chrono::milliseconds declared);
    void peerMessage(const HostId& from, const protocol::Envelope& envelope);
    void flush();
    void tick();
    TimePoint nextWakeup() const;
    Duration expectedWait(const WorkKind& kind) const { return m_directory.expectedWait(kind); }
    Statistics statistics() const;

private:
    struct ReportRequest {
        HostId keeper;
        TimePoint receivedAt;
    };

    void handleGrant(const HostId& from, const protocol::SlotGrant& grant);
    void handleReportRequest(const HostId& from, const protocol::SlotReport& request);
    void handleConfirmation(const HostId& from, const protocol::SlotGrant& grant);
    bool isReportedToOtherKeeper(const TargetId& target, const HostId& keeper) const;
    void useOrReturn(HeldSlot held, DemandId demandId);
    bool tryBind(OpenDemand& demand, const HeldSlot& held);
    bool tryReuse(const HeldSlot& held);
    void returnSlot(const HeldSlot& held, protocol::ReturnedSlot description);
    void sendReturns(bool isRenewalDue);
    void renew();

    const Settings m_settings;
    Clock& m_clock;
    const Hooks m_hooks;
    KeeperDirectory m_directory;
    DemandPlacer m_placer;
    HeldSlots m_held;
    SlotReturns m_returns;
    // Targets whose new keeper has requested a report. A late grant of the earlier keeper must not be used, as it would
    // exceed the limit of the target.
    std::map<TargetId, ReportRequest> m_reportRequests;
    Duration m_leaseDuration { defaultLeaseDuration };
    TimePoint m_nextRenewal;
    std::uint64_t m_slotsReturnedUnused { 0 };
};

void SlotBorrower::Impl::setKeepers(std::vector<KeeperOffer> keepers)
{
    m_directory.setKeepers(std::move(keepers));
    m_placer.handleKeeperChange();
}

void SlotBorrower::Impl::release(
    const BorrowedSlot& slot, SlotUse use, const WorkKind& kind, Duration runTime, std::chrono::milliseconds declared)
{
    const auto key = HeldSlots::keyOf(slot);
    const auto* const found = m_held.find(key);
    if (!found)
        return;
    const HeldSlot held = *found;
    auto description = SlotReturns::describe(slot, use, kind, runTime, declared);
    if (use == SlotUse::Succeeded) {
        m_directory.recordRunTime(kind, runTime);
        if (tryReuse(held)) {
            description.set_kept(true);
            m_returns.add(held.keeper, std::move(description));
            return;
        }
    }
    // The engine may have ended the use of the slot inside Hooks::bind.
    if (m_held.find(key))
        returnSlot(held, std::move(description));
}

bool SlotBorrower::Impl::tryReuse(const HeldSlot& held)
{
    // Requires half a lease of confirmed validity, so that a task under 1 s ends in time if all renewals are lost.
    const bool isValid = m_clock.now() + m_leaseDuration / 2 <= held.validUntil;
    if (!held.isReusable || !isValid || !m_directory.contains(held.keeper))
        return false;
    auto* const next = m_placer.demands().nextFor(held.purpose, held.slot.target);
    return next && tryBind(*next, held);
}

bool SlotBorrower::Impl::tryBind(OpenDemand& demand, const HeldSlot& held)
{
    auto& demands = m_placer.demands();
    const auto id = demand.id;
    const auto revision = demand.revision;
    demands.setWanted(demand, demand.wanted - 1);
    if (m_hooks.bind(id, held.slot))
        return true;
    auto* const remaining = demands.find(id);
    if (!remaining || remaining->revision != revision)
        return false;
    // The engine still wants a slot but not this one. Excluding the target keeps it from being offered again.
    demands.setWanted(*remaining, remaining->wanted + 1);
    remaining->work.excludedTargets.insert(held.slot.target);
    return false;
}

void SlotBorrower::Impl::returnSlot(const HeldSlot& held, protocol::ReturnedSlot description)
{
    if (description.use() == protocol::ReturnedSlot::UNUSED)
        ++m_slotsReturnedUnused;
    m_held.remove(HeldSlots::keyOf(held.slot), m_clock.now() + m_leaseDuration);
    m_directory.addRequested(held.keeper, std::get<WorkKind>(held.purpose), -1);
    if (m_directory.contains(held.keeper))
        m_returns.add(held.keeper, std::move(description));
}

void SlotBorrower::Impl::peerMessage(const HostId& from, const protocol::Envelope& envelope)
{
    m_directory.recordMessage(from);
    if (envelope.has_slot_grant())
        handleGrant(from, envelope.slot_grant());
    else if (envelope.has_slot_report() && envelope.slot_report().request())
        handleReportRequest(from, envelope.slot_report());
}

void SlotBorrower::Impl::handleGrant(const HostId& from, const protocol::SlotGrant& grant)
{
    if (grant.demand() == 0) {
        handleConfirmation(from, grant);
        return;
    }
    if (grant.lease_ms() > 0)
        m_leaseDuration = std::chrono::milliseconds(grant.lease_ms());
    std::vector<HeldSlot> slots;
    for (const auto& lent : grant.slots()) {
        HeldSlot held;
        held.slot = { from, LeaseId(lent.lease()), TargetId(lent.target()), lent.relative_speed() };
        held.keeper = from;
        held.renewedAt = m_clock.now();
        held.validUntil = held.renewedAt + m_leaseDuration;
        held.isReusable = grant.reusable();
        if (!m_held.isKnown(HeldSlots::keyOf(held.slot)))
            slots.push_back(std::move(held));
    }
    auto* const request = m_placer.demands().findRequest(grant.demand());
    const bool isExpected = request && request->keeper == from;
    const auto demandId = isExpected ? request->demand : DemandId();
    if (grant.has_offer())
        m_directory.updateOffer(from, grant.offer());
    if (isExpected && grant.refused())
        m_placer.handleRefusal(*request, protocol::fromMessage(grant.reason()));
    else if (isExpected)
        m_placer.handleAnswer(*request, static_cast<std::uint32_t>(slots.size()));
    for (auto& held : slots)
        useOrReturn(std::move(held), demandId);
}

void SlotBorrower::Impl::handleConfirmation(const HostId& from, const protocol::SlotGrant& grant)
{
    for (const auto& lent : grant.slots()) {
        auto* const held = m_held.findAtKeeper(from, LeaseId(lent.lease()));
        if (!held)
            continue;
        held->isReusable = grant.reusable();
        // With two renewals in flight it is unknown which one this message confirms, so the earlier one counts.
        if (grant.lease_ms() > 0 && held->unconfirmedSince) {
            held->validUntil = *held->unconfirmedSince + m_leaseDuration;
            held->unconfirmedSince.reset();
        }
    }
}

void SlotBorrower::Impl::useOrReturn(HeldSlot held, DemandId demandId)
{
    auto* demand = m_placer.demands().find(demandId);
    const auto key = HeldSlots::keyOf(held.slot);
    if (demand)
        held.purpose = purposeOf(demand->work);
    m_held.add(held);
    const bool isUsable = demand && !isReportedToOtherKeeper(held.slot.target, held.keeper);
    if (isUsable && demand->wanted > 0 && tryBind(*demand, held))
        return;
    // Another job of the team may use the slot when this one no longer needs it.
    demand = isUsable && m_held.find(key) ? m_placer.demands().nextFor(held.purpose, held.slot.target) : nullptr;
    if (demand && tryBind(*demand, held))
        return;
    if (m_held.find(key))
        returnSlot(held, SlotReturns::describe(held.slot, SlotUse::Unused, {}, {}, {}));
}

bool SlotBorrower::Impl::isReportedToOtherKeeper(const TargetId& target, const HostId& keeper) const
{
    const auto report = m_reportRequests.find(target);
    return report != m_reportRequests.end() && report->second.keeper != keeper
        && m_clock.now() < report->second.receivedAt + m_leaseDuration;
}

void SlotBorrower::Impl::handleReportRequest(const HostId& from, const protocol::SlotReport& request)
{
    protocol::Envelope envelope;
    envelope.set_version(protocol::protocolVersion);
    auto& report = *envelope.mutable_slot_report();
    for (const auto& requested : request.slots()) {
        const TargetId target(requested.target());
        m_reportRequests[target] = { from, m_clock.now() };
        for (auto* const held : m_held.onTarget(target)) {
            held->keeper = from;
            held->isReusable = false;
            held->renewedAt = m_clock.now();
            auto* const slot = report.add_slots();
            slot->set_lease(held->slot.lease.value());
            slot->set_target(target.value());
        }
        // The entry with lease 0 states that the report of this target is complete.
        report.add_slots()->set_target(target.value());
    }
    m_hooks.send(from, std::move(envelope));
}

void SlotBorrower::Impl::flush()
{
    m_placer.flush();
    sendReturns(false);
}

void SlotBorrower::Impl::sendReturns(bool isRenewalDue)
{
    for (auto& [keeper, message] : m_returns.take(isRenewalDue)) {
        for (const auto& slot : message.slots()) {
            auto* const held = slot.kept() ? m_held.findAtKeeper(keeper, LeaseId(slot.lease())) : nullptr;
            if (!held)
                continue;
            held->renewedAt = m_clock.now();
            held->unconfirmedSince = held->unconfirmedSince.value_or(held->renewedAt);
        }
        protocol::Envelope envelope;
        envelope.set_version(protocol::protocolVersion);
        *envelope.mutable_slot_return() = std::move(message);
        m_hooks.send(keeper, std::move(envelope));
    }
}

void SlotBorrower::Impl::tick()
{
    const auto now = m_clock.now();
    m_placer.tick();
    m_held.tick(now);
    if (now < m_nextRenewal)
        return;
    m_nextRenewal = now + m_leaseDuration / 4;
    renew();
    sendReturns(true);
    for (auto report = m_reportRequests.begin(); report != m_reportRequests.end();)
        report
            = report->second.receivedAt + m_leaseDuration <= now ? m_reportRequests.erase(report) : std::next(report);
}

void SlotBorrower::Impl::renew()
{
    // Renewing after half a lease leaves two further attempts before the lease ends.
    for (const auto* const held : m_held.all()) {
        if (held->renewedAt + m_leaseDuration / 2 > m_clock.now() || !m_directory.contains(held->keeper))
            continue;
        auto description = SlotReturns::describe(held->slot, SlotUse::Unused, {}, {}, {});
        description.set_kept(true);
        m_returns.add(held->keeper, std::move(description));
    }
}

TimePoint SlotBorrower::Impl::nextWakeup() const
{
    const bool hasRenewals = m_held.size() > 0 || !m_returns.isEmpty();
    return std::min(m_placer.nextWakeup(), hasRenewals ? m_nextRenewal : TimePoint::max());
}

SlotBorrower::Statistics SlotBorrower::Impl::statistics() const
{
    return { m_held.size(), m_placer.demands().openCount(), m_placer.sentCount(), m_slotsReturnedUnused };
}

SlotBorrower::SlotBorrower(Settings settings, Clock& clock, RandomSource& random, Hooks hooks)
    : m_impl(std::make_unique<Impl>(std::move(settings), clock, random, std::move(hooks)))
{
}

SlotBorrower::~SlotBorrower() = default;

void SlotBorrower::setKeepers(std::vector<KeeperOffer> keepers) { m_impl->setKeepers(std::move(keepers)); }

DemandId SlotBorrower::addDemand(const WorkDemand& demand) { return m_impl->addDemand(demand); }

void SlotBorrower::setDemandCount(DemandId demand, std::uint32_t count) { m_impl->setDemandCount(demand, count); }

void SlotBorrower::release(
    const BorrowedSlot& slot, SlotUse use, const WorkKind& kind, Duration runTime, std::chrono::milliseconds declared)
{
    m_impl->release(slot, use, kind, runTime, declared);
}

void SlotBorrower::peerMessage(const HostId& from, const protocol::Envelope& envelope)
{
    m_impl->peerMessage(from, envelope);
}

void SlotBorrower::flush() { m_impl->flush(); }

void SlotBorrower::tick() { m_impl->tick(); }

TimePoint SlotBorrower::nextWakeup() const { return m_impl->nextWakeup(); }

Duration SlotBorrower::expectedWait(const WorkKind& kind) const { return m_impl->expectedWait(kind); }

SlotBorrower::Statistics SlotBorrower::statistics() const { return m_impl->statistics(); }

}
