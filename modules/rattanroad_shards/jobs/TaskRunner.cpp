#include "rattanroad_shards/jobs/TaskRunner.h"

#include "rattanroad_shards/jobs/JobRequirements.h"
#include "rattanroad_shards/jobs/WaitingWork.h"
#include "rattanroad_shards/scheduling/ScheduleOrder.h"

#include <algorithm>

namespace rattanroad::shards {

namespace {
    /** Size of the range of attempt numbers of each holder generation. Later holders use higher ranges. */
    constexpr std::uint32_t attemptsPerGeneration = 1000;
    /** Weight of a start in the average run time factor. Averages over about a hundred starts. */
    constexpr double factorSmoothing = 0.01;
    /** Tasks that wait while more than this share of the capacity is free wait for something else, as for a label. */
    constexpr double shortageFreeShare = 0.5;

    std::string describeLoss(const TaskId& id, const ShardTask& task, const LostRun& run)
    {
        const auto crashes = std::count_if(
            task.lostRuns.begin(), task.lostRuns.end(), [](const LostRun& lost) { return lost.isCrashProven(); });
        return "task " + std::to_string(id.index) + " on " + run.target.value() + ", incarnation "
            + std::to_string(run.incarnationMs) + (run.hasTargetRestarted ? ", restarted" : ", not restarted")
            + (run.isStartConfirmed ? "" : ", start not confirmed") + (run.wasAlone ? ", no other run there" : "")
            + "; " + std::to_string(task.lostRuns.size()) + " lost, " + std::to_string(crashes) + " by proven crashes";
    }
}

TaskRunner::TaskRunner(
    Settings settings, JobTable& jobs, ShardTargets& targets, Timers timers, const Clock& clock, Hooks hooks)
    : m_settings(settings)
    , m_crashPolicy(settings.crashes)
    , m_isolationPolicy(settings.isolation)
    , m_jobs(jobs)
    , m_targets(targets)
    , m_timers(std::move(timers))
    , m_clock(clock)
    , m_hooks(std::move(hooks))
    , m_capacity(settings.capacity)
    , m_admission(settings.admission)
    , m_shares({ settings.admission.guaranteedShare, settings.maximumCredit })
{
}

void TaskRunner::begin(Generation generation)
{
    m_generation = generation;
    m_capacity.reset();
    m_arrivals.reset();
}

TaskRunner::TaskLookup TaskRunner::find(const TaskId& id) const
{
    ShardJob* const job = m_jobs.find(id.job);
    return { job, job ? job->task(id) : nullptr };
}

void TaskRunner::runEnded(TargetSession& session, const RunCompletion& completion)
{
    const TaskLookup found = find(completion.task);
    if (!found.task) {
        session.acknowledgeCompletion(session.incarnationMs(), completion.number);
        return;
    }
    ShardJob& job = *found.job;
    ShardTask& task = *found.task;
    if (completion.number != 0)
        m_hooks.completionReported(job, session, completion.number);
    if (hasEnded(job.state) || task.state == ShardTask::State::Done)
        return;
    const bool isCurrentRun = task.state == ShardTask::State::Placed && task.attempt == completion.attempt;
    if (completion.outcome == RunOutcome::Done) {
        m_targets.runSucceeded(session);
        if (isCurrentRun && task.startedAt)
            m_targets.addRunTimeSample(
                session, placementRequest(job.description, completion.task.phase), *task.startedAt);
        taskDone(job, task, completion.task);
        return;
    }
    if (completion.outcome == RunOutcome::Failed && recordFailure(job, task, session, completion))
        return;
    if (!completion.savedProgress.empty())
        task.savedProgress = completion.savedProgress;
    task.attempt = std::max(task.attempt, completion.attempt);
    if (isCurrentRun && task.target == session.report().id) {
        task.state = ShardTask::State::Waiting;
        m_jobs.refresh(job);
        scheduleSoon();
    }
}

bool TaskRunner::recordFailure(
    ShardJob& job, ShardTask& task, const TargetSession& session, const RunCompletion& completion)
{
    const FailedRun run { session.report().id, session.incarnationMs(), completion.attempt };
    const std::string description = "task " + std::to_string(completion.task.index) + " on " + run.target.value()
        + ", attempt " + std::to_string(run.attempt);
    // The target reports the completion again to a later holder, and to a session that was opened anew.
    if (std::find(task.failedRuns.begin(), task.failedRuns.end(), run) != task.failedRuns.end()) {
        m_hooks.log("run_failure_known", job.id, description);
        return false;
    }
    m_targets.runFailed(session, task.failedOn());
    task.failedRuns.push_back(run);
    m_hooks.log("run_failed", job.id, description + ", failure " + std::to_string(task.failureCount()));
    if (task.failureCount() < job.description.rule().maximum_attempts())
        return false;
    m_hooks.finished(job, JobState::Failed, "a task has used up its attempts");
    return true;
}

void TaskRunner::runLost(const TargetSession& session, const RunLoss& loss)
{
    const auto [job, task] = find(loss.task);
    if (!task || hasEnded(job->state) || task->state == ShardTask::State::Done)
        return;
    const TargetId& target = session.report().id;
    const bool isKnown = std::any_of(task->lostRuns.begin(), task->lostRuns.end(),
        [&](const LostRun& run) { return run.target == target && run.incarnationMs == loss.incarnationMs; });
    if (isKnown)
        return;
    task->lostRuns.push_back(
        { target, loss.incarnationMs, loss.isStartConfirmed, loss.hasRestarted, loss.wasAlone, m_clock.now() });
    m_suspects.insert(loss.task);
    m_hooks.log("run_lost", job->id, describeLoss(loss.task, *task, task->lostRuns.back()));
    lossesChanged(*job, *task);
}

void TaskRunner::lossesChanged(ShardJob& job, ShardTask& task)
{
    task.lossSequence = ++job.lossSequence;
    if (m_crashPolicy.isGivenUp(task.lostRuns))
        m_hooks.finished(job, JobState::Failed, "a task crashes its targets");
    else
        m_hooks.lossesChanged(job);
}

void TaskRunner::trackLosses(ShardJob& job, bool areRecorded)
{
    for (std::size_t phase = 0; phase < job.phases.size(); ++phase) {
        for (std::size_t index = 0; index < job.phases[phase].size(); ++index) {
            ShardTask& task = job.phases[phase][index];
            if (task.lostRuns.empty())
                continue;
            m_suspects.insert({ job.id, static_cast<std::uint32_t>(phase), static_cast<std::uint32_t>(index) });
            if (areRecorded)
                task.lossSequence = ++job.lossSequence;
        }
    }
    job.recordedLossSequence = areRecorded ? job.lossSequence : job.recordedLossSequence;
}

std::set<JobId> TaskRunner::jobsWithRunsToRecord()
{
    std::vector<TaskId> tasks = m_targets.tasksOnSilentTargets();
    tasks.insert(tasks.end(), m_suspects.begin(), m_suspects.end());
    std::set<JobId> jobs;
    for (const TaskId& id : tasks) {
        const auto [job, task] = find(id);
        if (!task || hasEnded(job->state) || job->description.best_effort() || task->recordedAttempt == task->attempt)
            continue;
        const auto run = currentRun(id);
        if (!run || !run->isStartConfirmed)
            continue;
        task->recordedAttempt = task->attempt;
        jobs.insert(id.job);
    }
    return jobs;
}

std::optional<LostRun> TaskRunner::currentRun(const TaskId& id) const
{
    const TaskLookup found = find(id);
    const TargetSession* const session = found.task ? m_targets.session(found.task->target) : nullptr;
    if (!session || session->report().isDraining || found.task->state != ShardTask::State::Placed)
        return std::nullopt;
    const auto run = session->runs().find(id);
    if (run == session->runs().end())
        return std::nullopt;
    return LostRun { session->report().id, session->incarnationMs(), run->second.isStartConfirmed, false,
        session->runs().size() == 1, m_clock.now() };
}

void TaskRunner::targetReported(const TargetSession& session)
{
    for (const TaskId& id : std::set<TaskId>(m_suspects)) {
        const auto [job, task] = find(id);
        if (task && !hasEnded(job->state))
            settleLosses(*job, *task, id, session);
        if (!task || hasEnded(job->state) || task->state == ShardTask::State::Done || task->lostRuns.empty())
            m_suspects.erase(id);
    }
}

void TaskRunner::settleLosses(ShardJob& job, ShardTask& task, const TaskId& id, const TargetSession& session)
{
    bool isChanged = false;
    for (auto run = task.lostRuns.begin(); run != task.lostRuns.end();) {
        if (run->hasTargetRestarted || run->target != session.report().id) {
            ++run;
            continue;
        }
        run->hasTargetRestarted = session.incarnationMs() > run->incarnationMs
            && !session.wasDraining(run->incarnationMs) && !m_crashPolicy.isForgotten(*run, m_clock.now());
        m_hooks.log("run_loss_settled", job.id, describeLoss(id, task, *run));
        // The record does not name a run that was handed over.
        isChanged = isChanged || run->hasTargetRestarted || task.lossSequence > 0;
        // The lease of the run ended while its target was cut off.
        run = run->hasTargetRestarted ? std::next(run) : task.lostRuns.erase(run);
    }
    if (isChanged)
        lossesChanged(job, task);
}

void TaskRunner::taskDone(ShardJob& job, ShardTask& task, const TaskId& id)
{
    const TargetId lastTarget = task.target;
    const bool wasPlaced = task.state == ShardTask::State::Placed;
    task.state = ShardTask::State::Done;
    if (wasPlaced) {
        // If an earlier attempt completed, a later one may still run.
        if (TargetSession* const session = m_targets.session(lastTarget))
            session->stop(id);
    }
    if (!wasPlaced)
        m_jobs.refresh(job);
    if (job.areAllPhasesDone())
        m_hooks.finished(job, JobState::Done, "");
    else
        scheduleSoon();
}

std::optional<Resources> TaskRunner::adoptRun(TargetSession& session, const RunningTask& running)
{
    const TaskLookup found = find(running.task);
    if (!found.task)
        return std::nullopt;
    ShardJob& job = *found.job;
    ShardTask* const task = found.task;
    task->attempt = std::max(task->attempt, running.attempt);
    const bool isAdoptable
        = !hasEnded(job.state) && task->state == ShardTask::State::Waiting && task->mayHaveEarlierRun;
    if (!isAdoptable)
        return std::nullopt;
    task->state = ShardTask::State::Placed;
    task->attempt = running.attempt;
    task->target = session.report().id;
    task->startedAt.reset();
    job.state = JobState::Running;
    return taskResources(job.description.phases(static_cast<int>(running.task.phase)));
}

TimePoint TaskRunner::leaseLimit(const TaskId& task) const
{
    const ShardJob* const job = m_jobs.find(task.job);
    // The origin of an unknown job may have died a while ago.
    if (!job)
        return distantPast;
    return job->description.best_effort() ? job->certainlySubmittedAt + m_settings.maximumLeaseAfterSubmission
                                          : TimePoint::max();
}

void TaskRunner::startRejected(TargetSession& session, const TaskId& id, std::uint32_t attempt, TargetCallResult result)
{
    const auto [job, task] = find(id);
    if (!task || task->state != ShardTask::State::Placed || task->attempt != attempt)
        return;
    task->state = ShardTask::State::Waiting;
    if (result == TargetCallResult::Malformed)
        task->earliestStart = m_clock.now() + m_settings.malformedRetryDelay;
    m_jobs.refresh(*job);
    m_hooks.log("start_refused", id.job,
        "task " + std::to_string(id.index) + " on " + session.report().id.value() + ", result "
            + std::to_string(static_cast<int>(result)));
}

void TaskRunner::stopRuns(const ShardJob& job)
{
    for (std::size_t phase = 0; phase < job.phases.size(); ++phase) {
        for (std::size_t index = 0; index < job.phases[phase].size(); ++index) {
            const ShardTask& task = job.phases[phase][index];
            TargetSession* const session = m_targets.session(task.target);
            if (task.state == ShardTask::State::Placed && session)
                session->stop({ job.id, static_cast<std::uint32_t>(phase), static_cast<std::uint32_t>(index) });
        }
    }
}

void TaskRunner::scheduleSoon()
{
    m_isPassDue = true;
    m_noRoom.clear();
    if (m_isScheduled)
        return;
    m_isScheduled = true;
    // Handles all events of one loop iteration in a single pass.
    m_timers.after(Duration(0), [this] {
        m_isScheduled = false;
        if (m_generation)
            schedule();
    });
}

bool TaskRunner::maySchedule()
{
    const bool isListRecent = m_targets.isListRecent();
    if (isListRecent == m_isListRecent)
        return isListRecent;
    m_isListRecent = isListRecent;
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - m_targets.listCurrentAsOf());
    m_hooks.log(isListRecent ? "starts_resumed" : "starts_paused", JobId(),
        "target list of " + std::to_string(age.count()) + " ms ago");
    return isListRecent;
}

void TaskRunner::schedule()
{
    m_isPassDue = false;
    const bool areStartsAllowed = !m_hooks.areStartsAllowed || m_hooks.areStartsAllowed();
    if (!areStartsAllowed || !maySchedule())
        return;
    const TimePoint now = m_clock.now();
    PlacementPass pass = m_targets.beginPass();
    keepTargetsForIsolation(pass);
    WorkQueue& queue = m_jobs.workQueue();
    queue.updateLate(now);
    m_startedWork = 0;
    m_isRoomShort = false;
    const double rate = m_capacity.rate(now, pass.usableMillicores());
    updateOverload(rate);
    const std::vector<std::uint32_t> priorities = queue.prioritiesInTime();
    ScheduleOrder order(queue, m_isOverloaded ? &m_shares : nullptr);
    while (const WaitingJob* const next = order.next()) {
        // No task behind this one is smaller than the smallest.
        if (!pass.mayHaveRoom({ queue.smallestTask(), 0, 0 })) {
            m_isRoomShort = true;
            break;
        }
        const std::uint32_t priority = next->priority;
        const std::uint64_t startedBefore = m_startedWork;
        placeJob(*m_jobs.find(next->id), pass);
        if (m_isOverloaded && m_startedWork != startedBefore)
            m_shares.started(priority, m_startedWork - startedBefore, priorities, rate);
    }
    const bool isCapacityUsed = static_cast<double>(pass.freeMillicores())
        <= static_cast<double>(pass.usableMillicores()) * shortageFreeShare;
    m_capacity.passEnded(now, { m_startedWork, pass.usableMillicores(), m_isRoomShort && isCapacityUsed });
}

void TaskRunner::updateOverload(double rate)
{
    const WorkQueue& queue = m_jobs.workQueue();
    const bool isOverloaded = ScheduleOrder::isRoomShort(queue, rate, m_clock.now());
    if (isOverloaded && !m_isOverloaded)
        m_hooks.log("room_short", JobId(),
            std::to_string(queue.size()) + " waiting jobs, work of "
                + std::to_string(static_cast<std::int64_t>(static_cast<double>(queue.workInTime()) / rate)) + " ms at "
                + std::to_string(static_cast<std::int64_t>(rate)) + " millicores, learned ratio "
                + std::to_string(m_capacity.ratio(m_clock.now())) + "; by priority");
    m_isOverloaded = isOverloaded;
}

void TaskRunner::placeJob(ShardJob& job, PlacementPass& pass)
{
    if (job.isBeingTransferred)
        return;
    const TimePoint now = m_clock.now();
    // After a pause of this process the caller may have submitted the job to another host.
    if (job.description.best_effort() && now - job.certainlySubmittedAt >= m_settings.originTimeout)
        return;
    const std::uint64_t startedBefore = m_startedWork;
    for (std::size_t phase = 0; phase < job.phases.size(); ++phase) {
        if (!job.isPhaseReady(phase))
            continue;
        for (std::uint32_t index = 0; index < job.phases[phase].size(); ++index) {
            const ShardTask& task = job.phases[phase][index];
            if (!mayStart(job, task, now))
                continue;
            if (!placeTask(job, phase, index, pass)) {
                m_isRoomShort = true;
                break;
            }
        }
    }
    if (m_startedWork != startedBefore)
        m_jobs.refresh(job);
}

bool TaskRunner::mayStart(const ShardJob& job, const ShardTask& task, TimePoint now) const
{
    const bool isWaiting
        = task.state == ShardTask::State::Waiting && !task.mayHaveEarlierRun && task.earliestStart <= now;
    if (!isWaiting || job.isBeingTransferred)
        return false;
    // A later holder must know of the lost runs, so they are recorded before the next start.
    const bool isRecorded = job.description.best_effort() || task.lossSequence <= job.recordedLossSequence;
    return isRecorded && m_crashPolicy.mayStart(task.lostRuns, now);
}

bool TaskRunner::placeTask(ShardJob& job, std::size_t phase, std::uint32_t index, PlacementPass& pass)
{
    if (!pass.mayHaveRoom(taskResources(job.description.phases(static_cast<int>(phase)))))
        return false;
    PlacementRequest request = placementRequest(job.description, phase);
    request.isolation = isolationOf(job.phases[phase][index], request, pass);
    const TaskId id { job.id, static_cast<std::uint32_t>(phase), index };
    // A run of an earlier attempt or holder may still be active.
    if (m_targets.hasRun(id))
        return true;
    const auto choice = pass.choose(id, request, job.phases[phase][index].failedOn());
    if (!choice)
        return false;
    TargetSession& session = *choice->session;
    // The present lease, which applies to the new run too, may end too late. The task waits for the next submission.
    if (session.leaseEnd() > leaseLimit(id))
        return true;
    ShardTask& task = job.phases[phase][index];
    task.attempt = nextAttempt(job, task);
    task.state = ShardTask::State::Placed;
    task.target = session.report().id;
    task.startedAt = m_clock.now();
    job.state = JobState::Running;
    if (choice->isolation != Isolation::None)
        m_hooks.log("run_isolated", job.id,
            "task " + std::to_string(index) + " on " + task.target.value() + " with "
                + std::to_string(countLosses(task))
                + (choice->isolation == Isolation::Required ? " lost runs, until it ends" : " lost run, for a while"));
    session.start(id, task.attempt, job.description.payload(), request.resources, choice->predicted, task.savedProgress,
        choice->isolation);
    pass.started(session);
    m_startedWork += taskWork(job.description.phases(static_cast<int>(phase)));
    if (request.estimate.count() > 0) {
        const double factor
            = static_cast<double>(choice->predicted.count()) / static_cast<double>(request.estimate.count());
        m_runTimeFactor += factorSmoothing * (factor - m_runTimeFactor);
        m_jobs.setRunTimeFactor(m_runTimeFactor);
    }
    return true;
}

std::size_t TaskRunner::countLosses(const ShardTask& task) const
{
    const TimePoint now = m_clock.now();
    return static_cast<std::size_t>(std::count_if(task.lostRuns.begin(), task.lostRuns.end(),
        [&](const LostRun& run) { return !m_crashPolicy.isForgotten(run, now); }));
}

Isolation TaskRunner::isolationOf(const ShardTask& task, const PlacementRequest& request, PlacementPass& pass) const
{
    const std::size_t losses = countLosses(task);
    if (losses == 0)
        return Isolation::None;
    const PlacementPass::EligibleTargets eligible = pass.eligibleTargets(request);
    return m_isolationPolicy.decide(
        { losses, eligible.count, eligible.isolated, m_isolatedTasks, pass.usableTargets() });
}

void TaskRunner::keepTargetsForIsolation(PlacementPass& pass)
{
    const TimePoint now = m_clock.now();
    std::vector<TaskId> waiting;
    m_isolatedTasks = 0;
    for (const TaskId& id : m_suspects) {
        const TaskLookup found = find(id);
        const bool isCounted = found.task && !hasEnded(found.job->state) && found.task->state != ShardTask::State::Done
            && countLosses(*found.task) >= m_settings.isolation.lossesBeforeRequired;
        m_isolatedTasks += isCounted;
        if (!isCounted || !found.job->isPhaseReady(id.phase) || !mayStart(*found.job, *found.task, now))
            continue;
        waiting.push_back(id);
    }
    for (const TaskId& id : waiting) {
        const TaskLookup found = find(id);
        const PlacementRequest request = placementRequest(found.job->description, id.phase);
        const PlacementPass::EligibleTargets eligible = pass.eligibleTargets(request);
        if (isolationOf(*found.task, request, pass) == Isolation::Required
            && m_isolationPolicy.mayIsolateAnother(eligible.count, eligible.isolated))
            pass.keepForIsolation(request);
    }
}

std::uint32_t TaskRunner::nextAttempt(const ShardJob& job, const ShardTask& task) const
{
    const std::uint64_t laterGenerations = m_generation->value() - job.acceptedIn.value();
    const auto first = job.attemptFloor + static_cast<std::uint32_t>(laterGenerations * attemptsPerGeneration) + 1;
    return std::max(first, task.attempt + 1);
}

double TaskRunner::rate() const { return m_capacity.rate(m_clock.now(), m_targets.expectedMillicores()); }

Admission::Decision TaskRunner::admit(const ShardJob& job)
{
    const TimePoint now = m_clock.now();
    WorkQueue& queue = m_jobs.workQueue();
    queue.updateLate(now);
    const std::uint32_t priority = job.description.rule().priority();
    Admission::Request request;
    request.objective = latencyObjective(job.description);
    request.softDeadline = job.softDeadline;
    request.runTime = std::chrono::milliseconds(
        static_cast<std::int64_t>(static_cast<double>(criticalPathLength(job.description).count()) * m_runTimeFactor));
    request.isStored = !job.description.best_effort();
    Admission::Figures figures;
    figures.workBefore = queue.workBefore(priority, job.softDeadline);
    figures.workOfPriority = queue.workOfPriority(priority, job.softDeadline);
    figures.lateStoredWork = queue.lateStoredWork();
    figures.rate = rate();
    figures.higherPriorityRate = m_arrivals.rateAbove(priority, now);
    const std::vector<std::uint32_t> priorities = queue.prioritiesInTime();
    figures.lowerPriorities = static_cast<std::size_t>(std::count_if(
        priorities.begin(), priorities.end(), [priority](std::uint32_t other) { return other > priority; }));
    Admission::Decision decision = m_admission.decide(request, figures, now);
    decision.isAccepted = decision.isAccepted || hasRoomNow(job);
    return decision;
}

void TaskRunner::accepted(const ShardJob& job)
{
    if (const WaitingJob* const waiting = m_jobs.workQueue().find(job.id))
        m_arrivals.accepted(waiting->priority, waiting->work, m_clock.now());
}

bool TaskRunner::hasRoomNow(const ShardJob& job)
{
    if (m_isPassDue && m_generation)
        schedule();
    std::unique_ptr<PlacementPass> pass;
    for (std::size_t phase = 0; phase < job.phases.size(); ++phase) {
        if (!job.isPhaseReady(phase))
            continue;
        const PlacementRequest request = placementRequest(job.description, phase);
        const auto smallest = m_noRoom.try_emplace({ request.service.value(), request.requiredLabel }, 0).first;
        if (smallest->second != 0 && request.resources.millicores >= smallest->second)
            return false;
        if (!pass)
            pass.reset(new PlacementPass(m_targets.beginPass()));
        keepTargetsForIsolation(*pass);
        if (!pass->choose({ job.id, static_cast<std::uint32_t>(phase), 0 }, request, {})) {
            smallest->second = request.resources.millicores;
            return false;
        }
    }
    return true;
}

std::chrono::milliseconds TaskRunner::expectedWait() const
{
    const std::uint64_t work = m_jobs.workQueue().workInTime();
    return m_admission.expectedWait({ work, work, 0, rate(), 0, 0 });
}

bool TaskRunner::hasUnplaceableTask(const ShardJob& job) const
{
    for (std::size_t phase = 0; phase < job.phases.size(); ++phase) {
        const auto& tasks = job.phases[phase];
        const bool isWaiting = std::any_of(
            tasks.begin(), tasks.end(), [](const ShardTask& task) { return task.state == ShardTask::State::Waiting; });
        if (isWaiting && job.isPhaseReady(phase) && m_targets.isClosedFor(placementRequest(job.description, phase)))
            return true;
    }
    return false;
}

bool TaskRunner::mayHaveRun(const ShardJob& job) const
{
    for (std::size_t phase = 0; phase < job.phases.size(); ++phase) {
        for (std::uint32_t index = 0; index < job.phases[phase].size(); ++index) {
            const ShardTask& task = job.phases[phase][index];
            // The tasks of a job that was cancelled stay placed when their runs have ended.
            const bool isPlaced = task.state == ShardTask::State::Placed && !hasEnded(job.state);
            const bool isPossible = isPlaced || task.mayHaveEarlierRun
                || m_targets.hasRun({ job.id, static_cast<std::uint32_t>(phase), index });
            if (isPossible)
                return true;
        }
    }
    return false;
}

std::uint32_t TaskRunner::highestAttempt(const ShardJob& job) const
{
    const std::uint64_t generations = m_generation ? m_generation->value() - job.acceptedIn.value() + 1 : 1;
    std::uint32_t highest = job.attemptFloor + static_cast<std::uint32_t>(generations * attemptsPerGeneration);
    for (const auto& phase : job.phases) {
        for (const ShardTask& task : phase)
            highest = std::max(highest, task.attempt);
    }
    return highest;
}

bool TaskRunner::hasEligibleTarget(const ShardJob& job) const
{
    for (std::size_t phase = 0; phase < job.phases.size(); ++phase) {
        if (!m_targets.isEligibleSomewhere(placementRequest(job.description, phase)))
            return false;
    }
    return true;
}

void TaskRunner::rescheduleOverdueRuns()
{
    for (const ShardTargets::OverdueRun& run : m_targets.overdueRuns())
        rescheduleOverdueRun(*run.session, run.task);
}

void TaskRunner::rescheduleOverdueRun(TargetSession& session, const TaskId& id)
{
    const auto [job, task] = find(id);
    if (!task || task->state != ShardTask::State::Placed || task->target != session.report().id || !task->startedAt)
        return;
    const PlacementRequest request = placementRequest(job->description, id.phase);
    m_targets.addRunTimeSample(session, request, *task->startedAt);
    if (task->wasRescheduled || !m_targets.hasRoomElsewhere(session, request))
        return;
    task->wasRescheduled = true;
    m_hooks.log("run_overdue", id.job,
        "task " + std::to_string(id.index) + " on " + session.report().id.value() + " after "
            + std::to_string(
                std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - *task->startedAt).count())
            + " ms");
    session.stop(id);
}

}
