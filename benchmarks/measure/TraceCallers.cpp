#include "measure/TraceCallers.h"

#include "fakes/TaskPayload.h"

#include <algorithm>

namespace rattanroad {

namespace {
    constexpr int maximumAttempts = 8;
    // Longer than a takeover takes in all attempts together, short against the deadline.
    constexpr Duration resendInterval = std::chrono::milliseconds(500);
}

TraceCallers::TraceCallers(Settings settings, Fleet& fleet, const Trace& trace)
    : m_settings(settings)
    , m_fleet(fleet)
    , m_trace(trace)
    , m_outcomes(trace.jobs.size())
{
}

void TraceCallers::start()
{
    m_startedAt = m_fleet.queue().now();
    for (std::size_t job = 0; job < m_trace.jobs.size(); job++)
        m_fleet.queue().after(m_trace.jobs[job].sentAt, [this, job] { firstSend(job); });
}

// The load balancer sends to the job's host, or else to the next live one of the domain, else to any.
std::size_t TraceCallers::hostFor(std::size_t job, int attempt) const
{
    const std::size_t wanted = m_trace.jobs[job].host;
    const std::vector<Place>& hosts = m_fleet.settings().hosts;
    std::vector<std::size_t> candidates;
    for (std::size_t step = 0; step < hosts.size(); step++) {
        const std::size_t host = (wanted + step) % hosts.size();
        if (m_fleet.isAlive(host))
            candidates.push_back(host);
    }
    std::stable_partition(candidates.begin(), candidates.end(),
        [&](std::size_t host) { return hosts[host].failureDomain == hosts[wanted].failureDomain; });
    return candidates.empty() ? wanted : candidates[static_cast<std::size_t>(attempt) % candidates.size()];
}

protocol::JobDescription TraceCallers::describe(std::size_t job) const
{
    const TraceJob& source = m_trace.jobs[job];
    protocol::JobDescription description;
    description.set_team("team" + std::to_string(source.team));
    description.set_deadline_left_ms(
        static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.deadline).count()));
    const std::string name = "job" + std::to_string(job);
    for (std::uint32_t task = 0; task < source.tasks.size(); task++) {
        protocol::TaskDescription& added = *description.add_tasks();
        added.set_kind("kind" + std::to_string(source.tasks[task].kind));
        added.set_payload(TaskPayload { name, task, source.tasks[task].work }.text());
        added.set_declared_ms(static_cast<std::uint32_t>(source.tasks[task].declared.count()));
    }
    return description;
}

void TraceCallers::firstSend(std::size_t job)
{
    const std::vector<SubmissionId> ids = m_fleet.mintIds(hostFor(job, 0), 1);
    if (ids.empty())
        return finish(job, nullptr);
    send(job, 0, ids.front());
}

void TraceCallers::send(std::size_t job, int attempt, SubmissionId id)
{
    const std::size_t host = hostFor(job, attempt);
    const std::string request = "q" + std::to_string(m_nextRequest++);
    const std::string name = "job" + std::to_string(job);
    HistoryEvent event;
    event.kind = HistoryEvent::Kind::Invoked;
    event.host = m_fleet.processName(host);
    event.request = request;
    event.submission = name;
    event.taskCount = static_cast<std::uint32_t>(m_trace.jobs[job].tasks.size());
    m_fleet.record(std::move(event));
    m_fleet.submit(host, { id, describe(job) }, [this, job, attempt, id, request, name](const JobAnswer* answer) {
        HistoryEvent event;
        event.kind = answer ? HistoryEvent::Kind::Answered : HistoryEvent::Kind::ConnectionLost;
        event.request = request;
        event.submission = name;
        if (answer) {
            event.isComplete = answer->isComplete;
            event.results = answer->results;
            event.runState = answer->isComplete ? "" : rattanroad::name(answer->failure.runState);
            event.code = answer->isComplete ? "" : rattanroad::name(answer->failure.code);
        }
        m_fleet.record(std::move(event));
        answered(job, attempt, id, answer);
    });
}

void TraceCallers::answered(std::size_t job, int attempt, const SubmissionId& id, const JobAnswer* answer)
{
    const bool mayTryAgain = !answer || (!answer->isComplete && answer->failure.code == FailureCode::NotDecidedHere);
    if (!mayTryAgain || attempt + 1 >= maximumAttempts)
        return finish(job, answer);
    m_fleet.queue().after(resendInterval, [this, job, attempt, id] { send(job, attempt + 1, id); });
}

void TraceCallers::finish(std::size_t job, const JobAnswer* answer)
{
    m_answered++;
    Outcome& outcome = m_outcomes[job];
    outcome.answeredAt = sinceStart();
    outcome.isComplete = answer && answer->isComplete;
    outcome.response = sinceStart() - m_trace.jobs[job].sentAt;
    if (answer && !answer->isComplete)
        outcome.failure = answer->failure;
}

}
