#include "rattanroad_dispatch/engine/JobRunner.h"

#include <algorithm>
#include <cassert>

namespace rattanroad {

namespace {

    using State = TaskProgress::State;

    Resources needsOf(const protocol::TaskDescription& task)
    {
        return { task.cores(), MebibyteCount(task.memory_mb()), task.accelerators() };
    }

    bool isSameDemand(const WorkDemand& demand, const protocol::TaskDescription& task)
    {
        return demand.kind.value() == task.kind() && demand.needs.cores == task.cores()
            && demand.needs.memory.value() == task.memory_mb() && demand.needs.accelerators == task.accelerators();
    }

    SlotUse useOf(const protocol::TaskOutcome& outcome)
    {
        return outcome.failure().run_state() == protocol::OUTCOME_UNKNOWN ? SlotUse::Unknown : SlotUse::Failed;
    }

}

JobRunner::JobRunner(Settings settings, Dependencies dependencies, Hooks hooks)
    : m_settings(settings)
    , m_dependencies(dependencies)
    , m_hooks(std::move(hooks))
{
}

Job* JobRunner::find(const SubmissionId& id)
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : found->second.get();
}

bool JobRunner::isActive(const SubmissionId& id) const
{
    const auto found = m_jobs.find(id);
    return found != m_jobs.end() && !found->second->isAnswered;
}

bool JobRunner::isSameJob(const SubmissionId& id, const protocol::JobDescription& job) const
{
    const auto found = m_jobs.find(id);
    return found != m_jobs.end() && found->second->fingerprint() == fingerprint(job);
}

Job& JobRunner::add(const SubmissionId& id, protocol::JobDescription description, TimePoint arrivedAt)
{
    auto job = std::make_unique<Job>(id, std::move(description), arrivedAt);
    auto& added = *job;
    if (const auto parent = TraceContext::parse(added.description().traceparent())) {
        added.trace = parent->child(m_dependencies.random);
        added.parentSpanId = parent->spanId;
    }
    // The queue count covers tasks that wait for a slot, so that a full queue refuses new jobs.
    m_dependencies.admission.addQueuedTasks(added.team(), added.taskCount());
    m_jobs[id] = std::move(job);
    m_dependencies.timers.schedule(added.deadline(), [this, id] {
        fail(id, { FailureCode::DeadlineExceeded, RunState::NotRun, "the job did not finish before its deadline" });
    });
    return added;
}

void JobRunner::run(const SubmissionId& id, protocol::JobDescription description, AnswerCallback answer)
{
    auto& job = add(id, std::move(description), m_dependencies.clock.now());
    if (answer)
        job.waiters.push_back(std::move(answer));
    demandAll(job);
}

void JobRunner::resume(RecoveredSubmission recovered)
{
    const auto id = recovered.id;
    auto& job = add(id, std::move(recovered.job), recovered.acceptedAt);
    std::optional<Failure> failure;
    for (std::uint32_t number = 0; number < recovered.tasks.size(); ++number) {
        const TaskIndex index(number);
        auto& task = recovered.tasks[number];
        auto& progress = job.progress(index);
        progress.attempt = task.attempts;
        if (task.state == RecoveredTask::State::NotStarted)
            continue;
        m_dependencies.admission.removeQueuedTasks(job.team(), 1);
        job.noteStarted();
        if (task.state == RecoveredTask::State::StartedOutcomeUnknown) {
            job.setState(index, State::Failed);
            job.noteUnknown();
            failure = Failure { FailureCode::OutcomeUnknown, RunState::OutcomeUnknown,
                "task " + std::to_string(number)
                    + " was started by a host that failed before its outcome was recorded" };
        } else if (task.outcome.succeeded()) {
            job.setState(index, State::Succeeded);
            progress.result = std::move(*task.outcome.mutable_result());
        } else {
            job.setState(index, State::Failed);
            if (useOf(task.outcome) == SlotUse::Unknown)
                job.noteUnknown();
            failure = protocol::fromMessage(task.outcome.failure());
        }
    }
    if (failure)
        close(job, *failure);
    else if (job.isEveryTaskSucceeded())
        complete(job);
    else
        demandAll(job);
    eraseIfDone(id);
}

bool JobRunner::join(const SubmissionId& id, AnswerCallback answer)
{
    const auto job = find(id);
    if (!job || job->isAnswered)
        return false;
    job->waiters.push_back(std::move(answer));
    return true;
}

bool JobRunner::fail(const SubmissionId& id, Failure failure)
{
    const auto job = find(id);
    if (!job || job->isClosed)
        return false;
    close(*job, std::move(failure));
    eraseIfDone(id);
    return true;
}

bool JobRunner::cancel(const SubmissionId& id)
{
    const auto job = find(id);
    if (!job || job->isClosed)
        return false;
    std::vector<TaskKey> running;
    for (std::uint32_t number = 0; number < job->taskCount(); ++number) {
        const TaskIndex index(number);
        const auto& progress = job->progress(index);
        // An interrupted run of an unrepeatable task wastes its material, so it is left to finish.
        if (progress.state == State::Running && job->task(index).repeat() != protocol::REPEAT_NEVER)
            running.push_back({ id, index, progress.attempt });
    }
    fail(id, { FailureCode::Cancelled, RunState::NotRun, "the job was cancelled" });
    for (const auto& key : running)
        m_hooks.cancelTask(key);
    return true;
}

std::vector<JobRunner::AbandonedJob> JobRunner::abandon(const SegmentKey& segment)
{
    std::vector<AbandonedJob> abandoned;
    std::vector<SubmissionId> ids;
    for (const auto& [id, job] : m_jobs) {
        if (id.segment == segment && !job->isAnswered)
            ids.push_back(id);
    }
    for (const auto& id : ids) {
        auto& job = *find(id);
        if (!job.isClosed)
            withdraw(job);
        job.isClosed = true;
        job.isAnswered = true;
        JobRequest request { id, job.description() };
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(job.deadline() - m_dependencies.clock.now());
        request.job.set_deadline_left_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(left.count(), 1)));
        abandoned.push_back({ std::move(request), std::move(job.waiters) });
        job.waiters.clear();
        eraseIfDone(id);
    }
    return abandoned;
}

void JobRunner::demandAll(Job& job)
{
    std::vector<TaskGroup> groups;
    for (std::uint32_t number = 0; number < job.taskCount(); ++number) {
        const TaskIndex index(number);
        if (job.progress(index).state != State::Waiting)
            continue;
        const auto& task = job.task(index);
        auto group = std::find_if(groups.begin(), groups.end(),
            [&](const TaskGroup& candidate) { return isSameDemand(candidate.demand, task); });
        if (group == groups.end()) {
            groups.emplace_back();
            group = groups.end() - 1;
            group->demand.kind = WorkKind(task.kind());
            group->demand.needs = needsOf(task);
        }
        group->waiting.push_back(index);
    }
    for (auto& group : groups)
        openGroup(job, std::move(group));
}

void JobRunner::demandOne(Job& job, TaskIndex task, const std::set<TargetId>& excluded)
{
    TaskGroup group;
    group.demand.kind = WorkKind(job.task(task).kind());
    group.demand.needs = needsOf(job.task(task));
    group.demand.excludedTargets = excluded;
    group.waiting.push_back(task);
    openGroup(job, std::move(group));
}

void JobRunner::openGroup(Job& job, TaskGroup group)
{
    std::stable_sort(group.waiting.begin(), group.waiting.end(),
        [&](TaskIndex left, TaskIndex right) { return job.task(left).declared_ms() < job.task(right).declared_ms(); });
    group.demand.team = job.team();
    group.demand.priority = job.description().priority();
    group.demand.count = static_cast<std::uint32_t>(group.waiting.size());
    group.demand.arrivedAt = job.arrivedAt();
    group.demand.declared = std::chrono::milliseconds(job.task(group.waiting.back()).declared_ms());
    const auto demand = m_dependencies.borrower.addDemand(group.demand);
    m_jobOfDemand[demand] = job.id();
    job.groups.emplace(demand, std::move(group));
}

bool JobRunner::bind(DemandId demand, const BorrowedSlot& slot)
{
    const auto owner = m_jobOfDemand.find(demand);
    if (owner == m_jobOfDemand.end())
        return false;
    const auto id = owner->second;
    auto& job = *find(id);
    auto& group = job.groups.at(demand);
    if (job.isClosed || group.waiting.empty() || group.demand.excludedTargets.count(slot.target))
        return false;
    const auto task = group.waiting.back();
    group.waiting.pop_back();
    if (group.waiting.empty()) {
        job.groups.erase(demand);
        m_jobOfDemand.erase(demand);
    }

    auto& progress = job.progress(task);
    recordSpan(job, "slot-wait", &progress, task, progress.since, false);
    m_dependencies.admission.removeQueuedTasks(job.team(), 1);
    m_dependencies.queueWaitEstimator.record(m_dependencies.clock.now() - progress.since);
    job.setState(task, State::Starting);
    progress.slot = slot;
    progress.attempt = AttemptNumber(progress.attempt.value() + 1);
    progress.since = m_dependencies.clock.now();
    const auto attempt = progress.attempt;
    m_dependencies.ledger.requestStart(
        id, task, attempt, slot.target, [this, id, task, attempt](SubmissionLedger::StartVerdict verdict) {
            startDecided(id, task, attempt, verdict);
        });
    return true;
}

void JobRunner::startDecided(
    const SubmissionId& id, TaskIndex task, AttemptNumber attempt, SubmissionLedger::StartVerdict verdict)
{
    const auto job = find(id);
    if (!job || job->progress(task).attempt != attempt || job->progress(task).state != State::Starting)
        return;
    const auto inventory = m_hooks.inventory();
    const auto target = inventory ? inventory->target(job->progress(task).slot.target) : nullptr;
    const bool mayStart = verdict == SubmissionLedger::StartVerdict::Permitted && !job->isClosed
        && m_dependencies.clock.now() < job->deadline();
    if (mayStart && target) {
        recordSpan(*job, "journal-wait", &job->progress(task), task, job->progress(task).since, false);
        sendToTarget(*job, task, *target);
        return;
    }
    giveSlotBack(*job, task);
    if (verdict == SubmissionLedger::StartVerdict::Permitted && !job->isClosed) {
        // The target left the inventory between grant and start; the record of the start is taken back.
        m_dependencies.ledger.recordOutcome(id, task, attempt, true, {});
        job->setState(task, State::Waiting);
        m_dependencies.admission.addQueuedTasks(job->team(), 1);
        demandOne(*job, task, {});
        return;
    }
    job->setState(task, State::Failed);
    eraseIfDone(id);
}

void JobRunner::sendToTarget(Job& job, TaskIndex task, const Target& target)
{
    auto& progress = job.progress(task);
    job.setState(task, State::Running);
    job.noteStarted();
    progress.since = m_dependencies.clock.now();
    if (job.trace.isSampled)
        progress.trace = job.trace.child(m_dependencies.random);
    ++m_statistics.tasksStarted;

    const auto& description = job.task(task);
    TaskStart start;
    start.key = { job.id(), task, progress.attempt };
    start.target = target.id;
    start.address = target.address;
    start.path = target.path;
    start.kind = WorkKind(description.kind());
    start.payload = description.payload();
    start.traceparent = job.trace.isSampled ? progress.trace.header() : job.description().traceparent();
    start.deadlineLeft = std::chrono::ceil<std::chrono::milliseconds>(job.deadline() - progress.since);
    start.notRunStatuses = target.notRunStatuses;
    start.connections = target.connections;
    m_hooks.startTask(start);
}

void JobRunner::giveSlotBack(Job& job, TaskIndex task)
{
    const auto& description = job.task(task);
    m_dependencies.borrower.release(job.progress(task).slot, SlotUse::Unused, WorkKind(description.kind()), Duration(0),
        std::chrono::milliseconds(description.declared_ms()));
}

void JobRunner::taskResult(TaskResult result)
{
    const auto id = result.key.submission;
    const auto task = result.key.task;
    const auto job = find(id);
    if (!job || task.value() >= job->taskCount())
        return;
    const auto& progress = job->progress(task);
    if (progress.state != State::Running || progress.attempt != result.key.attempt)
        return;
    recordSpan(*job, "attempt", &progress, task, progress.since, result.use != SlotUse::Succeeded);
    const auto slot = progress.slot;
    const auto& description = job->task(task);
    const WorkKind kind(description.kind());
    const std::chrono::milliseconds declared(description.declared_ms());
    if (result.use == SlotUse::Succeeded) {
        m_dependencies.runTimeEstimator.record(kind, declared, result.ran, slot.relativeSpeed);
        taskSucceeded(*job, task, result);
    } else
        taskFailed(*job, task, result);
    // The slot goes back last: releasing it may bind another task, and that must see the job's new state.
    m_dependencies.borrower.release(slot, result.use, kind, result.ran, declared);
    eraseIfDone(id);
}

void JobRunner::taskSucceeded(Job& job, TaskIndex task, TaskResult& result)
{
    ++m_statistics.tasksSucceeded;
    m_dependencies.retry.recordSuccess();
    job.setState(task, State::Succeeded);
    protocol::TaskOutcome outcome;
    outcome.set_succeeded(true);
    outcome.set_result(result.result);
    m_dependencies.ledger.recordOutcome(job.id(), task, result.key.attempt, false, std::move(outcome));
    job.progress(task).result = std::move(result.result);
    if (!job.isClosed && job.isEveryTaskSucceeded())
        complete(job);
}

void JobRunner::taskFailed(Job& job, TaskIndex task, const TaskResult& result)
{
    ++m_statistics.tasksFailed;
    const auto& description = job.task(task);
    const auto inventory = m_hooks.inventory();
    const bool isNeverRepeated = inventory && inventory->isNeverRepeated(WorkKind(description.kind()));
    auto decision = m_dependencies.retry.decide(result.use, description.repeat(), isNeverRepeated, result.key.attempt);
    const bool isNotStarted = result.use == SlotUse::Unreachable || result.use == SlotUse::Rejected;
    if (result.use == SlotUse::Unknown)
        job.noteUnknown();

    protocol::TaskOutcome outcome;
    *outcome.mutable_failure() = protocol::toMessage(decision.failure);
    m_dependencies.ledger.recordOutcome(job.id(), task, result.key.attempt, isNotStarted, std::move(outcome));
    const auto now = m_dependencies.clock.now();
    if (decision.mayRetry && !job.isClosed && now + decision.backoff < job.deadline()) {
        ++m_statistics.tasksRetried;
        retryLater(job, task, decision.backoff);
        return;
    }
    job.setState(task, State::Failed);
    if (job.isClosed)
        return;
    auto failure = decision.failure;
    failure.detail = "task " + std::to_string(task.value()) + " on target " + job.progress(task).slot.target.value()
        + ": " + (result.detail.empty() ? failure.detail : result.detail);
    close(job, std::move(failure));
}

void JobRunner::retryLater(Job& job, TaskIndex task, Duration backoff)
{
    job.setState(task, State::BackingOff);
    const auto id = job.id();
    const auto attempt = job.progress(task).attempt;
    const std::set<TargetId> excluded { job.progress(task).slot.target };
    m_dependencies.timers.schedule(m_dependencies.clock.now() + backoff, [this, id, task, attempt, excluded] {
        const auto waiting = find(id);
        if (!waiting || waiting->isClosed || waiting->progress(task).state != State::BackingOff
            || waiting->progress(task).attempt != attempt)
            return;
        waiting->setState(task, State::Waiting);
        waiting->progress(task).since = m_dependencies.clock.now();
        m_dependencies.admission.addQueuedTasks(waiting->team(), 1);
        demandOne(*waiting, task, excluded);
    });
}

void JobRunner::demandRefused(DemandId demand, const Failure& failure)
{
    const auto owner = m_jobOfDemand.find(demand);
    if (owner == m_jobOfDemand.end())
        return;
    const auto id = owner->second;
    fail(id, failure);
}

void JobRunner::complete(Job& job)
{
    job.isClosed = true;
    ++m_statistics.jobsCompleted;
    m_dependencies.ledger.seal(job.id(), true, std::nullopt, {});
    JobAnswer result;
    result.submissionId = job.id();
    result.isComplete = true;
    result.results = job.takeResults();
    answer(job, result);
}

void JobRunner::close(Job& job, Failure failure)
{
    job.isClosed = true;
    ++m_statistics.jobsFailed;
    withdraw(job);
    failure.runState = job.runState();
    JobAnswer result;
    result.submissionId = job.id();
    result.failure = failure;
    if (failure.runState != RunState::NotRun) {
        m_dependencies.ledger.seal(job.id(), false, failure, {});
        answer(job, result);
        return;
    }

    // "Not run" is final only when no other host can start the job any more, so the seal must be acknowledged first.
    const auto id = job.id();
    m_dependencies.ledger.seal(id, false, failure, [this, id, result](bool isSealed) mutable {
        const auto sealed = find(id);
        if (!sealed || sealed->isAnswered)
            return;
        if (!isSealed)
            result.failure.runState = RunState::OutcomeUnknown;
        answer(*sealed, result);
        m_dependencies.timers.schedule(m_dependencies.clock.now(), [this, id] { eraseIfDone(id); });
    });
    if (job.isAnswered)
        return;
    m_dependencies.timers.schedule(m_dependencies.clock.now() + m_settings.sealTimeout, [this, id, result]() mutable {
        const auto unsealed = find(id);
        if (!unsealed || unsealed->isAnswered)
            return;
        result.failure.runState = RunState::OutcomeUnknown;
        answer(*unsealed, result);
        eraseIfDone(id);
    });
}

void JobRunner::answer(Job& job, JobAnswer result)
{
    assert(!job.isAnswered);
    job.isAnswered = true;
    result.jobFingerprint = job.fingerprint();
    recordSpan(job, "job", nullptr, TaskIndex(0), job.arrivedAt(), !result.isComplete);
    m_hooks.ended(job.id(), result);
    const auto waiters = std::move(job.waiters);
    job.waiters.clear();
    for (const auto& waiter : waiters)
        waiter(result);
}

void JobRunner::withdraw(Job& job)
{
    for (const auto& [demand, group] : job.groups) {
        m_jobOfDemand.erase(demand);
        m_dependencies.borrower.setDemandCount(demand, 0);
    }
    job.groups.clear();
    m_dependencies.admission.removeQueuedTasks(job.team(), job.count(State::Waiting));
}

void JobRunner::eraseIfDone(const SubmissionId& id)
{
    const auto found = m_jobs.find(id);
    if (found != m_jobs.end() && found->second->isAnswered && found->second->outstanding() == 0)
        m_jobs.erase(found);
}

void JobRunner::recordSpan(
    const Job& job, const char* name, const TaskProgress* task, TaskIndex index, TimePoint begin, bool isError)
{
    if (!job.trace.isSampled || !m_hooks.recordSpan)
        return;
    SpanRecord span;
    span.name = name;
    const bool isAttempt = task && task->state == State::Running;
    span.context = isAttempt ? task->trace : (task ? job.trace.child(m_dependencies.random) : job.trace);
    span.parentSpanId = task ? job.trace.spanId : job.parentSpanId;
    span.end = m_dependencies.clock.wallNow();
    const auto lasted = m_dependencies.clock.now() - begin;
    span.begin = span.end - std::chrono::duration_cast<std::chrono::system_clock::duration>(lasted);
    span.subject = job.id().text();
    if (task) {
        span.subject += "/" + std::to_string(index.value());
        span.peer = task->slot.target.value();
    }
    span.isError = isError;
    m_hooks.recordSpan(span);
}

}
