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

    std::optional<Failure> checkSize(const protocol::JobDescription& job, const AdmissionControl::Settings& settings)
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

    std::optional<Failure> checkDeadline(
        const protocol::JobDescription& job, const AdmissionControl::Settings& settings)
    {
        if (job.deadline_left_ms() == 0)
            return refusal(FailureCode::DeadlineUnreachable, "the deadline has passed");
        if (std::chrono::milliseconds(job.deadline_left_ms()) <= settings.maximumDeadline)
            return std::nullopt;
        return refusal(FailureCode::MalformedRequest,
            "the deadline is later than the allowed " + std::to_string(settings.maximumDeadline.count()) + " ms");
    }

    std::optional<Failure> checkEligibleTargets(const protocol::JobDescription& job, const Inventory& inventory)
    {
        // The check visits all targets, and most tasks of a job have the same kind and needs, so each combination is
        // checked once.
        std::set<std::tuple<std::string, std::uint32_t, std::uint32_t, std::uint32_t>> checked;
        for (const auto& task : job.tasks()) {
            if (!checked.emplace(task.kind(), task.memory_mb(), task.cores(), task.accelerators()).second)
                continue;
            if (auto reason = inventory.reasonNoTargetCanRun(WorkKind(task.kind()), needsOf(task)))
                return reason;
        }
        return std::nullopt;
    }

    std::optional<Failure> checkExpectedWait(const protocol::JobDescription& job,
        const AdmissionControl::Settings& settings, const AdmissionControl::Context& context)
    {
        const auto wait = context.queueWait;
        const std::chrono::duration<double> deadline = std::chrono::milliseconds(job.deadline_left_ms());
        // Estimates of wait and run time may be far off, so they refuse a job only when the host is overloaded.
        const bool isOverloaded = std::min(wait, context.recentWait) > deadline * settings.overloadedWaitShare;
        const bool fitsDeadline = wait + context.longestRunTime <= deadline;
        if (!isOverloaded || (fitsDeadline && wait <= deadline * settings.maximumWaitShare))
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
    const protocol::JobDescription& job, const Inventory& inventory, const Context& context) const
{
    if (auto failure = checkSize(job, m_settings))
        return failure;
    const TeamId team(job.team());
    if (!inventory.team(team))
        return refusal(FailureCode::TeamUnknown, "there is no team '" + job.team() + "'");
    if (auto failure = checkDeadline(job, m_settings))
        return failure;
    if (auto failure = checkEligibleTargets(job, inventory))
        return failure;
    if (context.isDraining)
        return refusal(FailureCode::Draining, "this host is shutting down");
    const auto count = static_cast<std::size_t>(job.tasks_size());
    if (m_queuedTasks + count > m_settings.maximumQueuedTasks)
        return refusal(FailureCode::Overloaded, "the queue of this host is full");
    const auto queued = m_queuedByTeam.find(team);
    const auto teamCount = (queued == m_queuedByTeam.end() ? 0 : queued->second) + count;
    const auto teamLimit = static_cast<double>(m_settings.maximumQueuedTasks) * m_settings.maximumTeamShare;
    if (static_cast<double>(teamCount) > teamLimit)
        return refusal(FailureCode::QuotaExceeded, "the queue share of team '" + job.team() + "' is full");
    return checkExpectedWait(job, m_settings, context);
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
    // Removing more tasks than were added means that the engine counted a task twice.
    assert(queued != m_queuedByTeam.end() && queued->second >= count && m_queuedTasks >= count);
    m_queuedTasks -= count;
    queued->second -= count;
    if (queued->second == 0)
        m_queuedByTeam.erase(queued);
}

}
