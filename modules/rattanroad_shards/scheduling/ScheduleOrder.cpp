#include "rattanroad_shards/scheduling/ScheduleOrder.h"

#include <algorithm>

namespace rattanroad::shards {

bool ScheduleOrder::isRoomShort(const WorkQueue& queue, double rate, TimePoint now)
{
    const std::vector<std::uint32_t> priorities = queue.prioritiesInTime();
    if (priorities.size() < 2)
        return false;
    // Jobs of one priority have similar times to their deadlines, so the first and the last of each are the ones that
    // are most likely to become late.
    const auto isTooLate = [&](const WaitingJob& job) {
        const std::chrono::duration<double, std::milli> left = job.latestStart - now;
        return static_cast<double>(queue.workBefore(priorities.back(), job.softDeadline) - job.work)
            > rate * left.count();
    };
    for (const std::uint32_t priority : priorities) {
        const WorkQueue::Jobs& jobs = queue.m_inTime.at(priority).jobs;
        if (isTooLate((*jobs.begin())->job) || isTooLate((*jobs.rbegin())->job))
            return true;
    }
    return false;
}

ScheduleOrder::ScheduleOrder(const WorkQueue& queue, const GuaranteedShares* shares)
    : m_shares(shares)
    , m_late { 0, queue.m_late.begin(), queue.m_late.end() }
{
    for (const auto& jobs : queue.m_inTime)
        m_inTime.push_back({ jobs.first, jobs.second.jobs.begin(), jobs.second.jobs.end() });
}

ScheduleOrder::Position* ScheduleOrder::firstByDeadline()
{
    Position* first = nullptr;
    for (Position& jobs : m_inTime) {
        if (jobs.next == jobs.end)
            continue;
        if (!first || WorkQueue::EarlierDeadline()(*jobs.next, *first->next))
            first = &jobs;
    }
    return first;
}

ScheduleOrder::Position* ScheduleOrder::firstByPriority()
{
    std::vector<std::uint32_t> waiting;
    for (const Position& jobs : m_inTime) {
        if (jobs.next != jobs.end)
            waiting.push_back(jobs.priority);
    }
    if (waiting.empty())
        return nullptr;
    const std::uint32_t first = m_shares->owed(waiting).value_or(waiting.front());
    return &*std::find_if(
        m_inTime.begin(), m_inTime.end(), [first](const Position& jobs) { return jobs.priority == first; });
}

const WaitingJob* ScheduleOrder::next()
{
    Position* first = m_shares ? firstByPriority() : firstByDeadline();
    if (!first && m_late.next != m_late.end)
        first = &m_late;
    return first ? &(*first->next++)->job : nullptr;
}

}
