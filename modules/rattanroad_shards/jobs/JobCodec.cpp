#include "rattanroad_shards/jobs/JobCodec.h"

#include <algorithm>

namespace rattanroad::shards {

namespace {
    void encode(const LostRun& run, protocol::LostRun& encoded)
    {
        encoded.set_target(run.target.value());
        encoded.set_incarnation_ms(run.incarnationMs);
        encoded.set_start_confirmed(run.isStartConfirmed);
        encoded.set_target_restarted(run.hasTargetRestarted);
        encoded.set_alone(run.wasAlone);
    }

    template <typename Message> std::vector<LostRun> lostRunsOf(const Message& message, TimePoint now)
    {
        std::vector<LostRun> runs;
        for (const protocol::LostRun& run : message.lost_runs())
            runs.push_back({ TargetId(run.target()), run.incarnation_ms(), run.start_confirmed(),
                run.target_restarted(), run.alone(), now });
        return runs;
    }

    /** Adds the failed runs of a task to its progress or its handover. */
    template <typename Message> void encodeFailures(const ShardTask& task, Message& message)
    {
        message.set_failed_runs(task.failureCount());
        for (const FailedRun& run : task.failedRuns) {
            protocol::FailedRun* const encoded = message.add_failures();
            encoded->set_target(run.target.value());
            encoded->set_incarnation_ms(run.incarnationMs);
            encoded->set_attempt(run.attempt);
        }
    }

    template <typename Message> void applyFailures(const Message& message, ShardTask& task)
    {
        task.failedRuns.clear();
        for (const protocol::FailedRun& run : message.failures())
            task.failedRuns.push_back({ TargetId(run.target()), run.incarnation_ms(), run.attempt() });
        const auto named = static_cast<std::uint32_t>(task.failedRuns.size());
        task.unnamedFailures = std::max(message.failed_runs(), named) - named;
    }

    /** Returns the lost runs of a task and its current run. */
    std::vector<LostRun> runsToHandOver(const ShardTask& task, const TaskId& id, const CurrentRun& currentRun)
    {
        std::vector<LostRun> runs = task.lostRuns;
        if (task.state != ShardTask::State::Placed)
            return runs;
        if (const auto run = currentRun(id))
            runs.push_back(*run);
        return runs;
    }

    void add(const std::vector<LostRun>& runs, ShardTask& task)
    {
        for (const LostRun& run : runs) {
            const bool isKnown = std::any_of(task.lostRuns.begin(), task.lostRuns.end(), [&run](const LostRun& known) {
                return known.target == run.target && known.incarnationMs == run.incarnationMs;
            });
            if (!isKnown)
                task.lostRuns.push_back(run);
        }
    }
}

std::string encodeRecord(const ShardJob& job, const ShardId& shard, const CurrentRun& currentRun)
{
    protocol::JobRecord record;
    record.set_shard(shard.value());
    record.set_generation(job.acceptedIn.value());
    record.set_state(static_cast<std::uint32_t>(hasEnded(job.state) ? job.state : JobState::Queued));
    if (hasEnded(job.state))
        return record.SerializeAsString();
    *record.mutable_job() = job.description;
    record.set_transferred_from(job.transferredFrom.value());
    record.set_attempt_floor(job.attemptFloor);
    for (std::size_t phase = 0; phase < job.phases.size(); ++phase) {
        for (std::size_t index = 0; index < job.phases[phase].size(); ++index) {
            const ShardTask& task = job.phases[phase][index];
            const bool isDone = task.state == ShardTask::State::Done;
            const bool hasRecordedRun = task.state == ShardTask::State::Placed && task.recordedAttempt == task.attempt;
            if (!isDone && task.failureCount() == 0 && task.lostRuns.empty() && !hasRecordedRun)
                continue;
            protocol::TaskProgress* const progress = record.add_progress();
            progress->set_phase(static_cast<std::uint32_t>(phase));
            progress->set_index(static_cast<std::uint32_t>(index));
            progress->set_done(isDone);
            if (isDone)
                continue;
            encodeFailures(task, *progress);
            const TaskId id { job.id, progress->phase(), progress->index() };
            for (const LostRun& run : hasRecordedRun ? runsToHandOver(task, id, currentRun) : task.lostRuns)
                encode(run, *progress->add_lost_runs());
        }
    }
    return record.SerializeAsString();
}

void applyProgress(const protocol::JobRecord& record, ShardJob& job, TimePoint now)
{
    job.transferredFrom = ShardId(record.transferred_from());
    job.attemptFloor = record.attempt_floor();
    for (const protocol::TaskProgress& progress : record.progress()) {
        ShardTask* const task = job.task({ job.id, progress.phase(), progress.index() });
        if (!task)
            continue;
        applyFailures(progress, *task);
        add(lostRunsOf(progress, now), *task);
        if (progress.done())
            task->state = ShardTask::State::Done;
    }
}

protocol::JobHandover encodeHandover(const ShardJob& job, TimePoint now, const CurrentRun& currentRun)
{
    protocol::JobHandover handed;
    *handed.mutable_job() = job.description;
    const auto millisecondsSince = [now](TimePoint time) {
        return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - time).count());
    };
    handed.set_waited_ms(millisecondsSince(job.receivedAt));
    // The handover that brought the job here may have been under way for a while, and its origin silent since before.
    handed.set_silent_ms(millisecondsSince(job.certainlySubmittedAt));
    handed.set_entrance(job.originAddress);
    if (job.isEndUnstored())
        handed.set_final_state(static_cast<std::uint32_t>(job.state));
    for (std::size_t phase = 0; phase < job.phases.size(); ++phase) {
        for (std::size_t index = 0; index < job.phases[phase].size(); ++index) {
            const ShardTask& task = job.phases[phase][index];
            protocol::TaskHandover* const state = handed.add_tasks();
            state->set_phase(static_cast<std::uint32_t>(phase));
            state->set_index(static_cast<std::uint32_t>(index));
            state->set_done(task.state == ShardTask::State::Done);
            // A run that no holder has found again has at least the first attempt number.
            state->set_attempt(std::max(task.attempt, task.mayHaveEarlierRun ? 1U : 0U));
            encodeFailures(task, *state);
            const TaskId id { job.id, state->phase(), state->index() };
            for (const LostRun& run : runsToHandOver(task, id, currentRun))
                encode(run, *state->add_lost_runs());
        }
    }
    return handed;
}

void applyHandover(const protocol::JobHandover& handed, ShardJob& job, TimePoint now)
{
    for (const protocol::TaskHandover& state : handed.tasks()) {
        ShardTask* const task = job.task({ job.id, state.phase(), state.index() });
        if (!task)
            continue;
        task->attempt = state.attempt();
        applyFailures(state, *task);
        task->state = state.done() ? ShardTask::State::Done : ShardTask::State::Waiting;
        task->mayHaveEarlierRun = !state.done() && state.attempt() > 0;
    }
    addLostRuns(handed, job, now);
}

void addLostRuns(const protocol::JobHandover& handed, ShardJob& job, TimePoint now)
{
    for (const protocol::TaskHandover& state : handed.tasks()) {
        if (ShardTask* const task = job.task({ job.id, state.phase(), state.index() }))
            add(lostRunsOf(state, now), *task);
    }
}

}
