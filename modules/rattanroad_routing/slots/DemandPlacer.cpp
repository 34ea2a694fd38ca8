#include "rattanroad_routing/slots/DemandPlacer.h"

#include <algorithm>

namespace rattanroad {

namespace {

    // A queued ask is placed anew after this many timeouts, which repairs lost grants; losses are rare, and each repair
    // costs messages.
    constexpr int timeoutsUntilRefresh = 60;
    // Keepers that refused are asked again after this many timeouts.
    constexpr int timeoutsUntilRetry = 20;
    // A keeper that did not answer is passed over for this many timeouts.
    constexpr int timeoutsSuspected = 10;
    // Refusals of all keepers are believed at the second time, as keepers change targets when hosts come and go.
    constexpr std::uint32_t refusedRoundsBelieved = 2;
    // A demand waits this long before it moves to keepers with free slots, per unit of the weight of wasted messages;
    // doubled with each move, as free slots that are gone on arrival show that the load changes faster than it is
    // stated. A move costs up to three messages.
    constexpr std::chrono::duration<double> firstMovePause = std::chrono::milliseconds(5);
    constexpr std::chrono::duration<double> wasteMovePause = std::chrono::milliseconds(500);
    constexpr std::uint32_t maximumMoveDoublings = 6;

    protocol::Envelope newEnvelope()
    {
        protocol::Envelope envelope;
        envelope.set_version(protocol::protocolVersion);
        return envelope;
    }

    std::uint32_t milliseconds(Duration duration)
    {
        const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
        return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, UINT32_MAX));
    }

}

DemandPlacer::DemandPlacer(const SlotBorrower::Settings& settings, const Clock& clock, KeeperDirectory& directory,
    const SlotBorrower::Hooks& hooks)
    : m_settings(settings)
    , m_clock(clock)
    , m_directory(directory)
    , m_hooks(hooks)
{
}

void DemandPlacer::setCount(DemandId id, std::uint32_t count)
{
    auto* const demand = m_demands.find(id);
    if (!demand)
        return;
    ++demand->revision;
    if (count == 0)
        remove(*demand);
    else if (count != demand->wanted)
        m_demands.setWanted(*demand, count);
}

void DemandPlacer::remove(OpenDemand& demand)
{
    while (!demand.asks.empty())
        withdraw(demand.asks.begin()->second);
    m_unplaced.erase(demand.id);
    m_demands.erase(demand.id);
}

void DemandPlacer::withdraw(Ask& ask)
{
    m_directory.correct(
        ask.keeper, m_demands.find(ask.demand)->work.kind, -static_cast<std::int64_t>(ask.outstanding()));
    if (m_directory.contains(ask.keeper))
        m_withdrawals.emplace_back(ask.keeper, ask.number);
    endAsk(ask);
}

void DemandPlacer::endAsk(Ask& ask)
{
    if (!ask.isAnswered)
        m_directory.addInFlight(
            ask.keeper, m_demands.find(ask.demand)->work.kind, -static_cast<std::int64_t>(ask.outstanding()));
    m_queued.erase(ask.number);
    m_demands.eraseAsk(ask);
}

void DemandPlacer::refused(Ask& ask, const Failure& reason)
{
    auto& demand = *m_demands.find(ask.demand);
    demand.refusedBy.insert(ask.keeper);
    // The fleet-wide reason says more than that of a keeper that merely has no such target.
    if (demand.refusal.code != FailureCode::NoEligibleTarget)
        demand.refusal = reason;
    endAsk(ask);
}

void DemandPlacer::answered(Ask& ask, std::uint32_t slots)
{
    auto& demand = *m_demands.find(ask.demand);
    if (!ask.isAnswered)
        m_directory.addInFlight(ask.keeper, demand.work.kind, -static_cast<std::int64_t>(ask.outstanding()));
    ask.isAnswered = true;
    ask.received += slots;
    if (slots > 0)
        demand.refusedRounds = 0;
    if (ask.outstanding() == 0) {
        endAsk(ask);
        return;
    }
    m_queued.insert(ask.number);
    m_demands.setDue(ask, m_clock.now() + m_settings.demandTimeout * timeoutsUntilRefresh);
}

void DemandPlacer::keepersChanged()
{
    const auto lost = m_demands.asksWhere([&](const Ask& ask) { return !m_directory.contains(ask.keeper); });
    for (const auto number : lost)
        endAsk(*m_demands.findAsk(number));
    for (const auto id : m_unplaced)
        m_demands.setChanged(id);
}

void DemandPlacer::flush()
{
    // Hooks::refused may change demands, which then wait for the next flush.
    for (const auto id : m_demands.takeChanged()) {
        if (auto* const demand = m_demands.find(id))
            adjust(*demand);
    }
    moveQueued();
    sendWithdrawals();
}

void DemandPlacer::adjust(OpenDemand& demand)
{
    if (demand.wanted == 0) {
        remove(demand);
        return;
    }
    const auto outstanding = demand.outstanding();
    if (outstanding > demand.wanted)
        reduce(demand, outstanding - demand.wanted);
    else if (outstanding < demand.wanted)
        place(demand, demand.wanted - outstanding);
}

void DemandPlacer::place(OpenDemand& demand, std::uint32_t missing)
{
    const auto shares = m_directory.divide(demand.work.kind, missing, demand.refusedBy);
    if (shares.empty()) {
        giveUpOrRetry(demand);
        return;
    }
    m_unplaced.erase(demand.id);
    for (const auto& share : shares) {
        auto& ask = m_demands.addAsk(demand, share.keeper, share.count);
        ask.sentAt = m_clock.now();
        m_demands.setDue(ask, ask.sentAt + m_settings.demandTimeout);
        m_directory.addInFlight(share.keeper, demand.work.kind, share.count);
    }
    sendAsks(demand);
}

void DemandPlacer::reduce(OpenDemand& demand, std::uint32_t surplus)
{
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, ask] : demand.asks)
        numbers.push_back(number);
    // The newest asks have the least chance to be granted soon.
    for (auto number = numbers.rbegin(); number != numbers.rend() && surplus > 0; ++number) {
        auto& ask = demand.asks.at(*number);
        const auto count = std::min(surplus, ask.outstanding());
        surplus -= count;
        cut(demand, ask, count);
    }
    sendAsks(demand);
}

void DemandPlacer::cut(OpenDemand& demand, Ask& ask, std::uint32_t count)
{
    if (count >= ask.outstanding()) {
        withdraw(ask);
        return;
    }
    const auto change = -static_cast<std::int64_t>(count);
    m_directory.correct(ask.keeper, demand.work.kind, change);
    if (!ask.isAnswered)
        m_directory.addInFlight(ask.keeper, demand.work.kind, change);
    ask.count -= count;
    ask.isUnsent = true;
}

void DemandPlacer::moveQueued()
{
    if (m_queued.empty())
        return;
    const auto now = m_clock.now();
    // A copy, as moving an ask ends it.
    const std::vector<std::uint64_t> queued(m_queued.begin(), m_queued.end());
    for (const auto number : queued) {
        auto& ask = *m_demands.findAsk(number);
        auto& demand = *m_demands.find(ask.demand);
        const auto pause = std::chrono::duration_cast<Duration>(
            (firstMovePause + wasteMovePause * m_settings.wasteWeight) * (1U << demand.moves));
        if (now < std::max(ask.sentAt, demand.movedAt) + pause)
            continue;
        const auto free = m_directory.freeElsewhere(demand.work.kind, ask.keeper, demand.refusedBy);
        if (free == 0)
            continue;
        demand.movedAt = now;
        demand.moves = std::min(demand.moves + 1, maximumMoveDoublings);
        cut(demand, ask, std::min(free, ask.outstanding()));
        adjust(demand);
        sendAsks(demand);
    }
}

void DemandPlacer::giveUpOrRetry(OpenDemand& demand)
{
    m_unplaced.insert(demand.id);
    if (m_directory.isEmpty() || m_clock.now() < demand.retryAt)
        return;
    ++demand.refusedRounds;
    const bool isFinal = demand.refusal.code == FailureCode::NoEligibleTarget;
    if (!isFinal && demand.refusedRounds < refusedRoundsBelieved) {
        demand.retryAt = m_clock.now() + m_settings.demandTimeout * timeoutsUntilRetry;
        return;
    }
    Failure reason = demand.refusal;
    if (reason.code == FailureCode::NotFound)
        reason.code = FailureCode::NoEligibleTarget;
    const auto id = demand.id;
    remove(demand);
    m_hooks.refused(id, reason);
}

void DemandPlacer::sendAsks(OpenDemand& demand)
{
    for (auto& [number, ask] : demand.asks) {
        if (!ask.isUnsent)
            continue;
        ask.isUnsent = false;
        auto envelope = newEnvelope();
        auto& message = *envelope.mutable_slot_demand();
        message.set_demand(number);
        message.set_kind(demand.work.kind.value());
        message.set_team(demand.work.team.value());
        message.set_priority(demand.work.priority);
        message.set_count(ask.count);
        message.set_age_ms(milliseconds(m_clock.now() - demand.work.arrivedAt));
        message.set_declared_ms(milliseconds(demand.work.declared));
        message.set_memory_mb(static_cast<std::uint32_t>(demand.work.needs.memory.value()));
        message.set_cores(demand.work.needs.cores);
        message.set_accelerators(demand.work.needs.accelerators);
        for (const auto& target : demand.work.excludedTargets)
            message.add_excluded_targets(target.value());
        ++m_sentCount;
        m_hooks.send(ask.keeper, std::move(envelope));
    }
}

void DemandPlacer::sendWithdrawals()
{
    for (const auto& [keeper, number] : std::exchange(m_withdrawals, {})) {
        auto envelope = newEnvelope();
        envelope.mutable_slot_demand()->set_demand(number);
        ++m_sentCount;
        m_hooks.send(keeper, std::move(envelope));
    }
}

void DemandPlacer::tick()
{
    while (auto* const ask = m_demands.firstDue(m_clock.now()))
        leaveOrRefresh(*ask);
    retryRefused();
}

void DemandPlacer::leaveOrRefresh(Ask& ask)
{
    // A keeper that sends other messages has the demand in its queue and need not say so.
    if (!ask.isAnswered && m_directory.isHeardSince(ask.keeper, ask.sentAt)) {
        answered(ask, 0);
        return;
    }
    if (!ask.isAnswered)
        m_directory.suspect(ask.keeper, m_clock.now() + m_settings.demandTimeout * timeoutsSuspected);
    withdraw(ask);
}

void DemandPlacer::retryRefused()
{
    for (const auto id : m_unplaced) {
        auto& demand = *m_demands.find(id);
        if (demand.refusedBy.empty() || m_clock.now() < demand.retryAt)
            continue;
        demand.refusedBy.clear();
        m_demands.setChanged(id);
    }
}

TimePoint DemandPlacer::nextWakeup() const
{
    auto wakeup = m_demands.firstDueTime().value_or(TimePoint::max());
    for (const auto id : m_unplaced) {
        const auto& demand = *m_demands.find(id);
        if (!demand.refusedBy.empty())
            wakeup = std::min(wakeup, demand.retryAt);
    }
    return wakeup;
}

}
