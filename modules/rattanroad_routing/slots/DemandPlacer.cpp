#include "rattanroad_routing/slots/DemandPlacer.h"

#include <algorithm>

namespace rattanroad {

namespace {

    // A queued request is withdrawn and placed again after this many demand timeouts, in case its grant was lost. Lost
    // grants are rare and each replacement costs messages, so the interval is long.
    constexpr int timeoutsUntilRefresh = 60;
    // Keepers that refused a demand are tried again after this many demand timeouts.
    constexpr int timeoutsUntilRetry = 20;
    // A keeper that did not answer is skipped for this many demand timeouts.
    constexpr int timeoutsSuspected = 10;
    // A demand fails after all keepers have refused it this many times. One round is not enough, as targets change
    // keepers when hosts join or leave.
    constexpr std::uint32_t refusedRoundsUntilFinal = 2;
    // A queued request moves to keepers with free slots after baseMoveDelay plus moveDelayPerWasteWeight times
    // Settings::wasteWeight, as a move costs up to three messages. The delay doubles with each move: free slots that
    // are taken on arrival show that the load changes faster than it is advertised.
    constexpr std::chrono::duration<double> baseMoveDelay = std::chrono::milliseconds(5);
    constexpr std::chrono::duration<double> moveDelayPerWasteWeight = std::chrono::milliseconds(500);
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
    while (!demand.requests.empty())
        withdraw(demand.requests.begin()->second);
    m_unplaced.erase(demand.id);
    m_demands.erase(demand.id);
}

void DemandPlacer::withdraw(SlotRequest& request)
{
    m_directory.addRequested(
        request.keeper, m_demands.find(request.demand)->work.kind, -static_cast<std::int64_t>(request.outstanding()));
    if (m_directory.contains(request.keeper))
        m_withdrawals.emplace_back(request.keeper, request.number);
    endRequest(request);
}

void DemandPlacer::endRequest(SlotRequest& request)
{
    if (!request.isAnswered)
        m_directory.addInFlight(request.keeper, m_demands.find(request.demand)->work.kind,
            -static_cast<std::int64_t>(request.outstanding()));
    m_queuedRequests.erase(request.number);
    m_demands.eraseRequest(request);
}

void DemandPlacer::handleRefusal(SlotRequest& request, const Failure& reason)
{
    auto& demand = *m_demands.find(request.demand);
    demand.refusedBy.insert(request.keeper);
    // NoEligibleTarget holds for the whole fleet and outranks the refusal of a keeper that has no such target itself.
    if (demand.refusal.code != FailureCode::NoEligibleTarget)
        demand.refusal = reason;
    endRequest(request);
}

void DemandPlacer::handleAnswer(SlotRequest& request, std::uint32_t slots)
{
    auto& demand = *m_demands.find(request.demand);
    if (!request.isAnswered)
        m_directory.addInFlight(request.keeper, demand.work.kind, -static_cast<std::int64_t>(request.outstanding()));
    request.isAnswered = true;
    request.received += slots;
    if (slots > 0)
        demand.refusedRounds = 0;
    if (request.outstanding() == 0) {
        endRequest(request);
        return;
    }
    m_queuedRequests.insert(request.number);
    m_demands.setDueTime(request, m_clock.now() + m_settings.demandTimeout * timeoutsUntilRefresh);
}

void DemandPlacer::handleKeeperChange()
{
    const auto lost
        = m_demands.requestsWhere([&](const SlotRequest& request) { return !m_directory.contains(request.keeper); });
    for (const auto number : lost)
        endRequest(*m_demands.findRequest(number));
    for (const auto id : m_unplaced)
        m_demands.markChanged(id);
}

void DemandPlacer::flush()
{
    // Hooks::refused may change demands; these changes are handled by the next flush.
    for (const auto id : m_demands.takeChanged()) {
        if (auto* const demand = m_demands.find(id))
            adjustRequests(*demand);
    }
    moveQueuedRequests();
    sendWithdrawals();
}

void DemandPlacer::adjustRequests(OpenDemand& demand)
{
    if (demand.wanted == 0) {
        remove(demand);
        return;
    }
    const auto outstanding = demand.outstanding();
    if (outstanding > demand.wanted)
        withdrawSurplus(demand, outstanding - demand.wanted);
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
        auto& request = m_demands.addRequest(demand, share.keeper, share.count);
        request.sentAt = m_clock.now();
        m_demands.setDueTime(request, request.sentAt + m_settings.demandTimeout);
        m_directory.addInFlight(share.keeper, demand.work.kind, share.count);
    }
    sendRequests(demand);
}

void DemandPlacer::withdrawSurplus(OpenDemand& demand, std::uint32_t surplus)
{
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, request] : demand.requests)
        numbers.push_back(number);
    // The newest requests are the least likely to be granted soon.
    for (auto number = numbers.rbegin(); number != numbers.rend() && surplus > 0; ++number) {
        auto& request = demand.requests.at(*number);
        const auto count = std::min(surplus, request.outstanding());
        surplus -= count;
        reduceRequest(demand, request, count);
    }
    sendRequests(demand);
}

void DemandPlacer::reduceRequest(OpenDemand& demand, SlotRequest& request, std::uint32_t count)
{
    if (count >= request.outstanding()) {
        withdraw(request);
        return;
    }
    const auto change = -static_cast<std::int64_t>(count);
    m_directory.addRequested(request.keeper, demand.work.kind, change);
    if (!request.isAnswered)
        m_directory.addInFlight(request.keeper, demand.work.kind, change);
    request.count -= count;
    request.isUnsent = true;
}

void DemandPlacer::moveQueuedRequests()
{
    if (m_queuedRequests.empty())
        return;
    const auto now = m_clock.now();
    // Iterates over a copy, as moving a request may erase it from the set.
    const std::vector<std::uint64_t> queued(m_queuedRequests.begin(), m_queuedRequests.end());
    for (const auto number : queued) {
        auto& request = *m_demands.findRequest(number);
        auto& demand = *m_demands.find(request.demand);
        const auto delay = std::chrono::duration_cast<Duration>(
            (baseMoveDelay + moveDelayPerWasteWeight * m_settings.wasteWeight) * (1U << demand.moveCount));
        if (now < std::max(request.sentAt, demand.movedAt) + delay)
            continue;
        const auto free = m_directory.freeElsewhere(demand.work.kind, request.keeper, demand.refusedBy);
        if (free == 0)
            continue;
        demand.movedAt = now;
        demand.moveCount = std::min(demand.moveCount + 1, maximumMoveDoublings);
        reduceRequest(demand, request, std::min(free, request.outstanding()));
        adjustRequests(demand);
        sendRequests(demand);
    }
}

void DemandPlacer::giveUpOrRetry(OpenDemand& demand)
{
    m_unplaced.insert(demand.id);
    if (m_directory.isEmpty() || m_clock.now() < demand.retryAt)
        return;
    ++demand.refusedRounds;
    const bool isFinal = demand.refusal.code == FailureCode::NoEligibleTarget;
    if (!isFinal && demand.refusedRounds < refusedRoundsUntilFinal) {
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

void DemandPlacer::sendRequests(OpenDemand& demand)
{
    for (auto& [number, request] : demand.requests) {
        if (!request.isUnsent)
            continue;
        request.isUnsent = false;
        auto envelope = newEnvelope();
        auto& message = *envelope.mutable_slot_demand();
        message.set_demand(number);
        message.set_kind(demand.work.kind.value());
        message.set_team(demand.work.team.value());
        message.set_priority(demand.work.priority);
        message.set_count(request.count);
        message.set_age_ms(milliseconds(m_clock.now() - demand.work.arrivedAt));
        message.set_declared_ms(milliseconds(demand.work.declared));
        message.set_memory_mb(static_cast<std::uint32_t>(demand.work.needs.memory.value()));
        message.set_cores(demand.work.needs.cores);
        message.set_accelerators(demand.work.needs.accelerators);
        for (const auto& target : demand.work.excludedTargets)
            message.add_excluded_targets(target.value());
        ++m_sentCount;
        m_hooks.send(request.keeper, std::move(envelope));
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
    while (auto* const request = m_demands.firstDue(m_clock.now()))
        handleDueRequest(*request);
    retryRefused();
}

void DemandPlacer::handleDueRequest(SlotRequest& request)
{
    // A keeper does not acknowledge a queued demand when another message of it shows that it is alive.
    if (!request.isAnswered && m_directory.hasMessageSince(request.keeper, request.sentAt)) {
        handleAnswer(request, 0);
        return;
    }
    if (!request.isAnswered)
        m_directory.markSuspect(request.keeper, m_clock.now() + m_settings.demandTimeout * timeoutsSuspected);
    withdraw(request);
}

void DemandPlacer::retryRefused()
{
    for (const auto id : m_unplaced) {
        auto& demand = *m_demands.find(id);
        if (demand.refusedBy.empty() || m_clock.now() < demand.retryAt)
            continue;
        demand.refusedBy.clear();
        m_demands.markChanged(id);
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
