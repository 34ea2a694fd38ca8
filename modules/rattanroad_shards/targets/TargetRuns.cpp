#include "rattanroad_shards/targets/TargetRuns.h"

#include <algorithm>

namespace rattanroad::shards {

const TargetRun* TargetRuns::find(const TaskId& task) const
{
    const auto found = m_runs.find(task);
    return found == m_runs.end() ? nullptr : &found->second;
}

TargetRun* TargetRuns::find(const TaskId& task)
{
    const auto found = m_runs.find(task);
    return found == m_runs.end() ? nullptr : &found->second;
}

const TargetRun* TargetRuns::find(const TaskId& task, std::uint32_t attempt) const
{
    const TargetRun* const run = find(task);
    return run && run->attempt == attempt ? run : nullptr;
}

TargetRun* TargetRuns::find(const TaskId& task, std::uint32_t attempt)
{
    TargetRun* const run = find(task);
    return run && run->attempt == attempt ? run : nullptr;
}

TargetRun& TargetRuns::add(const TaskId& task, TargetRun run)
{
    m_used += run.resources;
    m_isolation = std::max(m_isolation, run.isolation);
    return m_runs[task] = std::move(run);
}

void TargetRuns::remove(const TaskId& task)
{
    m_runs.erase(task);
    updateUse();
}

void TargetRuns::updateUse()
{
    m_used = {};
    m_isolation = Isolation::None;
    for (const auto& entry : m_runs) {
        m_used += entry.second.resources;
        m_isolation = std::max(m_isolation, entry.second.isolation);
    }
}

bool TargetRuns::endPreferredIsolation(TimePoint startedBefore)
{
    bool hasEnded = false;
    for (auto& entry : m_runs) {
        TargetRun& run = entry.second;
        if (run.isolation != Isolation::Preferred || run.startedAt >= startedBefore)
            continue;
        run.isolation = Isolation::None;
        hasEnded = true;
    }
    updateUse();
    return hasEnded;
}

std::vector<TaskId> TargetRuns::tasks() const
{
    std::vector<TaskId> tasks;
    for (const auto& entry : m_runs)
        tasks.push_back(entry.first);
    return tasks;
}

std::vector<TaskId> TargetRuns::missingFrom(const std::set<TaskId>& listed, TimePoint sentAt) const
{
    std::vector<TaskId> missing;
    for (const auto& entry : m_runs) {
        const TargetRun& run = entry.second;
        if (!listed.count(entry.first) && run.confirmedAt && *run.confirmedAt < sentAt)
            missing.push_back(entry.first);
    }
    return missing;
}

}
