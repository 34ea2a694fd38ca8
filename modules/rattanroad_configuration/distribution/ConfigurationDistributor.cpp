#include "rattanroad_configuration/distribution/ConfigurationDistributor.h"

#include <algorithm>
#include <cassert>

namespace rattanroad {

class ConfigurationDistributor::Impl {
public:
    Impl(ConfigurationHolder& holder, Settings settings, Clock& clock, RandomSource& random, Hooks hooks);

    void setMembers(const std::vector<HostId>& rankedDomainHosts, const std::vector<HostId>& otherHosts);
    void handlePull(const HostId& host, const protocol::ConfigurationPull& pull);
    void handlePush(const HostId& host, const protocol::ConfigurationPush& push);

    ConfigurationHolder& holder;
    Settings settings;
    std::function<void(const HostId&, protocol::Envelope&&)> sendToPeer;
    Statistics statistics;
    StoreWatcher watcher;
    PeerPuller puller;

private:
    void send(const HostId& host, protocol::Envelope&& envelope);

    /** JSON of the configuration with @ref m_serializedRevision, cached because all peers pull the same revision. */
    std::string m_serializedValue;
    Revision m_serializedRevision;
};

ConfigurationDistributor::Impl::Impl(
    ConfigurationHolder& givenHolder, Settings givenSettings, Clock& clock, RandomSource& random, Hooks hooks)
    : holder(givenHolder)
    , settings(std::move(givenSettings))
    , sendToPeer(std::move(hooks.sendToPeer))
    , watcher(holder, settings.store, clock, random, std::move(hooks.store))
    , puller(holder, settings.pull, clock, random, [this](const HostId& host, const protocol::ConfigurationPull& pull) {
        protocol::Envelope envelope;
        *envelope.mutable_configuration_pull() = pull;
        ++statistics.pullsSent;
        send(host, std::move(envelope));
    })
{
    assert(sendToPeer);
}

void ConfigurationDistributor::Impl::send(const HostId& host, protocol::Envelope&& envelope)
{
    envelope.set_version(protocol::protocolVersion);
    envelope.set_from_host(settings.self.value());
    envelope.set_from_incarnation(settings.incarnation.value());
    statistics.bytesSent += envelope.ByteSizeLong();
    sendToPeer(host, std::move(envelope));
}

void ConfigurationDistributor::Impl::setMembers(
    const std::vector<HostId>& rankedDomainHosts, const std::vector<HostId>& otherHosts)
{
    const auto watchersEnd = rankedDomainHosts.begin()
        + static_cast<std::ptrdiff_t>(std::min(settings.watchersPerDomain, rankedDomainHosts.size()));
    const bool isWatcher = std::find(rankedDomainHosts.begin(), watchersEnd, settings.self) != watchersEnd;
    auto peers = rankedDomainHosts;
    peers.erase(std::remove(peers.begin(), peers.end(), settings.self), peers.end());
    puller.setWatchingStore(isWatcher);
    puller.setPeers(peers, otherHosts);
    watcher.setEnabled(isWatcher);
}

void ConfigurationDistributor::Impl::handlePull(const HostId& host, const protocol::ConfigurationPull& pull)
{
    protocol::Envelope envelope;
    auto& push = *envelope.mutable_configuration_push();
    push.set_revision(holder.revision().value());
    // The answer has the revision even without a newer value, so that the peer can pull from another host at once.
    if (holder.revision().value() > pull.known_revision()) {
        if (m_serializedRevision != holder.revision()) {
            m_serializedValue = holder.current()->json();
            m_serializedRevision = holder.revision();
        }
        push.set_value(m_serializedValue);
    }
    ++statistics.pushesSent;
    send(host, std::move(envelope));
}

void ConfigurationDistributor::Impl::handlePush(const HostId& host, const protocol::ConfigurationPush& push)
{
    bool isUsable = true;
    if (!push.value().empty() && push.revision() > holder.revision().value()) {
        auto value = ConfigurationValue::parse(push.value());
        isUsable = value && value->revision == Revision(push.revision());
        if (isUsable)
            holder.offer(std::move(*value));
        else
            ++statistics.malformedValues;
    }
    // Revision 0 keeps the puller from asking a peer with a malformed value again until its next announcement.
    puller.handlePeerAnswer(host, isUsable ? Revision(push.revision()) : Revision(0));
}

ConfigurationDistributor::ConfigurationDistributor(
    ConfigurationHolder& holder, Settings settings, Clock& clock, RandomSource& random, Hooks hooks)
    : m_impl(std::make_unique<Impl>(holder, std::move(settings), clock, random, std::move(hooks)))
{
}

ConfigurationDistributor::~ConfigurationDistributor() = default;

void ConfigurationDistributor::setMembers(
    const std::vector<HostId>& rankedDomainHosts, const std::vector<HostId>& otherHosts)
{
    m_impl->setMembers(rankedDomainHosts, otherHosts);
}

void ConfigurationDistributor::handleHeartbeatRevision(const HostId& host, Revision revision)
{
    m_impl->puller.setPeerRevision(host, revision);
}

void ConfigurationDistributor::handlePeerMessage(const protocol::Envelope& envelope)
{
    const HostId host(envelope.from_host());
    if (envelope.has_configuration_pull())
        m_impl->handlePull(host, envelope.configuration_pull());
    else if (envelope.has_configuration_push())
        m_impl->handlePush(host, envelope.configuration_push());
}

void ConfigurationDistributor::handleGetAnswer(const StoreGetAnswer& answer)
{
    m_impl->watcher.handleGetAnswer(answer);
}

void ConfigurationDistributor::handleWatchEvent(const StoreWatchEvent& event)
{
    m_impl->watcher.handleWatchEvent(event);
}

void ConfigurationDistributor::tick()
{
    m_impl->watcher.tick();
    m_impl->puller.tick();
}

TimePoint ConfigurationDistributor::nextWakeup() const
{
    return std::min(m_impl->watcher.nextWakeup(), m_impl->puller.nextWakeup());
}

bool ConfigurationDistributor::isWatchingStore() const { return m_impl->watcher.hasOpenWatch(); }

ConfigurationDistributor::Statistics ConfigurationDistributor::statistics() const
{
    auto statistics = m_impl->statistics;
    statistics.malformedValues += m_impl->watcher.malformedValues();
    return statistics;
}

}
