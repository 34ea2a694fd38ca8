#include "rattanroad_routing/slots/SlotReservations.h"

#include <map>

namespace rattanroad {

SlotReservations::SlotReservations(
    const Clock& clock, TargetPool& pool, LeaseManager& leases, Duration leaseDuration, Send send)
    : m_clock(clock)
    , m_pool(pool)
    , m_leases(leases)
    , m_leaseDuration(leaseDuration)
    , m_send(std::move(send))
{
}

template <typename Predicate> void SlotReservations::stopAwaiting(Predicate isGone)
{
    for (const auto& [id, target] : m_pool.targets()) {
        auto& awaited = target->awaitedReports;
        if (awaited.empty())
            continue;
        for (auto host = awaited.begin(); host != awaited.end();)
            host = isGone(*host) ? awaited.erase(host) : std::next(host);
        m_pool.refresh(*target);
    }
}

void SlotReservations::reserve(const std::vector<KeptTarget*>& added, const std::set<HostId>& live)
{
    stopAwaiting([&](const HostId& host) { return live.count(host) == 0; });
    for (auto* const target : added) {
        target->awaitedReports = live;
        target->reservedUntil = m_clock.now() + m_leaseDuration;
        m_pool.refresh(*target);
    }
    if (!added.empty())
        sendReportRequests();
}

void SlotReservations::handleReport(const HostId& from, const protocol::SlotReport& report)
{
    // Adopts the held slots first, as the entry with lease 0, which completes the report of a target, makes its other
    // slots available.
    for (const auto& slot : report.slots()) {
        auto* const target = m_pool.find(TargetId(slot.target()));
        if (slot.lease() != 0 && target && target->awaitedReports.count(from))
            m_leases.adopt(from, LeaseId(slot.lease()), *target);
    }
    for (const auto& slot : report.slots()) {
        auto* const target = m_pool.find(TargetId(slot.target()));
        if (slot.lease() == 0 && target && target->awaitedReports.erase(from))
            m_pool.refresh(*target);
    }
}

void SlotReservations::hostDied(const HostId& host)
{
    stopAwaiting([&](const HostId& each) { return each == host; });
}

void SlotReservations::tick()
{
    for (const auto& [id, target] : m_pool.targets()) {
        if (!target->isReserved() || m_clock.now() < target->reservedUntil)
            continue;
        target->awaitedReports.clear();
        m_pool.refresh(*target);
    }
    sendReportRequests();
}

void SlotReservations::sendReportRequests()
{
    std::map<HostId, protocol::SlotReport> requests;
    for (const auto& [id, target] : m_pool.targets()) {
        for (const auto& host : target->awaitedReports)
            requests[host].add_slots()->set_target(id.value());
    }
    for (auto& [host, request] : requests) {
        request.set_request(true);
        m_send(host, std::move(request));
    }
}

}
