#include "rattanroad_shards/jobs/ShardHandovers.h"

namespace rattanroad::shards {

ShardHandovers::ShardHandovers(ShardId shard, JobTable& jobs, const Clock& clock, CurrentRun currentRun, Log log)
    : m_shard(std::move(shard))
    , m_jobs(jobs)
    , m_clock(clock)
    , m_currentRun(std::move(currentRun))
    , m_log(std::move(log))
{
}

protocol::ShardHandover ShardHandovers::take(bool areOpenJobsIncluded)
{
    protocol::ShardHandover handover = takeUnstoredEnds();
    if (!areOpenJobsIncluded)
        return handover;
    for (const auto& entry : m_jobs.openJobs()) {
        const ShardJob& job = *entry.second;
        const protocol::JobHandover handed = encodeHandover(job, m_clock.now(), m_currentRun);
        if (job.description.best_effort())
            *handover.add_jobs() = handed;
        else if (job.state == JobState::Running)
            *handover.add_stored_jobs() = handed;
    }
    return handover;
}

protocol::ShardHandover ShardHandovers::takeUnstoredEnds()
{
    protocol::ShardHandover handover;
    handover.set_shard(m_shard.value());
    for (const ShardJob* const job : m_jobs.jobsWithUnstoredEnds()) {
        const JobId id = job->id;
        *handover.add_stored_jobs() = encodeHandover(*job, m_clock.now(), m_currentRun);
        m_log("job_end_handed_over", id, "shard " + m_shard.value());
        m_jobs.remove(id);
    }
    return handover;
}

void ShardHandovers::beginLoading()
{
    const protocol::ShardHandover own = takeUnstoredEnds();
    m_states.clear();
    for (const protocol::JobHandover& handed : own.stored_jobs())
        keep(handed);
}

const protocol::JobHandover* ShardHandovers::find(const JobId& job) const
{
    const auto found = m_states.find(job);
    return found == m_states.end() ? nullptr : &found->second;
}

}
