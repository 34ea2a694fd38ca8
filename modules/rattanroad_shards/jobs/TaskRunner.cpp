#include "rattanroad_shards/jobs/TaskRunner.h"

#include "rattanroad_shards/jobs/JobMath.h"

#include <algorithm>

namespace rattanroad::shards {

namespace {
    /** Attempts of a task under one holder; the holders that follow begin above. */
    constexpr std::uint32_t attemptsPerGeneration = 1000;
}

TaskRunner::TaskRunner(
    Settings settings, JobBook& jobs, ShardTargets& targets, Timers timers, const Clock& clock, Hooks hooks)
    : m_settings(settings)
    , m_jobs(jobs)
    , m_targets(targets)
    , m_timers(std::move(timers))
    , m_clock(clock)
    , m_hooks(std::move(hooks))
{
}

TaskRunner::Found TaskRunner::find(const TaskId& name) const
{
    ShardJob* const job = m_jobs.find(name.job);
    return { job, job ? job->task(name) : nullptr };
}

void TaskRunner::runEnded(TargetSession& session, const EndedTask& end)
{
    const Found found = find(end.task);
    if (!found.task) {
        session.forgetEnd(session.bornMs(), end.number);
        return;
    }
    ShardJob& job = *found.job;
    ShardTask& task = *found.task;
    if (end.number != 0)
        m_hooks.endListed(job, session, end.number);
    if (hasEnded(job.state) || task.state == ShardTask::State::Done)
        return;
    const bool isPresentRun = task.state == ShardTask::State::Placed && task.attempt == end.attempt;
    if (end.ending == RunOutcome::Done) {
        m_targets.runSucceeded(session);
        if (isPresentRun && task.startedAt)
            m_targets.learn(session, placingTaskOf(job.description, end.task.phase), *task.startedAt);
        taskDone(job, task, end.task);
        return;
    }
    if (end.ending == RunOutcome::Failed && takeFailure(job, task, session, end.task))
        return;
    if (!end.savedProgress.empty())
        task.savedProgress = end.savedProgress;
    task.attempt = std::max(task.attempt, end.attempt);
    if (isPresentRun && task.target == session.report().id) {
        task.state = ShardTask::State::Waiting;
        scheduleSoon();
    }
}

bool TaskRunner::takeFailure(ShardJob& job, ShardTask& task, const TargetSession& session, const TaskId& name)
{
    ++task.failedRuns;
    m_targets.runFailed(session, task.failedOn);
    task.failedOn.push_back(session.report().id);
    m_hooks.log("run_failed", job.id,
        "task " + std::to_string(name.index) + " on " + session.report().id.value() + ", failure "
            + std::to_string(task.failedRuns));
    if (task.failedRuns < job.description.rule().maximum_attempts())
        return false;
    m_hooks.finished(job, JobState::Failed, "a task has failed as often as it may");
    return true;
}

void TaskRunner::taskDone(ShardJob& job, ShardTask& task, const TaskId& name)
{
    const TargetId other = task.target;
    const bool wasPlaced = task.state == ShardTask::State::Placed;
    task.state = ShardTask::State::Done;
    if (wasPlaced) {
        // The end of an earlier run came while a later one is under way.
        if (TargetSession* const session = m_targets.session(other))
            session->stop(name);
    }
    if (job.areAllDone())
        m_hooks.finished(job, JobState::Done, "");
    else
        scheduleSoon();
}

std::optional<Resources> TaskRunner::runFound(TargetSession& session, const RunningTask& running)
{
    const Found found = find(running.task);
    if (!found.task)
        return std::nullopt;
    ShardJob& job = *found.job;
    ShardTask* const task = found.task;
    task->attempt = std::max(task->attempt, running.attempt);
    const bool isWanted = !hasEnded(job.state) && task->state == ShardTask::State::Waiting && task->isUncertain;
    if (!isWanted)
        return std::nullopt;
    task->state = ShardTask::State::Placed;
    task->attempt = running.attempt;
    task->target = session.report().id;
    task->startedAt.reset();
    job.state = JobState::Running;
    return resourcesOf(job.description.phases(static_cast<int>(running.task.phase)));
}

void TaskRunner::startRejected(TargetSession& session, const TaskId& name, std::uint32_t attempt, TargetEnding ending)
{
    const auto [job, task] = find(name);
    if (!task || task->state != ShardTask::State::Placed || task->attempt != attempt)
        return;
    task->state = ShardTask::State::Waiting;
    if (ending == TargetEnding::Malformed)
        task->notBefore = m_clock.now() + m_settings.malformedPause;
    m_hooks.log("start_refused", name.job,
        "task " + std::to_string(name.index) + " on " + session.report().id.value() + ", answer "
            + std::to_string(static_cast<int>(ending)));
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
    if (m_isScheduleDue)
        return;
    m_isScheduleDue = true;
    // Events of one loop iteration are taken together.
    m_timers.after(Duration(0), [this] {
        m_isScheduleDue = false;
        if (m_generation)
            schedule();
    });
}

void TaskRunner::schedule()
{
    for (ShardJob* const job : m_jobs.openJobsInOrder())
        placeJob(*job);
}

void TaskRunner::placeJob(ShardJob& job)
{
    const TimePoint now = m_clock.now();
    // After a pause of this process its caller may have turned to another host.
    if (job.description.best_effort() && now - job.askedAt >= m_settings.entranceLimit)
        return;
    for (std::size_t phase = 0; phase < job.phases.size(); ++phase) {
        if (!job.isPhaseDue(phase))
            continue;
        for (std::uint32_t index = 0; index < job.phases[phase].size(); ++index) {
            const ShardTask& task = job.phases[phase][index];
            if (task.state != ShardTask::State::Waiting || task.isUncertain || task.notBefore > now)
                continue;
            if (!placeTask(job, phase, index))
                break;
        }
    }
}

bool TaskRunner::placeTask(ShardJob& job, std::size_t phase, std::uint32_t index)
{
    const PlacingTask wanted = placingTaskOf(job.description, phase);
    const TaskId name { job.id, static_cast<std::uint32_t>(phase), index };
    // A run of another attempt, or one that an earlier holder started, may be about to end.
    if (m_targets.hasRun(name))
        return true;
    const auto choice = m_targets.choose(name, wanted, job.phases[phase][index].failedOn);
    if (!choice)
        return false;
    TargetSession& session = *choice->session;
    ShardTask& task = job.phases[phase][index];
    task.attempt = nextAttempt(job, task);
    task.state = ShardTask::State::Placed;
    task.target = session.report().id;
    task.startedAt = m_clock.now();
    job.state = JobState::Running;
    session.start(
        name, task.attempt, job.description.payload(), wanted.resources, choice->predicted, task.savedProgress);
    return true;
}

std::uint32_t TaskRunner::nextAttempt(const ShardJob& job, const ShardTask& task) const
{
    const std::uint64_t generations = m_generation->value() - job.acceptedIn.value();
    const auto first = static_cast<std::uint32_t>(generations * attemptsPerGeneration) + 1;
    return std::max(first, task.attempt + 1);
}

std::chrono::milliseconds TaskRunner::expectedWait(TimePoint objective) const
{
    const double work = m_jobs.waitingWork(objective);
    const auto room = static_cast<double>(m_targets.usableMillicores());
    if (work == 0)
        return std::chrono::milliseconds(0);
    constexpr std::chrono::milliseconds unbounded { 60000 };
    return room == 0 ? unbounded : std::chrono::milliseconds(static_cast<std::int64_t>(work / room));
}

bool TaskRunner::hasEligibleTarget(const ShardJob& job) const
{
    for (std::size_t phase = 0; phase < job.phases.size(); ++phase) {
        if (!m_targets.isEligibleSomewhere(placingTaskOf(job.description, phase)))
            return false;
    }
    return true;
}

void TaskRunner::moveOverdue()
{
    for (const ShardTargets::OverdueRun& run : m_targets.overdueRuns())
        takeOverdue(*run.session, run.task);
}

void TaskRunner::takeOverdue(TargetSession& session, const TaskId& name)
{
    const auto [job, task] = find(name);
    if (!task || task->state != ShardTask::State::Placed || task->target != session.report().id || !task->startedAt)
        return;
    const PlacingTask wanted = placingTaskOf(job->description, name.phase);
    m_targets.learn(session, wanted, *task->startedAt);
    if (task->wasMoved || !m_targets.hasRoomBeside(session, wanted))
        return;
    task->wasMoved = true;
    m_hooks.log("run_overdue", name.job,
        "task " + std::to_string(name.index) + " on " + session.report().id.value() + " after "
            + std::to_string(
                std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - *task->startedAt).count())
            + " ms");
    session.stop(name);
}

}
