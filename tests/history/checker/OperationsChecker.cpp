#include "history/checker/OperationsChecker.h"

#include <algorithm>
#include <limits>

namespace rattanroad {

namespace {

    using Kind = HistoryEvent::Kind;

    // Bounds of section 1.2 of the design page.
    constexpr std::int64_t leavingBoundUs = 3'000'000;
    constexpr std::int64_t configurationBoundUs = 7'000'000;
    constexpr std::int64_t openEnd = std::numeric_limits<std::int64_t>::max();

}

OperationsChecker::OperationsChecker(const History& history)
    : m_history(history)
{
}

std::vector<Violation> OperationsChecker::check()
{
    for (const HistoryEvent& event : m_history.events())
        collect(event);
    for (const auto& entry : m_requests)
        checkShutdown(entry.second);
    for (const auto& [name, process] : m_processes)
        checkRevisions(name, process);
    return std::move(m_violations);
}

void OperationsChecker::collect(const HistoryEvent& event)
{
    switch (event.kind) {
    case Kind::Invoked:
        m_requests[event.request].invoked = &event;
        return;
    case Kind::Answered:
        m_requests[event.request].isAnswered = true;
        return;
    case Kind::Started:
        return collectStart(event);
    case Kind::TargetLeaving:
        m_leavingSince.try_emplace(event.target, event.timeUs);
        return;
    case Kind::TargetActive:
        m_leavingSince.erase(event.target);
        return;
    case Kind::RevisionAccepted:
        m_accepted.push_back(&event);
        return;
    case Kind::RevisionSeen:
        m_processes[event.host].revisions.push_back(&event);
        return;
    case Kind::ShutdownRequested:
        m_processes[event.host].shutdownAt = event.timeUs;
        return;
    case Kind::ProcessStarted:
        return setReachable(m_processes[event.host], event.timeUs, true);
    case Kind::ProcessEnded:
        m_processes[event.host].isGracefullyEnded = event.isSuccess;
        return setReachable(m_processes[event.host], event.timeUs, false);
    case Kind::HostUnreachable:
        return addObstacle(m_processes[event.host], event.timeUs, 1);
    case Kind::HostReachable:
        return addObstacle(m_processes[event.host], event.timeUs, -1);
    case Kind::ConnectionLost:
    case Kind::Ended:
        return;
    }
}

void OperationsChecker::collectStart(const HistoryEvent& event)
{
    const auto found = m_leavingSince.find(event.target);
    if (found == m_leavingSince.end() || event.timeUs - found->second <= leavingBoundUs)
        return;
    report(Guarantee::LeavingTargetGetsNoWork, event.timeUs,
        "a task of " + event.submission + " started on " + event.target + " "
            + std::to_string((event.timeUs - found->second) / 1000) + " ms after it was told to leave");
}

void OperationsChecker::addObstacle(Process& process, std::int64_t time, int change)
{
    process.obstacles += change;
    setReachable(process, time, process.obstacles <= 0);
}

void OperationsChecker::setReachable(Process& process, std::int64_t time, bool isReachable)
{
    std::vector<Interval>& intervals = process.reachable;
    const bool wasReachable = !intervals.empty() && intervals.back().to == openEnd;
    if (isReachable && !wasReachable)
        intervals.push_back({ time, openEnd });
    if (!isReachable && wasReachable)
        intervals.back().to = time;
}

void OperationsChecker::checkShutdown(const Request& request)
{
    if (!request.invoked || request.isAnswered)
        return;
    const Process& process = m_processes[request.invoked->host];
    if (!process.shutdownAt || !process.isGracefullyEnded || request.invoked->timeUs >= *process.shutdownAt)
        return;
    report(Guarantee::GracefulShutdown, *process.shutdownAt,
        "request " + request.invoked->request + " was in progress at the shutdown of " + request.invoked->host
            + " and never answered");
}

void OperationsChecker::checkRevisions(const std::string& name, const Process& process)
{
    std::uint64_t highest = 0;
    for (const HistoryEvent* seen : process.revisions) {
        if (seen->revision < highest)
            report(Guarantee::ConfigurationInForce, seen->timeUs,
                name + " went back from revision " + std::to_string(highest) + " to " + std::to_string(seen->revision));
        highest = std::max(highest, seen->revision);
    }
    for (const HistoryEvent* accepted : m_accepted)
        checkInForce(name, process, *accepted);
}

// The bound counts from when the process could learn of the revision, and only while it can.
void OperationsChecker::checkInForce(const std::string& name, const Process& process, const HistoryEvent& accepted)
{
    const std::int64_t historyEnd = m_history.events().back().timeUs;
    for (const Interval& interval : process.reachable) {
        const std::int64_t due = std::max(interval.from, accepted.timeUs) + configurationBoundUs;
        if (due >= interval.to || due > historyEnd)
            continue;
        const bool isSeen = std::any_of(process.revisions.begin(), process.revisions.end(),
            [&](const HistoryEvent* seen) { return seen->timeUs <= due && seen->revision >= accepted.revision; });
        if (!isSeen)
            return report(Guarantee::ConfigurationInForce, due,
                name + " did not have revision " + std::to_string(accepted.revision) + " in force within 7 s");
    }
}

void OperationsChecker::report(Guarantee guarantee, std::int64_t timeUs, std::string reason)
{
    m_violations.push_back({ guarantee, timeUs, std::move(reason) });
}

}
