#include "rattanroad_shards/evacuation/EvacuationTable.h"

#include <algorithm>

namespace rattanroad::shards {

Duration EvacuationTable::share(double part) const
{
    return std::chrono::duration_cast<Duration>(m_settings.bound.value_or(std::chrono::milliseconds(0)) * part);
}

bool EvacuationTable::written(const FailureDomainId& domain)
{
    const TimePoint now = m_clock.now();
    const auto [found, isNew] = m_evacuations.try_emplace(domain);
    Evacuation& evacuation = found->second;
    if (!isNew && evacuation.source == Source::Store)
        return false;
    // The key was not there at m_readUntil, and can have been written at any time since.
    const TimePoint startsUntil
        = std::min(now + share(m_settings.startShare), m_readUntil + share(m_settings.latestStartShare));
    evacuation.startsUntil = isNew ? startsUntil : std::min(evacuation.startsUntil, startsUntil);
    evacuation.knownSince = isNew ? now : evacuation.knownSince;
    evacuation.source = Source::Store;
    evacuation.reportedUntil = TimePoint::max();
    return true;
}

bool EvacuationTable::removed(const FailureDomainId& domain) { return m_evacuations.erase(domain) != 0; }

bool EvacuationTable::reportedByPeer(const FailureDomainId& domain)
{
    const TimePoint now = m_clock.now();
    if (now - m_readUntil < m_settings.recentContact)
        return false;
    const auto [found, isNew] = m_evacuations.try_emplace(domain);
    if (isNew)
        found->second = { Source::Peer, now, now, now };
    if (found->second.source == Source::Peer)
        found->second.reportedUntil = now + m_settings.peerReportLifetime;
    return isNew;
}

std::vector<FailureDomainId> EvacuationTable::removeOutdatedReports()
{
    std::vector<FailureDomainId> domains;
    for (auto entry = m_evacuations.begin(); entry != m_evacuations.end();) {
        const bool isOutdated = m_clock.now() >= entry->second.reportedUntil;
        if (isOutdated)
            domains.push_back(entry->first);
        entry = isOutdated ? m_evacuations.erase(entry) : std::next(entry);
    }
    return domains;
}

const EvacuationTable::Evacuation* EvacuationTable::find(const FailureDomainId& domain) const
{
    const auto found = m_evacuations.find(domain);
    return found == m_evacuations.end() ? nullptr : &found->second;
}

bool EvacuationTable::mayStart(const FailureDomainId& domain, bool isStoreLost) const
{
    const TimePoint now = m_clock.now();
    if (const Evacuation* const evacuation = find(domain))
        return now < evacuation->startsUntil;
    const Duration limit = std::max<Duration>(share(m_settings.contactShare), m_settings.minimumContact);
    return !m_settings.bound || isStoreLost || now - m_readUntil < limit;
}

std::chrono::milliseconds EvacuationTable::contactAge() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - m_readUntil);
}

}
