#include "rattanroad_dispatch/engine/SubmissionRouter.h"

#include <cassert>

namespace rattanroad {

namespace {

    // A request crosses at most: the host it entered, the owner named by the id, and the host that took over.
    constexpr std::uint32_t maximumHops = 3;

    bool isSubmission(Forwarder::Kind kind)
    {
        return kind == Forwarder::Kind::Submission || kind == Forwarder::Kind::AsynchronousSubmission;
    }

    Failure mismatch()
    {
        return { FailureCode::SubmissionMismatch, RunState::NotRun,
            "the submission id or key was used before with another job" };
    }

}

SubmissionRouter::SubmissionRouter(Dependencies dependencies, Hooks hooks)
    : m_dependencies(dependencies)
    , m_hooks(std::move(hooks))
{
}

void SubmissionRouter::answerFailure(const Request& request, Failure failure)
{
    JobAnswer answer;
    answer.submissionId = request.job.submissionId;
    answer.failure = std::move(failure);
    request.answer(answer);
}

void SubmissionRouter::route(Request request)
{
    assert(request.job.submissionId);
    const auto& id = *request.job.submissionId;
    // A job that is being failed is sealed in the ledger before its answer is final; the runner knows it longer.
    if (m_dependencies.runner.isActive(id))
        return routeActive(std::move(request));
    const auto standing = m_dependencies.ledger.standing(id);
    switch (standing.kind) {
    case Standing::Kind::New:
        return routeNew(std::move(request));
    case Standing::Kind::Active:
        return routeActive(std::move(request));
    case Standing::Kind::Sealed:
        return routeSealed(request);
    case Standing::Kind::Expired:
        return answerFailure(request,
            { FailureCode::SubmissionExpired, RunState::OutcomeUnknown,
                "the submission is older than the retention time" });
    case Standing::Kind::Elsewhere:
        return routeElsewhere(std::move(request), standing.host);
    case Standing::Kind::Pending:
        m_waiting.emplace(id.segment, std::move(request));
        return;
    case Standing::Kind::Undecided:
        return answerFailure(request, standing.reason);
    }
}

AdmissionControl::Context SubmissionRouter::admissionContext(const protocol::JobDescription& job) const
{
    AdmissionControl::Context context;
    context.isDraining = m_hooks.isDraining();
    context.recentWait = m_dependencies.queueWaitEstimator.recentWait();
    // The keepers' advertised waits are not used here: until a kind has been measured they rest on an assumed run time,
    // and a first burst of very short tasks was refused for it.
    context.queueWait
        = m_dependencies.queueWaitEstimator.expectedWait(m_dependencies.admission.queuedTasks()).value_or(Duration(0));
    for (const auto& task : job.tasks()) {
        const WorkKind kind(task.kind());
        const auto run
            = m_dependencies.runTimeEstimator.expectedRunTime(kind, std::chrono::milliseconds(task.declared_ms()));
        context.longestRunTime = std::max(context.longestRunTime, run);
    }
    return context;
}

void SubmissionRouter::routeNew(Request request)
{
    if (request.kind == Kind::Cancel)
        return cancelNew(request);
    // A submission may be on its way, so the absence of a job is no final word.
    if (request.kind == Kind::Query)
        return answerFailure(request,
            { FailureCode::NotFound, RunState::OutcomeUnknown, "no job has been submitted with this id so far" });
    const auto inventory = m_hooks.inventory();
    if (!inventory) {
        ++m_jobsRefused;
        return answerFailure(
            request, { FailureCode::ConfigurationMissing, RunState::NotRun, "this host has no configuration yet" });
    }
    if (const auto refusal
        = m_dependencies.admission.checkAdmission(request.job.job, *inventory, admissionContext(request.job.job))) {
        ++m_jobsRefused;
        return answerFailure(request, *refusal);
    }
    ++m_jobsAccepted;
    const auto id = *request.job.submissionId;
    m_dependencies.ledger.accept(id, request.job.job);
    if (request.kind == Kind::Submission)
        return m_dependencies.runner.run(id, std::move(request.job.job), std::move(request.answer));
    m_dependencies.runner.run(id, std::move(request.job.job), {});
    JobAnswer accepted;
    accepted.submissionId = id;
    accepted.isInProgress = true;
    request.answer(accepted);
}

void SubmissionRouter::cancelNew(const Request& request)
{
    // Sealing makes the answer final: a submission that was delayed on its way is refused when it arrives.
    const auto id = *request.job.submissionId;
    JobAnswer answer;
    answer.submissionId = id;
    answer.failure = { FailureCode::Cancelled, RunState::NotRun, "the submission was cancelled before it arrived" };
    m_dependencies.answers.insert(id, answer);
    m_dependencies.ledger.seal(id, false, answer.failure, [request, answer](bool isSealed) mutable {
        if (!isSealed)
            answer.failure.runState = RunState::OutcomeUnknown;
        request.answer(answer);
    });
}

void SubmissionRouter::routeActive(Request request)
{
    const auto id = *request.job.submissionId;
    if (request.kind == Kind::Query || request.kind == Kind::AsynchronousSubmission) {
        JobAnswer answer;
        answer.submissionId = id;
        answer.isInProgress = true;
        return request.answer(answer);
    }
    if (request.kind == Kind::Submission) {
        if (!m_dependencies.runner.isSameJob(id, request.job.job))
            return answerFailure(request, mismatch());
        ++m_jobsJoined;
    }
    if (!m_dependencies.runner.join(id, request.answer))
        return answerFailure(request,
            { FailureCode::OutcomeUnknown, RunState::OutcomeUnknown, "the job is no longer active on this host" });
    if (request.kind == Kind::Cancel)
        m_dependencies.runner.cancel(id);
}

void SubmissionRouter::routeSealed(const Request& request)
{
    const auto answer = m_dependencies.answers.find(*request.job.submissionId);
    if (!answer)
        return answerFailure(request,
            { FailureCode::SubmissionExpired, RunState::OutcomeUnknown,
                "the job has ended and its answer is no longer held" });
    const bool isOtherJob = answer->jobFingerprint != 0 && isSubmission(request.kind)
        && answer->jobFingerprint != fingerprint(request.job.job);
    if (isOtherJob)
        return answerFailure(request, mismatch());
    if (isSubmission(request.kind))
        ++m_jobsJoined;
    request.answer(*answer);
}

void SubmissionRouter::routeElsewhere(Request request, const HostId& host)
{
    if (request.hops >= maximumHops || !m_hooks.isAlive(host)) {
        return answerFailure(request,
            { FailureCode::NotDecidedHere, RunState::OutcomeUnknown,
                "host " + host.value() + " decides about the submission and cannot be reached from here" });
    }
    m_dependencies.forwarder.forward(host, std::move(request));
}

void SubmissionRouter::standingChanged(const SegmentKey& segment)
{
    std::vector<Request> requests;
    const auto range = m_waiting.equal_range(segment);
    for (auto entry = range.first; entry != range.second; ++entry)
        requests.push_back(std::move(entry->second));
    m_waiting.erase(range.first, range.second);
    for (auto& request : requests)
        route(std::move(request));
}

void SubmissionRouter::tick()
{
    const auto now = m_dependencies.clock.now();
    std::vector<Request> expired;
    for (auto entry = m_waiting.begin(); entry != m_waiting.end();) {
        if (entry->second.deadline > now) {
            ++entry;
            continue;
        }
        expired.push_back(std::move(entry->second));
        entry = m_waiting.erase(entry);
    }
    for (const auto& request : expired)
        answerFailure(request,
            { FailureCode::OutcomeUnknown, RunState::OutcomeUnknown,
                "the takeover of the submission was not decided before the deadline" });
}

TimePoint SubmissionRouter::nextWakeup() const
{
    auto next = TimePoint::max();
    for (const auto& [segment, request] : m_waiting)
        next = std::min(next, request.deadline);
    return next;
}

}
