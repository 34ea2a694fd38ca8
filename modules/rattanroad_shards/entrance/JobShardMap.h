#pragma once

#include "rattanroad_shards/types/ShardTypes.h"

#include <deque>
#include <map>
#include <optional>

namespace rattanroad::shards {

/** Maps best-effort jobs to their shards, so that a job submitted again goes to the same shard. Runs of one job in two
    shards could overlap.
*/
class JobShardMap {
public:
    struct Settings {
        /** How long an entry is kept: several times the longest wait of a caller. */
        std::chrono::seconds retention { 30 };
    };

    JobShardMap(Settings settings, const Clock& clock)
        : m_settings(settings)
        , m_clock(clock)
    {
    }

    /** Adds the shard of a job unless the job already has one. Also removes expired entries. */
    void insert(const JobId& job, const ShardId& shard);
    std::optional<ShardId> shardOf(const JobId& job) const;

private:
    Settings m_settings;
    const Clock& m_clock;
    std::map<JobId, ShardId> m_shards;
    std::deque<std::pair<TimePoint, JobId>> m_insertionOrder;
};

}
