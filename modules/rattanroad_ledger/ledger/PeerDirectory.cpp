#include "rattanroad_ledger/ledger/PeerDirectory.h"

namespace rattanroad {

std::optional<Incarnation> PeerDirectory::incarnation(const HostId& host) const
{
    for (const auto& [peer, incarnation] : m_ranked) {
        if (peer == host)
            return incarnation;
    }
    return std::nullopt;
}

std::vector<std::pair<HostId, Incarnation>> PeerDirectory::chooseBackups(std::size_t count, TimePoint now) const
{
    std::vector<std::pair<HostId, Incarnation>> chosen;
    for (const auto& peer : m_ranked) {
        if (chosen.size() == count)
            break;
        const auto avoided = m_avoidedUntil.find(peer.first);
        if (avoided == m_avoidedUntil.end() || now >= avoided->second)
            chosen.push_back(peer);
    }
    return chosen;
}

}
