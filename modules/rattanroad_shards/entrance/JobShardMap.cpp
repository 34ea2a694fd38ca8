#include "rattanroad_shards/entrance/JobShardMap.h"

namespace rattanroad::shards {

void JobShardMap::insert(const JobId& job, const ShardId& shard)
{
    const TimePoint now = m_clock.now();
    if (m_shards.emplace(job, shard).second)
        m_insertionOrder.emplace_back(now, job);
    std::size_t expired = 0;
    while (expired < m_insertionOrder.size() && now - m_insertionOrder[expired].first >= m_settings.retention)
        m_shards.erase(m_insertionOrder[expired++].second);
    m_insertionOrder.erase(m_insertionOrder.begin(), m_insertionOrder.begin() + static_cast<std::ptrdiff_t>(expired));
}

std::optional<ShardId> JobShardMap::shardOf(const JobId& job) const
{
    const auto found = m_shards.find(job);
    if (found == m_shards.end())
        return std::nullopt;
    return found->second;
}

}
