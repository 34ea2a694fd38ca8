#include "rattanroad_shards/jobs/WaitingWork.h"

#include "rattanroad_shards/jobs/JobRequirements.h"

#include <algorithm>

namespace rattanroad::shards {

namespace {
    /** A run takes at least this share of its expected time: estimates are off by up to 40 %. */
    constexpr double shortestRunShare = 0.6;

    std::chrono::milliseconds scaled(std::chrono::milliseconds time, double factor)
    {
        return std::chrono::milliseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
    }
}

std::uint64_t taskWork(const protocol::PhaseDescription& phase)
{
    const std::chrono::milliseconds estimate(phase.estimated_ms());
    const auto counted = std::clamp(estimate, shortestCountedRun, longestCountedRun);
    return static_cast<std::uint64_t>(counted.count()) * phase.millicores();
}

std::optional<WaitingJob> waitingJob(const ShardJob& job, double runTimeFactor)
{
    WaitingJob waiting;
    std::size_t waitingTasks = 0;
    bool hasStarted = false;
    std::chrono::milliseconds remaining { 0 };
    for (std::size_t phase = 0; phase < job.phases.size(); ++phase) {
        const protocol::PhaseDescription& description = job.description.phases(static_cast<int>(phase));
        const auto count = std::count_if(job.phases[phase].begin(), job.phases[phase].end(),
            [](const ShardTask& task) { return task.state == ShardTask::State::Waiting && !task.mayHaveEarlierRun; });
        hasStarted = hasStarted || static_cast<std::size_t>(count) < job.phases[phase].size();
        if (count == 0)
            continue;
        waiting.smallestTask
            = waitingTasks == 0 ? description.millicores() : std::min(waiting.smallestTask, description.millicores());
        waitingTasks += static_cast<std::size_t>(count);
        waiting.work += static_cast<std::uint64_t>(count) * taskWork(description);
        remaining = std::max(remaining, std::chrono::milliseconds(description.estimated_ms()));
    }
    if (waitingTasks == 0)
        return std::nullopt;
    if (!hasStarted)
        remaining = criticalPathLength(job.description);
    waiting.id = job.id;
    waiting.priority = job.description.rule().priority();
    waiting.softDeadline = job.softDeadline;
    waiting.isStored = !job.description.best_effort();
    waiting.latestStart = job.softDeadline - scaled(remaining, runTimeFactor);
    if (job.callerDeadline && job.description.best_effort())
        waiting.hopelessAt = *job.callerDeadline - scaled(remaining, runTimeFactor * shortestRunShare);
    // A job that has started is worth completing as long as it may be in time, and the runs that it has had are lost
    // otherwise.
    waiting.lateAt
        = hasStarted ? job.softDeadline : job.softDeadline - scaled(remaining, runTimeFactor * shortestRunShare);
    return waiting;
}

}
