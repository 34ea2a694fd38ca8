#include "rattanroad_shards/entrance/JobStateCache.h"

namespace rattanroad::shards {

void JobStateCache::note(const JobId& job, const ShardId& shard, JobState state)
{
    const auto found = m_states.find(job);
    if (found != m_states.end()) {
        if (!hasEnded(found->second.state))
            found->second = { shard, state, m_clock.now() };
        return;
    }
    m_states[job] = { shard, state, m_clock.now() };
    if (m_order.size() < m_settings.maximumJobs) {
        m_order.push_back(job);
        return;
    }
    m_states.erase(m_order[m_oldest]);
    m_order[m_oldest] = job;
    m_oldest = (m_oldest + 1) % m_order.size();
}

const JobStateCache::Seen* JobStateCache::find(const JobId& job) const
{
    const auto found = m_states.find(job);
    return found == m_states.end() ? nullptr : &found->second;
}

}
