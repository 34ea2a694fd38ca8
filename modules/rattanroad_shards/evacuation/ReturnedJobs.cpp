#include "rattanroad_shards/evacuation/ReturnedJobs.h"

namespace rattanroad::shards {

void ReturnedJobs::add(const JobId& job, const std::string& origin)
{
    removeExpired();
    const TimePoint now = m_clock.now();
    m_jobs[job] = { origin, now };
    m_order.emplace_back(now, job);
}

void ReturnedJobs::clear()
{
    m_jobs.clear();
    m_order.clear();
}

std::optional<std::string> ReturnedJobs::origin(const JobId& job, bool isResent, TimePoint sentAt)
{
    removeExpired();
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end() || (!isResent && sentAt > found->second.returnedAt))
        return std::nullopt;
    return found->second.origin;
}

void ReturnedJobs::removeExpired()
{
    const TimePoint now = m_clock.now();
    while (!m_order.empty() && now - m_order.front().first >= m_settings.retention) {
        const auto found = m_jobs.find(m_order.front().second);
        // The job may have been returned again since.
        if (found != m_jobs.end() && found->second.returnedAt == m_order.front().first)
            m_jobs.erase(found);
        m_order.pop_front();
    }
}

}
