#include "rattanroad_shards/jobs/JobRequirements.h"

#include <algorithm>

namespace rattanroad::shards {

std::chrono::milliseconds criticalPathLength(const protocol::PlacedJob& job)
{
    std::vector<std::int64_t> ends;
    std::int64_t longest = 0;
    for (const protocol::PhaseDescription& phase : job.phases()) {
        std::int64_t start = 0;
        for (const std::uint32_t before : phase.after()) {
            if (before < ends.size())
                start = std::max(start, ends[before]);
        }
        ends.push_back(start + phase.estimated_ms());
        longest = std::max(longest, ends.back());
    }
    return std::chrono::milliseconds(longest);
}

std::chrono::milliseconds latencyObjective(const protocol::PlacedJob& job)
{
    const double stretched = job.rule().stretch() * static_cast<double>(criticalPathLength(job).count());
    return std::chrono::milliseconds(static_cast<std::int64_t>(stretched) + job.rule().target_duration_ms());
}

Resources taskResources(const protocol::PhaseDescription& phase)
{
    return { phase.millicores(), phase.memory_mb(), phase.accelerators() };
}

PlacementRequest placementRequest(const protocol::PlacedJob& job, std::size_t phase)
{
    const protocol::PhaseDescription& description = job.phases(static_cast<int>(phase));
    return { taskResources(description), std::chrono::milliseconds(description.estimated_ms()),
        ServiceId(job.rule().service()), description.required_label(), description.data_rack(),
        description.maximum_per_target() };
}

bool isServable(const protocol::JobRecord& record)
{
    // Far above the number of tasks that a job may have.
    constexpr std::uint64_t maximumTasks = 100000;
    if (record.state() > static_cast<unsigned>(JobState::Cancelled))
        return false;
    if (hasEnded(static_cast<JobState>(record.state())))
        return true;
    std::uint64_t tasks = 0;
    for (int phase = 0; phase < record.job().phases_size(); ++phase) {
        const auto& after = record.job().phases(phase).after();
        const bool isOrdered = std::all_of(after.begin(), after.end(),
            [phase](std::uint32_t earlier) { return earlier < static_cast<std::uint32_t>(phase); });
        if (!isOrdered)
            return false;
        tasks += record.job().phases(phase).count();
    }
    return tasks > 0 && tasks <= maximumTasks;
}

}
