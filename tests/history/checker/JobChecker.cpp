#include "history/checker/JobChecker.h"

#include <algorithm>

namespace rattanroad {

namespace {

    using Kind = HistoryEvent::Kind;

    std::string describe(const std::string& submission, std::uint32_t task)
    {
        return "task " + std::to_string(task) + " of " + submission;
    }

    bool isNotRun(const HistoryEvent& answer) { return !answer.isComplete && answer.runState == "not_run"; }

}

JobChecker::JobChecker(const History& history)
    : m_history(history)
{
}

std::vector<Violation> JobChecker::check()
{
    for (const HistoryEvent& event : m_history.events())
        collect(event);
    for (const auto& [task, events] : m_tasks)
        checkStarts(task, events);
    for (const auto& [name, request] : m_requests)
        checkRequest(name, request);
    return std::move(m_violations);
}

void JobChecker::collect(const HistoryEvent& event)
{
    switch (event.kind) {
    case Kind::Invoked:
        m_requests[event.request].invoked = &event;
        m_submissions[event.submission].requests.push_back(event.request);
        return;
    case Kind::Answered:
        m_requests[event.request].answers.push_back(&event);
        return;
    case Kind::Started:
        m_submissions[event.submission].starts.push_back(&event);
        m_tasks[{ event.submission, event.task }].push_back(&event);
        return;
    case Kind::Ended:
        m_tasks[{ event.submission, event.task }].push_back(&event);
        if (event.isSuccess)
            m_results.try_emplace(event.result, TaskId(event.submission, event.task), event.timeUs);
        return;
    default:
        return;
    }
}

// A second start is allowed only where the caller asked for repetition after a failure and the target had already
// reported the failure of the run before.
void JobChecker::checkStarts(const TaskId& task, const std::vector<const HistoryEvent*>& startsAndEnds)
{
    const std::string repeat = repeatOf(task.first);
    const HistoryEvent* running = nullptr;
    bool hasFailed = false;
    for (const HistoryEvent* event : startsAndEnds) {
        if (event->kind == Kind::Ended) {
            hasFailed = !event->isSuccess;
            continue;
        }
        const std::string text
            = describe(task.first, task.second) + " started twice, the second time on " + event->target;
        if (running && repeat == "never")
            report(Guarantee::UnrepeatableAtMostOnce, *event, text + ", though it is unrepeatable");
        else if (running && !(repeat == "after-failure" && hasFailed))
            report(Guarantee::IdempotentSubmission, *event, text);
        running = event;
        hasFailed = false;
    }
}

void JobChecker::checkRequest(const std::string& name, const Request& request)
{
    if (request.answers.empty())
        return;
    const HistoryEvent& first = *request.answers.front();
    if (!request.invoked)
        return report(Guarantee::OwnAnswer, first, "answer to request " + name + ", which nobody sent");
    if (request.answers.size() > 1)
        report(Guarantee::OwnAnswer, *request.answers[1], "request " + name + " was answered twice");
    for (const HistoryEvent* answer : request.answers) {
        if (answer->timeUs < request.invoked->timeUs)
            report(Guarantee::OwnAnswer, *answer, "request " + name + " was answered before it was sent");
        if (!answer->submission.empty() && answer->submission != request.invoked->submission)
            report(Guarantee::OwnAnswer, *answer, "request " + name + " got the answer of " + answer->submission);
        checkResults(*request.invoked, *answer);
        if (isNotRun(*answer))
            checkNotRun(name, *request.invoked, *answer);
    }
}

void JobChecker::checkResults(const HistoryEvent& invoked, const HistoryEvent& answer)
{
    const std::string request = "request " + invoked.request;
    if (!answer.isComplete) {
        if (!answer.results.empty())
            report(Guarantee::CompleteOrFailed, answer, request + " failed but its answer has results");
        return;
    }
    if (answer.results.size() != invoked.taskCount) {
        report(Guarantee::CompleteOrFailed, answer,
            request + " got " + std::to_string(answer.results.size()) + " results for "
                + std::to_string(invoked.taskCount) + " tasks");
        return;
    }
    for (std::uint32_t task = 0; task < answer.results.size(); task++) {
        const auto found = m_results.find(answer.results[task]);
        const std::string text = request + ", " + describe(invoked.submission, task);
        if (found == m_results.end() || found->second.second > answer.timeUs)
            report(Guarantee::CompleteOrFailed, answer, text + ": no target had returned this result");
        else if (found->second.first != TaskId(invoked.submission, task))
            report(Guarantee::OwnAnswer, answer,
                text + ": got the result of " + describe(found->second.first.first, found->second.first.second));
    }
}

void JobChecker::checkNotRun(const std::string& name, const HistoryEvent& invoked, const HistoryEvent& answer)
{
    const Submission& submission = m_submissions[invoked.submission];
    for (const HistoryEvent* start : submission.starts) {
        const std::string text = "request " + name + " was answered \"not run\" (" + answer.code + "), but "
            + describe(invoked.submission, start->task);
        if (start->timeUs <= answer.timeUs)
            return report(Guarantee::NotRunMeansNotRun, answer, text + " had started");
        if (!mayBeCausedByAnother(submission, name, *start))
            return report(Guarantee::NotRunMeansNotRun, *start, text + " started afterwards");
    }
}

// A later start is the doing of another request when that one was sent before the start and not itself told "not run".
bool JobChecker::mayBeCausedByAnother(
    const Submission& submission, const std::string& request, const HistoryEvent& start) const
{
    return std::any_of(submission.requests.begin(), submission.requests.end(), [&](const std::string& other) {
        const Request& candidate = m_requests.at(other);
        const bool isCancellation = candidate.invoked->repeat == "cancel";
        if (other == request || isCancellation || candidate.invoked->timeUs > start.timeUs)
            return false;
        return std::none_of(candidate.answers.begin(), candidate.answers.end(),
            [&](const HistoryEvent* answer) { return isNotRun(*answer) && answer->timeUs < start.timeUs; });
    });
}

std::string JobChecker::repeatOf(const std::string& submission) const
{
    const auto found = m_submissions.find(submission);
    if (found == m_submissions.end() || found->second.requests.empty())
        return {};
    return m_requests.at(found->second.requests.front()).invoked->repeat;
}

void JobChecker::report(Guarantee guarantee, const HistoryEvent& event, std::string reason)
{
    m_violations.push_back({ guarantee, event.timeUs, std::move(reason) });
}

}
