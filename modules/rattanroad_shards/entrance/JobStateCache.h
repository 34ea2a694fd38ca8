#pragma once

#include "rattanroad_shards/types/ShardTypes.h"

#include <map>

namespace rattanroad::shards {

/** Bounded cache of the last known states and shards of jobs. Evicts the jobs that were added first. */
class JobStateCache {
public:
    struct Settings {
        std::size_t maximumJobs { 20000 };
    };
    struct Entry {
        ShardId shard;
        JobState state { JobState::Queued };
        TimePoint updatedAt;
    };

    JobStateCache(Settings settings, const Clock& clock)
        : m_settings(settings)
        , m_clock(clock)
    {
    }

    /** Sets the state of a job. The state of a job that has ended is kept, because a late reply may be stale. */
    void update(const JobId& job, const ShardId& shard, JobState state);
    /** Returns null for a job that is not cached. */
    const Entry* find(const JobId& job) const;

private:
    Settings m_settings;
    const Clock& m_clock;
    std::map<JobId, Entry> m_states;
    /** Jobs in the order of their insertion; a ring buffer once it is full. */
    std::vector<JobId> m_insertionOrder;
    std::size_t m_oldestIndex { 0 };
};

}
