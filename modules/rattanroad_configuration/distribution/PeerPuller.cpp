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

void PeerPuller::setPeers(const std::vector<HostId>& inside, const std::vector<HostId>& outside)
{
    std::map<HostId, Peer> peers;
    const auto add = [&](const std::vector<HostId>& hosts, bool isInside) {
        for (const auto& host : hosts) {
            const auto known = m_peers.find(host);
            peers[host] = { isInside, known == m_peers.end() ? Revision(0) : known->second.revision };
        }
    };
    add(inside, true);
    add(outside, false);
    m_peers = std::move(peers);
    if (m_holder.revision() == Revision(0) && !m_peers.empty())
        schedule(Duration::zero());
}

void PeerPuller::peerHas(const HostId& host, Revision revision)
{
    const auto peer = m_peers.find(host);
    if (peer == m_peers.end())
        return;
    peer->second.revision = revision;
    if (revision > m_holder.revision())
        schedule(m_isFollowingStore ? m_settings.followerDelay : Duration::zero());
}

void PeerPuller::peerAnswered(const HostId& host, Revision revision)
{
    const auto peer = m_peers.find(host);
    if (peer != m_peers.end())
        peer->second.revision = revision;
    if (m_asked != host)
        return;
    m_asked.reset();
    m_wakeup = TimePoint::max();
    if (isBehind())
        schedule(Duration::zero());
    else if (m_holder.revision() == Revision(0))
        schedule(m_settings.emptyInterval);
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
    // Without any configuration every peer is worth a question: its heartbeat may not have arrived yet.
    const bool isAnyoneFit = m_holder.revision() == Revision(0) && !isBehind();
    std::vector<HostId> inside;
    std::vector<HostId> outside;
    for (const auto& [host, peer] : m_peers) {
        if (isAnyoneFit || peer.revision > m_holder.revision())
            (peer.isInside ? inside : outside).push_back(host);
    }
    return inside.empty() ? outside : inside;
}

void PeerPuller::ask()
{
    const auto hosts = candidates();
    if (hosts.empty())
        return;
    m_asked = hosts[m_random.below(hosts.size())];
    m_wakeup = m_clock.now() + m_settings.answerTimeout;
    protocol::ConfigurationPull pull;
    pull.set_known_revision(m_holder.revision().value());
    m_send(*m_asked, pull);
}

void PeerPuller::tick()
{
    if (m_clock.now() < m_wakeup)
        return;
    m_wakeup = TimePoint::max();
    if (m_asked) {
        // A silent peer is asked again only after it has announced its revision again.
        const auto silent = m_peers.find(*m_asked);
        if (silent != m_peers.end())
            silent->second.revision = Revision(0);
        m_asked.reset();
    }
    ask();
}

TimePoint PeerPuller::nextWakeup() const { return m_wakeup; }

}
