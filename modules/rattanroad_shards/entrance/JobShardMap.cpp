#include "rattanroad_shards/entrance/JobShardMap.h"

namespace rattanroad::shards {

void JobShardMap::note(const JobId& job, const ShardId& shard)
{
    const TimePoint now = m_clock.now();
    if (m_shards.emplace(job, shard).second)
        m_order.emplace_back(now, job);
    std::size_t expired = 0;
    while (expired < m_order.size() && now - m_order[expired].first >= m_settings.limit)
        m_shards.erase(m_order[expired++].second);
    m_order.erase(m_order.begin(), m_order.begin() + static_cast<std::ptrdiff_t>(expired));
}

std::optional<ShardId> JobShardMap::shardOf(const JobId& job) const
{
    const auto found = m_shards.find(job);
    if (found == m_shards.end())
        return std::nullopt;
    return found->second;
}

}
