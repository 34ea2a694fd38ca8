#pragma once

#include "rattanroad_shards/jobs/JobCodec.h"
#include "rattanroad_shards/jobs/JobTable.h"

#include <map>

namespace rattanroad::shards {

/** Builds the handover of a shard to its next holder, and keeps the states of stored jobs that earlier holders have
    handed over until the records of the jobs are loaded.
*/
class ShardHandovers {
public:
    using Log = std::function<void(const char* event, const JobId&, const std::string& detail)>;

    ShardHandovers(ShardId shard, JobTable& jobs, const Clock& clock, CurrentRun currentRun, Log log);
    ShardHandovers(const ShardHandovers&) = delete;
    ShardHandovers& operator=(const ShardHandovers&) = delete;

    /** Returns the ends of stored jobs that could not be stored and, with @p areOpenJobsIncluded, the open best-effort
        jobs and the runs of stored jobs. */
    protocol::ShardHandover take(bool areOpenJobsIncluded);
    /** Returns the ends of stored jobs that could not be stored, and removes these jobs from the table. */
    protocol::ShardHandover takeUnstoredEnds();
    /** Forgets what earlier holders have handed over, but keeps the ends that this host could not store itself. */
    void beginLoading();
    /** Keeps the state of a stored job that an earlier holder has handed over. */
    void keep(const protocol::JobHandover& handed) { m_states[JobId(handed.job().id())] = handed; }
    /** Returns null when no state of the job was handed over. */
    const protocol::JobHandover* find(const JobId& job) const;

private:
    ShardId m_shard;
    JobTable& m_jobs;
    const Clock& m_clock;
    CurrentRun m_currentRun;
    Log m_log;
    std::map<JobId, protocol::JobHandover> m_states;
};

}
