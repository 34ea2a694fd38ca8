#pragma once

#include "rattanroad_configuration/configuration/ConfigurationHolder.h"
#include "rattanroad_configuration/distribution/PeerPuller.h"
#include "rattanroad_configuration/distribution/StoreFollower.h"
#include "rattanroad_core/random/RandomSource.h"
#include "rattanroad_core/time/Clock.h"
#include "rattanroad_protocol/rattanroad_protocol.h"

#include <functional>
#include <memory>
#include <vector>

namespace rattanroad {

/** Brings accepted configurations to this host. The two lowest-ranked live hosts of a failure domain watch the store;
    the others learn of a higher revision by heartbeats and pull the document from a peer. Not thread safe.
    @see ConfigurationHolder, which refuses older revisions from any source
*/
class ConfigurationDistributor {
public:
    struct Settings {
        HostId self;
        Incarnation incarnation;
        /** Hosts per failure domain that watch the store; two, so that one may fail without delay. */
        std::size_t watchersPerDomain { 2 };
        StoreFollower::Settings store;
        PeerPuller::Settings pull;
    };

    struct Hooks {
        StoreFollower::Hooks store;
        std::function<void(const HostId&, protocol::Envelope&&)> sendToPeer;
    };

    /** @p holder must outlive the distributor. */
    ConfigurationDistributor(
        ConfigurationHolder& holder, Settings settings, Clock& clock, RandomSource& random, Hooks hooks);
    ~ConfigurationDistributor();
    ConfigurationDistributor(const ConfigurationDistributor&) = delete;
    ConfigurationDistributor& operator=(const ConfigurationDistributor&) = delete;

    /** Key of the ranking that @ref setMembers expects, for rendezvousOrder(). */
    static std::string rankingKey() { return "configuration"; }

    /** Sets the live hosts: @p rankedDomain is the own failure domain with this host, in rendezvous order for
        rankingKey(); @p others are the live hosts of other domains.
    */
    void setMembers(const std::vector<HostId>& rankedDomain, const std::vector<HostId>& others);

    /** A heartbeat of @p host named @p revision. */
    void handleHeartbeatRevision(const HostId& host, Revision revision);
    /** Handles ConfigurationPull and ConfigurationPush; other bodies are ignored. */
    void handlePeerMessage(const protocol::Envelope& envelope);
    void handleGetAnswer(const StoreGetAnswer& answer);
    void handleWatchEvent(const StoreWatchEvent& event);

    void tick();
    TimePoint nextWakeup() const;

    bool isWatchingStore() const;

    struct Statistics {
        std::uint64_t pullsSent { 0 };
        std::uint64_t pushesSent { 0 };
        std::uint64_t bytesSent { 0 };
        std::uint64_t malformedValues { 0 };
    };
    Statistics statistics() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
