#pragma once

#include "rattanroad_shards/jobs/ShardJob.h"
#include "rattanroad_shards/scheduling/WorkQueue.h"

#include <map>
#include <memory>

namespace rattanroad::shards {

/** In-memory table of a shard's jobs, kept by the holder. A job is open from its acceptance until it has ended. */
class JobTable {
public:
    struct Settings {
        /** Time for which jobs stay in the table after their end was shown. */
        std::chrono::seconds retention { 130 };
        /** The same for best-effort jobs, which callers resubmit within a few seconds or not at all. */
        std::chrono::seconds bestEffortRetention { 6 };
    };

    JobTable(Settings settings, const Clock& clock);
    JobTable(const JobTable&) = delete;
    JobTable& operator=(const JobTable&) = delete;

    /** Creates a job that was received @p waited ago and whose tasks have not started. Does not add it to the table. */
    std::unique_ptr<ShardJob> makeJob(
        const protocol::PlacedJob& description, std::chrono::milliseconds waited = {}) const;
    /** Returns null for a job that is not in memory. */
    ShardJob* find(const JobId& job) const;
    /** Adds a job without opening it. @pre the table has no job with this id */
    ShardJob& add(std::unique_ptr<ShardJob> job);
    void remove(const JobId& job) { m_jobs.erase(job); }
    void clear();

    void open(ShardJob& job);
    void close(const ShardJob& job);
    const std::map<JobId, ShardJob*>& openJobs() const { return m_open; }
    /** Returns the open jobs that have tasks to start. */
    const WorkQueue& workQueue() const { return m_workQueue; }
    WorkQueue& workQueue() { return m_workQueue; }
    /** Updates the place of a job among those that have tasks to start, after some of its tasks have changed. */
    void refresh(const ShardJob& job);
    /** Sets the expected ratio of run times to their estimates. Applies to each job with its next refresh. */
    void setRunTimeFactor(double factor) { m_runTimeFactor = factor; }
    /** Adds the number of queued jobs per queue. */
    void addQueueDepths(protocol::ShardLoad& load) const;
    /** Returns the stored jobs that have ended and whose records do not hold the end yet. */
    std::vector<ShardJob*> jobsWithUnstoredEnds() const;
    /** Returns the ended jobs whose retention is over. */
    std::vector<JobId> expired() const;

private:
    Settings m_settings;
    const Clock& m_clock;
    std::map<JobId, std::unique_ptr<ShardJob>> m_jobs;
    std::map<JobId, ShardJob*> m_open;
    WorkQueue m_workQueue;
    double m_runTimeFactor { 1 };
};

}
