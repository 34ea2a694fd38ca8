#include "rattanroad_routing/slots/SlotBorrower.h"

#include "rattanroad_routing/slots/DemandPlacer.h"
#include "rattanroad_routing/slots/HeldSlots.h"
#include "rattanroad_routing/slots/KeeperDirectory.h"
#include "rattanroad_routing/slots/SlotReturns.h"

#include <algorithm>
#include <optional>

namespace rattanroad {

namespace {

    // Until a grant has told it.
    constexpr Duration usualLease = std::chrono::seconds(2);

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
    void release(
        const BorrowedSlot& slot, SlotUse use, const WorkKind& kind, Duration ran, std::chrono::milliseconds declared);
    void peerMessage(const HostId& from, const protocol::Envelope& envelope);
    void flush();
    void tick();
    TimePoint nextWakeup() const;
    Duration expectedWait(const WorkKind& kind) const { return m_directory.expectedWait(kind); }
    Statistics statistics() const;

private:
    struct Report {
        HostId keeper;
        TimePoint at;
    };

    void handleGrant(const HostId& from, const protocol::SlotGrant& grant);
    void handleReportRequest(const HostId& from, const protocol::SlotReport& request);
    void confirm(const HostId& from, const protocol::SlotGrant& grant);
    bool isReportedToAnother(const TargetId& target, const HostId& keeper) const;
    void useOrReturn(HeldSlot held, DemandId askedBy);
    bool bind(OpenDemand& demand, const HeldSlot& held);
    bool reuse(const HeldSlot& held);
    void returnSlot(const HeldSlot& held, protocol::ReturnedSlot description);
    void sendReturns(bool isKeptDue);
    void renew();

    const Settings m_settings;
    Clock& m_clock;
    const Hooks m_hooks;
    KeeperDirectory m_directory;
    DemandPlacer m_placer;
    HeldSlots m_held;
    SlotReturns m_returns;
    // Keepers that asked for a report; a late grant of the earlier keeper would exceed the limit of the target.
    std::map<TargetId, Report> m_reports;
    Duration m_lease { usualLease };
    TimePoint m_nextRenewal;
    std::uint64_t m_slotsReturnedUnused { 0 };
};

void SlotBorrower::Impl::setKeepers(std::vector<KeeperOffer> keepers)
{
    m_directory.set(std::move(keepers));
    m_placer.keepersChanged();
}

void SlotBorrower::Impl::release(
    const BorrowedSlot& slot, SlotUse use, const WorkKind& kind, Duration ran, std::chrono::milliseconds declared)
{
    const auto key = HeldSlots::keyOf(slot);
    const auto* const found = m_held.find(key);
    if (!found)
        return;
    const HeldSlot held = *found;
    auto description = SlotReturns::describe(slot, use, kind, ran, declared);
    if (use == SlotUse::Succeeded) {
        m_directory.recordRun(kind, ran);
        if (reuse(held)) {
            description.set_kept(true);
            m_returns.add(held.keeper, std::move(description));
            return;
        }
    }
    // Not when the engine has ended the slot inside the hook.
    if (m_held.find(key))
        returnSlot(held, std::move(description));
}

bool SlotBorrower::Impl::reuse(const HeldSlot& held)
{
    // Half a lease of certain validity is left, so that a task under 1 s ends in time even if all renewals are lost.
    const bool isValid = m_clock.now() + m_lease / 2 <= held.validUntil;
    if (!held.isReusable || !isValid || !m_directory.contains(held.keeper))
        return false;
    auto* const next = m_placer.demands().nextFor(held.purpose, held.slot.target);
    return next && bind(*next, held);
}

bool SlotBorrower::Impl::bind(OpenDemand& demand, const HeldSlot& held)
{
    auto& demands = m_placer.demands();
    const auto id = demand.id;
    const auto revision = demand.revision;
    demands.setWanted(demand, demand.wanted - 1);
    if (m_hooks.bind(id, held.slot))
        return true;
    auto* const left = demands.find(id);
    if (!left || left->revision != revision)
        return false;
    // The engine still wants a slot but not this one: the target must not be offered over and over.
    demands.setWanted(*left, left->wanted + 1);
    left->work.excludedTargets.insert(held.slot.target);
    return false;
}

void SlotBorrower::Impl::returnSlot(const HeldSlot& held, protocol::ReturnedSlot description)
{
    if (description.use() == protocol::ReturnedSlot::UNUSED)
        ++m_slotsReturnedUnused;
    m_held.end(HeldSlots::keyOf(held.slot), m_clock.now() + m_lease);
    m_directory.correct(held.keeper, std::get<WorkKind>(held.purpose), -1);
    if (m_directory.contains(held.keeper))
        m_returns.add(held.keeper, std::move(description));
}

void SlotBorrower::Impl::peerMessage(const HostId& from, const protocol::Envelope& envelope)
{
    m_directory.heardFrom(from);
    if (envelope.has_slot_grant())
        handleGrant(from, envelope.slot_grant());
    else if (envelope.has_slot_report() && envelope.slot_report().request())
        handleReportRequest(from, envelope.slot_report());
}

void SlotBorrower::Impl::handleGrant(const HostId& from, const protocol::SlotGrant& grant)
{
    if (grant.demand() == 0) {
        confirm(from, grant);
        return;
    }
    if (grant.lease_ms() > 0)
        m_lease = std::chrono::milliseconds(grant.lease_ms());
    std::vector<HeldSlot> slots;
    for (const auto& lent : grant.slots()) {
        HeldSlot held;
        held.slot = { from, LeaseId(lent.lease()), TargetId(lent.target()), lent.relative_speed() };
        held.keeper = from;
        held.renewedAt = m_clock.now();
        held.validUntil = held.renewedAt + m_lease;
        held.isReusable = grant.reusable();
        if (!m_held.isKnown(HeldSlots::keyOf(held.slot)))
            slots.push_back(std::move(held));
    }
    auto* const ask = m_placer.demands().findAsk(grant.demand());
    const bool isExpected = ask && ask->keeper == from;
    const auto demandId = isExpected ? ask->demand : DemandId();
    if (grant.has_offer())
        m_directory.update(from, grant.offer());
    if (isExpected && grant.refused())
        m_placer.refused(*ask, protocol::fromMessage(grant.reason()));
    else if (isExpected)
        m_placer.answered(*ask, static_cast<std::uint32_t>(slots.size()));
    for (auto& held : slots)
        useOrReturn(std::move(held), demandId);
}

void SlotBorrower::Impl::confirm(const HostId& from, const protocol::SlotGrant& grant)
{
    for (const auto& lent : grant.slots()) {
        auto* const held = m_held.findAtKeeper(from, LeaseId(lent.lease()));
        if (!held)
            continue;
        held->isReusable = grant.reusable();
        // With two renewals under way the earlier one counts, whichever of them this message confirms.
        if (grant.lease_ms() > 0 && held->unconfirmedSince) {
            held->validUntil = *held->unconfirmedSince + m_lease;
            held->unconfirmedSince.reset();
        }
    }
}

void SlotBorrower::Impl::useOrReturn(HeldSlot held, DemandId askedBy)
{
    auto* demand = m_placer.demands().find(askedBy);
    const auto key = HeldSlots::keyOf(held.slot);
    if (demand)
        held.purpose = purposeOf(demand->work);
    m_held.add(held);
    const bool isUsable = demand && !isReportedToAnother(held.slot.target, held.keeper);
    if (isUsable && demand->wanted > 0 && bind(*demand, held))
        return;
    // Another job of the team may use what this one does not need any more.
    demand = isUsable && m_held.find(key) ? m_placer.demands().nextFor(held.purpose, held.slot.target) : nullptr;
    if (demand && bind(*demand, held))
        return;
    if (m_held.find(key))
        returnSlot(held, SlotReturns::describe(held.slot, SlotUse::Unused, {}, {}, {}));
}

bool SlotBorrower::Impl::isReportedToAnother(const TargetId& target, const HostId& keeper) const
{
    const auto report = m_reports.find(target);
    return report != m_reports.end() && report->second.keeper != keeper && m_clock.now() < report->second.at + m_lease;
}

void SlotBorrower::Impl::handleReportRequest(const HostId& from, const protocol::SlotReport& request)
{
    protocol::Envelope envelope;
    envelope.set_version(protocol::protocolVersion);
    auto& report = *envelope.mutable_slot_report();
    for (const auto& asked : request.slots()) {
        const TargetId target(asked.target());
        m_reports[target] = { from, m_clock.now() };
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

void SlotBorrower::Impl::sendReturns(bool isKeptDue)
{
    for (auto& [keeper, message] : m_returns.take(isKeptDue)) {
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
    m_nextRenewal = now + m_lease / 4;
    renew();
    sendReturns(true);
    for (auto report = m_reports.begin(); report != m_reports.end();)
        report = report->second.at + m_lease <= now ? m_reports.erase(report) : std::next(report);
}

void SlotBorrower::Impl::renew()
{
    // Half a lease leaves two further attempts before the lease ends.
    for (const auto* const held : m_held.all()) {
        if (held->renewedAt + m_lease / 2 > m_clock.now() || !m_directory.contains(held->keeper))
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
    const BorrowedSlot& slot, SlotUse use, const WorkKind& kind, Duration ran, std::chrono::milliseconds declared)
{
    m_impl->release(slot, use, kind, ran, declared);
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
