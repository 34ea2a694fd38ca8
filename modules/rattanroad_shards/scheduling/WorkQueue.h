#pragma once

#include "rattanroad_shards/scheduling/DeadlineSums.h"
#include "rattanroad_shards/types/ShardTypes.h"

#include <map>
#include <set>
#include <vector>

namespace rattanroad::shards {

/** What the order of jobs depends on, for a job with tasks that wait for a target. */
struct WaitingJob {
    JobId id;
    /** 0 comes first. */
    std::uint32_t priority { 0 };
    TimePoint softDeadline;
    /** Latest time at which it has to start to be expected to end by its soft deadline. */
    TimePoint latestStart;
    /** From this time on the job cannot end by its soft deadline. */
    TimePoint lateAt;
    /** From this time on its caller cannot be answered in time; TimePoint::max() if the job is never given up. */
    TimePoint hopelessAt { TimePoint::max() };
    /** Estimated run times of its waiting tasks times their millicores. */
    std::uint64_t work { 0 };
    /** Millicores of its smallest waiting task. */
    std::uint32_t smallestTask { 0 };
    bool isStored { false };
};

/** The jobs of a shard that have tasks to start, in scheduling order. Each change costs O(log n). Jobs that can still
    end in time come before those that cannot.
*/
class WorkQueue {
public:
    WorkQueue() = default;
    WorkQueue(const WorkQueue&) = delete;
    WorkQueue& operator=(const WorkQueue&) = delete;

    /** Adds the job or replaces what is known of it. */
    void set(const WaitingJob& job);
    void remove(const JobId& job);
    void clear();
    /** Moves the jobs that have become late behind all others and returns them. */
    std::vector<JobId> updateLate(TimePoint now);
    /** Returns the jobs whose callers cannot be answered in time. */
    std::vector<JobId> hopeless(TimePoint now) const;

    bool isEmpty() const { return m_jobs.empty(); }
    std::size_t size() const { return m_jobs.size(); }
    /** Returns null for a job without waiting tasks. */
    const WaitingJob* find(const JobId& job) const;
    /** Returns the millicores of the smallest waiting task. @pre the queue is not empty */
    std::uint32_t smallestTask() const { return *m_sizes.begin(); }
    /** Returns the work of the jobs in time of this priority or a higher one whose soft deadline is not after @p
        softDeadline. Late jobs and lower priorities give way, so they do not count. */
    std::uint64_t workBefore(std::uint32_t priority, TimePoint softDeadline) const;
    /** Returns the same for this priority alone. */
    std::uint64_t workOfPriority(std::uint32_t priority, TimePoint softDeadline) const;
    /** Returns the work of all jobs in time. */
    std::uint64_t workInTime() const;
    /** Returns the work of the stored jobs that are late. */
    std::uint64_t lateStoredWork() const { return m_lateStoredWork; }
    /** Returns the priorities that have jobs in time, highest first. */
    std::vector<std::uint32_t> prioritiesInTime() const;

private:
    friend class ScheduleOrder;

    struct Entry {
        WaitingJob job;
        bool isLate { false };
    };
    /** The earliest soft deadline comes first. */
    struct EarlierDeadline {
        bool operator()(const Entry* left, const Entry* right) const;
    };
    using Jobs = std::set<const Entry*, EarlierDeadline>;
    struct Class {
        Jobs jobs;
        DeadlineSums work;
    };

    void link(const Entry& entry);
    void unlink(const Entry& entry);

    std::map<JobId, Entry> m_jobs;
    /** The jobs in time, by priority. */
    std::map<std::uint32_t, Class> m_inTime;
    Jobs m_late;
    std::uint64_t m_lateStoredWork { 0 };
    /** Jobs in time by the time at which they become late. */
    std::set<std::pair<TimePoint, JobId>> m_lateTimes;
    std::set<std::pair<TimePoint, JobId>> m_hopelessTimes;
    std::multiset<std::uint32_t> m_sizes;
};

}
