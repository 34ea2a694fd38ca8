#pragma once

#include "rattanroad_shards/jobs/ShardJob.h"

#include <map>
#include <memory>

namespace rattanroad::shards {

/** The jobs of a shard in the memory of its holder. A job is open from its acceptance to its end. */
class JobTable {
public:
    struct Settings {
        /** Ended jobs stay known for this long. */
        std::chrono::seconds retention { 130 };
        /** Callers submit a best-effort job again within a few seconds, or not at all. */
        std::chrono::seconds bestEffortRetention { 6 };
        /** New best-effort jobs are announced for this long, as single messages may be lost. */
        std::chrono::milliseconds announceTime { 650 };
    };

    JobTable(Settings settings, const Clock& clock);
    JobTable(const JobTable&) = delete;
    JobTable& operator=(const JobTable&) = delete;

    /** Returns a job whose tasks have not begun, received @p waited ago; it is not in the book yet. */
    std::unique_ptr<ShardJob> makeJob(
        const protocol::PlacedJob& description, std::chrono::milliseconds waited = {}) const;
    /** Returns null for a job that is not in memory. */
    ShardJob* find(const JobId& job) const;
    /** Adds a job that is not open. @pre no job of this name is in the book */
    ShardJob& add(std::unique_ptr<ShardJob> job);
    void remove(const JobId& job) { m_jobs.erase(job); }
    void clear();

    void open(ShardJob& job) { m_open[job.id] = &job; }
    void close(const ShardJob& job) { m_open.erase(job.id); }
    const std::map<JobId, ShardJob*>& openJobs() const { return m_open; }
    /** Returns the open jobs in the order in which their tasks start: those that can still be in time first, the most
        urgent of them before the others. */
    std::vector<ShardJob*> openJobsInOrder() const;
    /** Returns the work of waiting tasks of open jobs that are due by @p objective, in millicores times
        milliseconds. */
    double waitingWork(TimePoint objective) const;
    /** Adds the number of jobs without a start, by queue. */
    void addTo(protocol::ShardLoad& load) const;
    /** Returns the ended jobs that need not be known any longer. */
    std::vector<JobId> expired() const;

    /** Other hosts are told of the job with the next loads. */
    void announce(const JobId& job) { m_announced.emplace_back(m_clock.now(), job); }
    std::vector<JobId> announced();

private:
    Settings m_settings;
    const Clock& m_clock;
    std::map<JobId, std::unique_ptr<ShardJob>> m_jobs;
    std::map<JobId, ShardJob*> m_open;
    std::vector<std::pair<TimePoint, JobId>> m_announced;
};

}
