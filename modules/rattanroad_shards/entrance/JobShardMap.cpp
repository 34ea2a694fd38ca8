#include "rattanroad_shards/entrance/JobShardMap.h"

namespace rattanroad::shards {

void JobShardMap::insert(const JobId& job, const ShardId& shard)
{
    const TimePoint now = m_clock.now();
    if (m_shards.emplace(job, shard).second)
        m_insertionOrder.emplace_back(now, job);
    while (!m_insertionOrder.empty() && now - m_insertionOrder.front().first >= m_settings.retention) {
        m_shards.erase(m_insertionOrder.front().second);
        m_insertionOrder.pop_front();
    }
}

std::optional<ShardId> JobShardMap::shardOf(const JobId& job) const
{
    const auto found = m_shards.find(job);
    if (found == m_shards.end())
        return std::nullopt;
    return found->second;
}

}
