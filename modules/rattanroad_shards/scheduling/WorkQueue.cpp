#include "rattanroad_shards/scheduling/WorkQueue.h"

#include <tuple>

namespace rattanroad::shards {

bool WorkQueue::EarlierDeadline::operator()(const Entry* left, const Entry* right) const
{
    return std::tie(left->job.softDeadline, left->job.id) < std::tie(right->job.softDeadline, right->job.id);
}

void WorkQueue::set(const WaitingJob& job)
{
    const auto [found, isNew] = m_jobs.try_emplace(job.id);
    Entry& entry = found->second;
    const bool isInPlace = !isNew && entry.job.priority == job.priority && entry.job.softDeadline == job.softDeadline
        && entry.job.lateAt == job.lateAt && entry.job.hopelessAt == job.hopelessAt
        && entry.job.smallestTask == job.smallestTask && !entry.isLate;
    if (isInPlace) {
        // A pass over the queue may be at this job, so its place is kept.
        DeadlineSums& sums = m_inTime[job.priority].work;
        sums.remove(entry.job.softDeadline, entry.job.work);
        sums.add(job.softDeadline, job.work);
        entry.job = job;
        return;
    }
    if (!isNew)
        unlink(entry);
    entry.job = job;
    link(entry);
}

void WorkQueue::link(const Entry& entry)
{
    const WaitingJob& job = entry.job;
    m_sizes.insert(job.smallestTask);
    if (job.hopelessAt != TimePoint::max())
        m_hopelessTimes.emplace(job.hopelessAt, job.id);
    if (entry.isLate) {
        m_late.insert(&entry);
        m_lateStoredWork += job.isStored ? job.work : 0;
        return;
    }
    Class& jobs = m_inTime[job.priority];
    jobs.jobs.insert(&entry);
    jobs.work.add(job.softDeadline, job.work);
    m_lateTimes.emplace(job.lateAt, job.id);
}

void WorkQueue::unlink(const Entry& entry)
{
    const WaitingJob& job = entry.job;
    m_sizes.erase(m_sizes.find(job.smallestTask));
    m_hopelessTimes.erase({ job.hopelessAt, job.id });
    if (entry.isLate) {
        m_late.erase(&entry);
        m_lateStoredWork -= job.isStored ? job.work : 0;
        return;
    }
    const auto jobs = m_inTime.find(job.priority);
    jobs->second.jobs.erase(&entry);
    jobs->second.work.remove(job.softDeadline, job.work);
    m_lateTimes.erase({ job.lateAt, job.id });
}

void WorkQueue::remove(const JobId& job)
{
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end())
        return;
    unlink(found->second);
    m_jobs.erase(found);
}

void WorkQueue::clear()
{
    m_inTime.clear();
    m_late.clear();
    m_lateStoredWork = 0;
    m_lateTimes.clear();
    m_hopelessTimes.clear();
    m_sizes.clear();
    m_jobs.clear();
}

std::vector<JobId> WorkQueue::updateLate(TimePoint now)
{
    std::vector<JobId> late;
    while (!m_lateTimes.empty() && m_lateTimes.begin()->first < now) {
        Entry& entry = m_jobs[m_lateTimes.begin()->second];
        unlink(entry);
        entry.isLate = true;
        link(entry);
        late.push_back(entry.job.id);
    }
    return late;
}

std::vector<JobId> WorkQueue::hopeless(TimePoint now) const
{
    std::vector<JobId> jobs;
    for (auto job = m_hopelessTimes.begin(); job != m_hopelessTimes.end() && job->first <= now; ++job)
        jobs.push_back(job->second);
    return jobs;
}

const WaitingJob* WorkQueue::find(const JobId& job) const
{
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? nullptr : &found->second.job;
}

std::uint64_t WorkQueue::workBefore(std::uint32_t priority, TimePoint softDeadline) const
{
    std::uint64_t work = 0;
    for (auto jobs = m_inTime.begin(); jobs != m_inTime.end() && jobs->first <= priority; ++jobs)
        work += jobs->second.work.upTo(softDeadline);
    return work;
}

std::uint64_t WorkQueue::workOfPriority(std::uint32_t priority, TimePoint softDeadline) const
{
    const auto jobs = m_inTime.find(priority);
    return jobs == m_inTime.end() ? 0 : jobs->second.work.upTo(softDeadline);
}

std::uint64_t WorkQueue::workInTime() const
{
    std::uint64_t work = 0;
    for (const auto& jobs : m_inTime)
        work += jobs.second.work.total();
    return work;
}

std::vector<std::uint32_t> WorkQueue::prioritiesInTime() const
{
    std::vector<std::uint32_t> priorities;
    for (const auto& jobs : m_inTime) {
        if (!jobs.second.jobs.empty())
            priorities.push_back(jobs.first);
    }
    return priorities;
}

}
