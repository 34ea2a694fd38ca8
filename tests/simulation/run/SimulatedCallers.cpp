#include "simulation/run/SimulatedCallers.h"

#include "fakes/TaskPayload.h"

#include <algorithm>

namespace rattanroad {

namespace {
    constexpr int maximumAttempts = 5;
    constexpr std::uint32_t largeJob = 40;
}

SimulatedCallers::SimulatedCallers(Fleet& fleet, RandomSource& random)
    : m_fleet(fleet)
    , m_random(random)
{
}

Duration SimulatedCallers::upTo(int milliseconds)
{
    return std::chrono::microseconds(m_random.below(static_cast<std::uint64_t>(milliseconds) * 1000));
}

std::size_t SimulatedCallers::randomHost()
{
    const std::size_t first = m_random.below(m_fleet.hostCount());
    for (std::size_t step = 0; step < m_fleet.hostCount(); step++) {
        const std::size_t host = (first + step) % m_fleet.hostCount();
        if (m_fleet.isAlive(host))
            return host;
    }
    return first;
}

SimulatedCallers::SubmissionPointer SimulatedCallers::create(
    std::size_t host, std::uint32_t tasks, std::uint32_t deadlineMs)
{
    static constexpr const char* repeats[] { "if-not-started", "never", "after-failure" };
    auto submission = std::make_shared<Submission>();
    submission->name = "s" + std::to_string(m_nextSubmission++);
    const auto policy = static_cast<protocol::RepeatPolicy>(m_random.below(3));
    submission->repeat = repeats[policy];
    protocol::JobDescription& job = submission->request.job;
    job.set_team("team");
    job.set_deadline_left_ms(deadlineMs);
    for (std::uint32_t task = 0; task < tasks; task++) {
        protocol::TaskDescription& added = *job.add_tasks();
        added.set_kind("work");
        added.set_repeat(policy);
        const Duration work = std::chrono::milliseconds(20) + upTo(250);
        added.set_declared_ms(100);
        added.set_payload(TaskPayload { submission->name, task, work }.text());
    }
    const double naming = m_random.uniform();
    if (naming < 0.15) {
        job.set_idempotency_key("key-" + submission->name);
    } else if (naming < 0.85) {
        const std::vector<SubmissionId> ids = m_fleet.mintIds(host, 1);
        if (!ids.empty())
            submission->request.submissionId = ids.front();
    }
    return submission;
}

void SimulatedCallers::sendJob()
{
    const std::size_t host = randomHost();
    const bool isLarge = m_random.uniform() < 0.02;
    const std::uint32_t tasks = isLarge ? largeJob : 1 + static_cast<std::uint32_t>(m_random.below(5));
    const SubmissionPointer submission = create(host, tasks, 1000 + static_cast<std::uint32_t>(m_random.below(7000)));
    send(submission, host);
    const bool isNamed = submission->request.submissionId || !submission->request.job.idempotency_key().empty();
    if (isNamed && m_random.uniform() < 0.15)
        m_fleet.queue().after(upTo(400), [this, submission] { send(submission, randomHost()); });
    if (m_random.uniform() < 0.05)
        m_fleet.queue().after(upTo(400), [this, submission] { cancel(submission); });
}

void SimulatedCallers::sendProbe(std::size_t host)
{
    const SubmissionPointer submission = create(host, 3, 8000);
    // Homes of keys refuse for the retention time of 10 minutes after a restart.
    submission->request.job.clear_idempotency_key();
    submission->isProbe = true;
    send(submission, host);
}

void SimulatedCallers::cancelWave()
{
    const std::map<std::string, SubmissionPointer> open = m_open;
    for (const auto& entry : open) {
        if (m_random.uniform() < 0.8)
            cancel(entry.second);
    }
}

void SimulatedCallers::send(const SubmissionPointer& submission, std::size_t host)
{
    submission->attempts++;
    m_open[submission->name] = submission;
    const std::string request = recordInvoked(*submission, host, submission->repeat);
    m_fleet.submit(host, submission->request, [this, submission, request](const JobAnswer* answer) {
        recordAnswered(*submission, request, answer);
        answered(submission, answer);
    });
}

void SimulatedCallers::answered(const SubmissionPointer& submission, const JobAnswer* answer)
{
    if (submission->isProbe && !(answer && answer->isComplete))
        m_failedProbes.push_back(submission->name + ": "
            + (answer ? std::string(name(answer->failure.code)) + ", " + answer->failure.detail : "connection lost"));
    if (answer && answer->isComplete && !submission->isAnswered)
        m_completedJobs++;
    const bool isNamed = submission->request.submissionId || !submission->request.job.idempotency_key().empty();
    const bool mayHelp = !answer || (!answer->isComplete && answer->failure.code != FailureCode::Cancelled);
    const bool wantsMore = isNamed && mayHelp && !submission->isProbe && submission->attempts < maximumAttempts;
    if (answer && answer->isComplete)
        submission->isAnswered = true;
    if (wantsMore && m_random.uniform() < 0.7)
        resendLater(submission);
    else
        m_open.erase(submission->name);
}

void SimulatedCallers::resendLater(const SubmissionPointer& submission)
{
    m_fleet.queue().after(upTo(1500), [this, submission] { send(submission, randomHost()); });
}

void SimulatedCallers::cancel(const SubmissionPointer& submission)
{
    if (!submission->request.submissionId)
        return;
    const std::size_t host = randomHost();
    const std::string request = recordInvoked(*submission, host, "cancel");
    m_fleet.cancel(host, *submission->request.submissionId,
        [this, submission, request](const JobAnswer* answer) { recordAnswered(*submission, request, answer); });
}

std::string SimulatedCallers::recordInvoked(const Submission& submission, std::size_t host, const std::string& repeat)
{
    HistoryEvent event;
    event.kind = HistoryEvent::Kind::Invoked;
    event.host = m_fleet.processName(host);
    event.request = "q" + std::to_string(m_nextRequest++);
    event.submission = submission.name;
    event.taskCount = static_cast<std::uint32_t>(submission.request.job.tasks_size());
    event.repeat = repeat;
    m_unanswered[event.request] = submission.name + " at " + event.host;
    std::string request = event.request;
    m_fleet.record(std::move(event));
    return request;
}

void SimulatedCallers::recordAnswered(const Submission& submission, const std::string& request, const JobAnswer* answer)
{
    m_unanswered.erase(request);
    HistoryEvent event;
    event.kind = answer ? HistoryEvent::Kind::Answered : HistoryEvent::Kind::ConnectionLost;
    event.request = request;
    event.submission = submission.name;
    if (answer) {
        event.isComplete = answer->isComplete;
        event.results = answer->results;
        event.runState = answer->isComplete ? "" : name(answer->failure.runState);
        event.code = answer->isComplete ? "" : name(answer->failure.code);
    }
    m_fleet.record(std::move(event));
}

std::vector<std::string> SimulatedCallers::unanswered() const
{
    std::vector<std::string> lines;
    for (const auto& [request, description] : m_unanswered)
        lines.emplace_back(request).append(" of ").append(description);
    return lines;
}

}
