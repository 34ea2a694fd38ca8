#pragma once

#include "rattanroad_shards/types/ShardTypes.h"

#include <map>
#include <optional>

namespace rattanroad::shards {

/** Remembers which shard best-effort jobs were sent to: runs of one job in two shards could overlap. */
class JobShardMap {
public:
    struct Settings {
        /** Several times the longest wait of a caller. */
        std::chrono::seconds limit { 30 };
    };

    JobShardMap(Settings settings, const Clock& clock)
        : m_settings(settings)
        , m_clock(clock)
    {
    }

    /** Notes the shard of a job; the first one counts. */
    void note(const JobId& job, const ShardId& shard);
    std::optional<ShardId> shardOf(const JobId& job) const;

private:
    Settings m_settings;
    const Clock& m_clock;
    std::map<JobId, ShardId> m_shards;
    std::vector<std::pair<TimePoint, JobId>> m_order;
};

}
