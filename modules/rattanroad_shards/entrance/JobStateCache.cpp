#include "rattanroad_shards/entrance/JobStateCache.h"

namespace rattanroad::shards {

void JobStateCache::update(const JobId& job, const ShardId& shard, JobState state)
{
    const auto found = m_states.find(job);
    if (found != m_states.end()) {
        if (!hasEnded(found->second.state))
            found->second = { shard, state, m_clock.now() };
        return;
    }
    m_states[job] = { shard, state, m_clock.now() };
    if (m_insertionOrder.size() < m_settings.maximumJobs) {
        m_insertionOrder.push_back(job);
        return;
    }
    m_states.erase(m_insertionOrder[m_oldestIndex]);
    m_insertionOrder[m_oldestIndex] = job;
    m_oldestIndex = (m_oldestIndex + 1) % m_insertionOrder.size();
}

const JobStateCache::Entry* JobStateCache::find(const JobId& job) const
{
    const auto found = m_states.find(job);
    return found == m_states.end() ? nullptr : &found->second;
}

}
