#include "rattanroad_admission/admission/AdmissionControl.h"

#include <algorithm>
#include <cassert>
#include <set>
#include <tuple>

namespace rattanroad {

namespace {

    Failure refusal(FailureCode code, std::string detail) { return { code, RunState::NotRun, std::move(detail) }; }

    Resources needsOf(const protocol::TaskDescription& task)
    {
        return { task.cores(), MebibyteCount(task.memory_mb()), task.accelerators() };
    }

    std::optional<Failure> refuseSize(const protocol::JobDescription& job, const AdmissionControl::Settings& settings)
    {
        if (job.tasks().empty())
            return refusal(FailureCode::MalformedRequest, "the job has no tasks");
        const auto taskCount = static_cast<std::size_t>(job.tasks_size());
        if (taskCount > settings.maximumTasksPerJob) {
            return refusal(FailureCode::RequestTooLarge,
                "the job has " + std::to_string(taskCount) + " tasks; at most "
                    + std::to_string(settings.maximumTasksPerJob) + " are allowed");
        }
        std::uint64_t size = 0;
        for (const auto& task : job.tasks())
            size += task.payload().size();
        if (ByteCount(size) > settings.maximumJobSize) {
            return refusal(FailureCode::RequestTooLarge,
                "the payloads have " + std::to_string(size) + " bytes; at most "
                    + std::to_string(settings.maximumJobSize.value()) + " are allowed");
        }
        return std::nullopt;
    }

    std::optional<Failure> refuseDeadline(
        const protocol::JobDescription& job, const AdmissionControl::Settings& settings)
    {
        if (job.deadline_left_ms() == 0)
            return refusal(FailureCode::DeadlineUnreachable, "the deadline has passed");
        if (std::chrono::milliseconds(job.deadline_left_ms()) <= settings.maximumDeadline)
            return std::nullopt;
        return refusal(FailureCode::MalformedRequest,
            "the deadline is later than the allowed " + std::to_string(settings.maximumDeadline.count()) + " ms");
    }

    std::optional<Failure> refuseTargets(const protocol::JobDescription& job, const Inventory& inventory)
    {
        // Tasks of a job are mostly alike, and the check visits all targets.
        std::set<std::tuple<std::string, std::uint32_t, std::uint32_t, std::uint32_t>> checked;
        for (const auto& task : job.tasks()) {
            if (!checked.emplace(task.kind(), task.memory_mb(), task.cores(), task.accelerators()).second)
                continue;
            if (auto reason = inventory.reasonNoTargetCanRun(WorkKind(task.kind()), needsOf(task)))
                return reason;
        }
        return std::nullopt;
    }

    std::optional<Failure> refuseWait(const protocol::JobDescription& job, const AdmissionControl::Settings& settings,
        const AdmissionControl::Context& situation)
    {
        const auto wait = situation.queueWait;
        const std::chrono::duration<double> deadline = std::chrono::milliseconds(job.deadline_left_ms());
        // Expected waits and declared times may be far off, so without a sign of overload the job gets its chance.
        const bool isOverloaded = std::min(wait, situation.recentWait) > deadline * settings.overloadedWaitShare;
        const bool fits = wait + situation.longestRun <= deadline;
        if (!isOverloaded || (fits && wait <= deadline * settings.maximumWaitShare))
            return std::nullopt;
        const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
        return refusal(FailureCode::DeadlineUnreachable,
            "the expected wait of " + std::to_string(milliseconds)
                + " ms and the run time are too long for the deadline of " + std::to_string(job.deadline_left_ms())
                + " ms");
    }

}

AdmissionControl::AdmissionControl(Settings settings)
    : m_settings(settings)
{
}

std::optional<Failure> AdmissionControl::checkAdmission(
    const protocol::JobDescription& job, const Inventory& inventory, const Context& situation) const
{
    if (auto failure = refuseSize(job, m_settings))
        return failure;
    const TeamId team(job.team());
    if (!inventory.team(team))
        return refusal(FailureCode::TeamUnknown, "there is no team '" + job.team() + "'");
    if (auto failure = refuseDeadline(job, m_settings))
        return failure;
    if (auto failure = refuseTargets(job, inventory))
        return failure;
    if (situation.isDraining)
        return refusal(FailureCode::Draining, "this host is shutting down");
    const auto count = static_cast<std::size_t>(job.tasks_size());
    if (m_queuedTasks + count > m_settings.maximumQueuedTasks)
        return refusal(FailureCode::Overloaded, "the queue of this host is full");
    const auto queued = m_queuedByTeam.find(team);
    const auto teamCount = (queued == m_queuedByTeam.end() ? 0 : queued->second) + count;
    const auto teamLimit = static_cast<double>(m_settings.maximumQueuedTasks) * m_settings.maximumTeamShare;
    if (static_cast<double>(teamCount) > teamLimit)
        return refusal(FailureCode::QuotaExceeded, "the queue share of team '" + job.team() + "' is full");
    return refuseWait(job, m_settings, situation);
}

void AdmissionControl::addQueuedTasks(const TeamId& team, std::size_t count)
{
    m_queuedTasks += count;
    m_queuedByTeam[team] += count;
}

void AdmissionControl::removeQueuedTasks(const TeamId& team, std::size_t count)
{
    if (count == 0)
        return;
    const auto queued = m_queuedByTeam.find(team);
    // More tasks leaving than entered means that the engine counts a task twice.
    assert(queued != m_queuedByTeam.end() && queued->second >= count && m_queuedTasks >= count);
    m_queuedTasks -= count;
    queued->second -= count;
    if (queued->second == 0)
        m_queuedByTeam.erase(queued);
}

}
