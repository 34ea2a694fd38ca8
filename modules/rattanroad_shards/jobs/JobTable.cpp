#include "rattanroad_shards/jobs/JobTable.h"

#include "rattanroad_shards/jobs/JobRequirements.h"
#include "rattanroad_shards/jobs/WaitingWork.h"

#include <cassert>

namespace rattanroad::shards {

JobTable::JobTable(Settings settings, const Clock& clock)
    : m_settings(settings)
    , m_clock(clock)
{
}

std::unique_ptr<ShardJob> JobTable::makeJob(
    const protocol::PlacedJob& description, std::chrono::milliseconds waited) const
{
    auto job = std::make_unique<ShardJob>();
    job->id = JobId(description.id());
    job->description = description;
    job->lastSubmittedAt = m_clock.now();
    job->certainlySubmittedAt = job->lastSubmittedAt;
    job->receivedAt = job->lastSubmittedAt - waited;
    job->softDeadline = job->receivedAt + latencyObjective(description);
    for (const protocol::PhaseDescription& phase : description.phases())
        job->phases.emplace_back(phase.count());
    return job;
}

ShardJob* JobTable::find(const JobId& job) const
{
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? nullptr : found->second.get();
}

ShardJob& JobTable::add(std::unique_ptr<ShardJob> job)
{
    assert(!m_jobs.count(job->id));
    ShardJob& added = *job;
    m_jobs[added.id] = std::move(job);
    return added;
}

void JobTable::clear()
{
    m_workQueue.clear();
    m_open.clear();
    m_jobs.clear();
}

void JobTable::open(ShardJob& job)
{
    m_open[job.id] = &job;
    refresh(job);
}

void JobTable::close(const ShardJob& job)
{
    m_open.erase(job.id);
    m_workQueue.remove(job.id);
}

void JobTable::refresh(const ShardJob& job)
{
    const auto waiting = m_open.count(job.id) == 0 ? std::nullopt : waitingJob(job, m_runTimeFactor);
    if (waiting)
        m_workQueue.set(*waiting);
    else
        m_workQueue.remove(job.id);
}

void JobTable::addQueueDepths(protocol::ShardLoad& load) const
{
    std::map<std::string, std::uint32_t> depths;
    for (const auto& entry : m_open) {
        if (entry.second->state == JobState::Queued)
            ++depths[entry.second->description.rule().queue()];
    }
    for (const auto& depth : depths) {
        protocol::QueueDepth* const added = load.add_depths();
        added->set_queue(depth.first);
        added->set_waiting_jobs(depth.second);
    }
}

std::vector<ShardJob*> JobTable::jobsWithUnstoredEnds() const
{
    std::vector<ShardJob*> jobs;
    for (const auto& entry : m_jobs) {
        if (entry.second->isEndUnstored())
            jobs.push_back(entry.second.get());
    }
    return jobs;
}

std::vector<JobId> JobTable::expired() const
{
    const TimePoint now = m_clock.now();
    std::vector<JobId> jobs;
    for (const auto& entry : m_jobs) {
        const ShardJob& job = *entry.second;
        if (!job.endShownAt)
            continue;
        const auto retention = job.description.best_effort() ? m_settings.bestEffortRetention : m_settings.retention;
        if (now - *job.endShownAt >= retention)
            jobs.push_back(entry.first);
    }
    return jobs;
}

}
