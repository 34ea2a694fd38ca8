#pragma once

#include "rattanroad_shards/types/ShardTypes.h"

#include <map>

namespace rattanroad::shards {

/** The states of jobs that this host has seen last, with the shards of the jobs. Forgets the oldest jobs first. */
class JobStateCache {
public:
    struct Settings {
        std::size_t maximumJobs { 20000 };
    };
    struct Seen {
        ShardId shard;
        JobState state { JobState::Queued };
        TimePoint seenAt;
    };

    JobStateCache(Settings settings, const Clock& clock)
        : m_settings(settings)
        , m_clock(clock)
    {
    }

    /** Takes a state; a late answer does not take back an end. */
    void note(const JobId& job, const ShardId& shard, JobState state);
    /** Returns null for a job that is not remembered. */
    const Seen* find(const JobId& job) const;

private:
    Settings m_settings;
    const Clock& m_clock;
    std::map<JobId, Seen> m_states;
    /** In the order of their first state; a ring once it is full. */
    std::vector<JobId> m_order;
    std::size_t m_oldest { 0 };
};

}
