#include "rattanroad_configuration/distribution/ConfigurationDistributor.h"

#include <algorithm>
#include <cassert>

namespace rattanroad {

class ConfigurationDistributor::Impl {
public:
    Impl(ConfigurationHolder& holder, Settings settings, Clock& clock, RandomSource& random, Hooks hooks);

    void setMembers(const std::vector<HostId>& rankedDomain, const std::vector<HostId>& others);
    void pullFrom(const HostId& host, const protocol::ConfigurationPull& pull);
    void pushFrom(const HostId& host, const protocol::ConfigurationPush& push);

    ConfigurationHolder& holder;
    Settings settings;
    std::function<void(const HostId&, protocol::Envelope&&)> sendToPeer;
    Statistics statistics;
    StoreFollower follower;
    PeerPuller puller;

private:
    void send(const HostId& host, protocol::Envelope&& envelope);

    /** Serialized value of @ref m_serializedRevision, kept because all peers pull the same one. */
    std::string m_serialized;
    Revision m_serializedRevision;
};

ConfigurationDistributor::Impl::Impl(
    ConfigurationHolder& givenHolder, Settings givenSettings, Clock& clock, RandomSource& random, Hooks hooks)
    : holder(givenHolder)
    , settings(std::move(givenSettings))
    , sendToPeer(std::move(hooks.sendToPeer))
    , follower(holder, settings.store, clock, random, std::move(hooks.store))
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
    const std::vector<HostId>& rankedDomain, const std::vector<HostId>& others)
{
    const auto watchersEnd
        = rankedDomain.begin() + static_cast<std::ptrdiff_t>(std::min(settings.watchersPerDomain, rankedDomain.size()));
    const bool isWatcher = std::find(rankedDomain.begin(), watchersEnd, settings.self) != watchersEnd;
    auto peers = rankedDomain;
    peers.erase(std::remove(peers.begin(), peers.end(), settings.self), peers.end());
    puller.setFollowingStore(isWatcher);
    puller.setPeers(peers, others);
    follower.setFollowing(isWatcher);
}

void ConfigurationDistributor::Impl::pullFrom(const HostId& host, const protocol::ConfigurationPull& pull)
{
    protocol::Envelope envelope;
    auto& push = *envelope.mutable_configuration_push();
    push.set_revision(holder.revision().value());
    // Without a newer value the answer still tells the revision, so that the peer asks someone else at once.
    if (holder.revision().value() > pull.known_revision()) {
        if (m_serializedRevision != holder.revision()) {
            m_serialized = holder.current()->json();
            m_serializedRevision = holder.revision();
        }
        push.set_value(m_serialized);
    }
    ++statistics.pushesSent;
    send(host, std::move(envelope));
}

void ConfigurationDistributor::Impl::pushFrom(const HostId& host, const protocol::ConfigurationPush& push)
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
    // A peer with an unusable value must not be asked again and again.
    puller.peerAnswered(host, isUsable ? Revision(push.revision()) : Revision(0));
}

ConfigurationDistributor::ConfigurationDistributor(
    ConfigurationHolder& holder, Settings settings, Clock& clock, RandomSource& random, Hooks hooks)
    : m_impl(std::make_unique<Impl>(holder, std::move(settings), clock, random, std::move(hooks)))
{
}

ConfigurationDistributor::~ConfigurationDistributor() = default;

void ConfigurationDistributor::setMembers(const std::vector<HostId>& rankedDomain, const std::vector<HostId>& others)
{
    m_impl->setMembers(rankedDomain, others);
}

void ConfigurationDistributor::handleHeartbeatRevision(const HostId& host, Revision revision)
{
    m_impl->puller.peerHas(host, revision);
}

void ConfigurationDistributor::handlePeerMessage(const protocol::Envelope& envelope)
{
    const HostId host(envelope.from_host());
    if (envelope.has_configuration_pull())
        m_impl->pullFrom(host, envelope.configuration_pull());
    else if (envelope.has_configuration_push())
        m_impl->pushFrom(host, envelope.configuration_push());
}

void ConfigurationDistributor::handleGetAnswer(const StoreGetAnswer& answer)
{
    m_impl->follower.handleGetAnswer(answer);
}

void ConfigurationDistributor::handleWatchEvent(const StoreWatchEvent& event)
{
    m_impl->follower.handleWatchEvent(event);
}

void ConfigurationDistributor::tick()
{
    m_impl->follower.tick();
    m_impl->puller.tick();
}

TimePoint ConfigurationDistributor::nextWakeup() const
{
    return std::min(m_impl->follower.nextWakeup(), m_impl->puller.nextWakeup());
}

bool ConfigurationDistributor::isWatchingStore() const { return m_impl->follower.isWatching(); }

ConfigurationDistributor::Statistics ConfigurationDistributor::statistics() const
{
    auto statistics = m_impl->statistics;
    statistics.malformedValues += m_impl->follower.malformedValues();
    return statistics;
}

}
