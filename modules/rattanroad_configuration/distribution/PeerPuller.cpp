#include "rattanroad_configuration/distribution/PeerPuller.h"

#include <algorithm>
#include <cassert>

namespace rattanroad {

PeerPuller::PeerPuller(
    const ConfigurationHolder& holder, Settings settings, Clock& clock, RandomSource& random, SendPull send)
    : m_holder(holder)
    , m_settings(settings)
    , m_clock(clock)
    , m_random(random)
    , m_send(std::move(send))
{
    assert(m_send);
}

void PeerPuller::setPeers(const std::vector<HostId>& domainPeers, const std::vector<HostId>& otherPeers)
{
    std::map<HostId, Peer> peers;
    const auto add = [&](const std::vector<HostId>& hosts, bool isInOwnDomain) {
        for (const auto& host : hosts) {
            const auto known = m_peers.find(host);
            peers[host] = { isInOwnDomain, known == m_peers.end() ? Revision(0) : known->second.revision };
        }
    };
    add(domainPeers, true);
    add(otherPeers, false);
    m_peers = std::move(peers);
    if (m_holder.revision() == Revision(0) && !m_peers.empty())
        schedule(Duration::zero());
}

void PeerPuller::setPeerRevision(const HostId& host, Revision revision)
{
    const auto peer = m_peers.find(host);
    if (peer == m_peers.end())
        return;
    peer->second.revision = revision;
    if (revision > m_holder.revision())
        schedule(m_isWatchingStore ? m_settings.watcherDelay : Duration::zero());
}

void PeerPuller::handlePeerAnswer(const HostId& host, Revision revision)
{
    const auto peer = m_peers.find(host);
    if (peer != m_peers.end())
        peer->second.revision = revision;
    if (m_pendingHost != host)
        return;
    m_pendingHost.reset();
    m_wakeup = TimePoint::max();
    if (isBehind())
        schedule(Duration::zero());
    else if (m_holder.revision() == Revision(0))
        schedule(m_settings.bootstrapInterval);
}

void PeerPuller::schedule(Duration delay)
{
    if (m_wakeup != TimePoint::max())
        return;
    const auto jitter = m_random.below(static_cast<std::uint64_t>(m_settings.jitter.count()) + 1);
    m_wakeup = m_clock.now() + delay + Duration(jitter);
}

bool PeerPuller::isBehind() const
{
    return std::any_of(
        m_peers.begin(), m_peers.end(), [&](const auto& peer) { return peer.second.revision > m_holder.revision(); });
}

std::vector<HostId> PeerPuller::candidates() const
{
    // A host without a configuration may pull from any peer, since the peers' heartbeats may not have arrived yet.
    const bool isAnyPeerEligible = m_holder.revision() == Revision(0) && !isBehind();
    std::vector<HostId> domainPeers;
    std::vector<HostId> otherPeers;
    for (const auto& [host, peer] : m_peers) {
        if (isAnyPeerEligible || peer.revision > m_holder.revision())
            (peer.isInOwnDomain ? domainPeers : otherPeers).push_back(host);
    }
    return domainPeers.empty() ? otherPeers : domainPeers;
}

void PeerPuller::pullFromCandidate()
{
    const auto hosts = candidates();
    if (hosts.empty())
        return;
    m_pendingHost = hosts[m_random.below(hosts.size())];
    m_wakeup = m_clock.now() + m_settings.answerTimeout;
    protocol::ConfigurationPull pull;
    pull.set_known_revision(m_holder.revision().value());
    m_send(*m_pendingHost, pull);
}

void PeerPuller::tick()
{
    if (m_clock.now() < m_wakeup)
        return;
    m_wakeup = TimePoint::max();
    if (m_pendingHost) {
        // A peer that did not answer is asked again only after it has announced its revision again.
        const auto unresponsivePeer = m_peers.find(*m_pendingHost);
        if (unresponsivePeer != m_peers.end())
            unresponsivePeer->second.revision = Revision(0);
        m_pendingHost.reset();
    }
    pullFromCandidate();
}

TimePoint PeerPuller::nextWakeup() const { return m_wakeup; }

}
