#pragma once

#include "rattanroad_configuration/configuration/ConfigurationHolder.h"
#include "rattanroad_configuration/distribution/PeerPuller.h"
#include "rattanroad_configuration/distribution/StoreWatcher.h"
#include "rattanroad_core/random/RandomSource.h"
#include "rattanroad_core/time/Clock.h"
#include "rattanroad_protocol/rattanroad_protocol.h"

#include <functional>
#include <memory>
#include <vector>

namespace rattanroad {

/** Keeps the configuration of this host up to date. The first two live hosts of each failure domain, in rendezvous
    order, watch the store; the other hosts learn of a higher revision from heartbeats and pull the configuration from a
    peer. Not thread safe.
    @see ConfigurationHolder, which refuses older revisions from any source
*/
class ConfigurationDistributor {
public:
    struct Settings {
        HostId self;
        Incarnation incarnation;
        /** Number of hosts per failure domain that watch the store. With two, the failure of one causes no delay. */
        std::size_t watchersPerDomain { 2 };
        StoreWatcher::Settings store;
        PeerPuller::Settings pull;
    };

    struct Hooks {
        StoreWatcher::Hooks store;
        std::function<void(const HostId&, protocol::Envelope&&)> sendToPeer;
    };

    /** @p holder must outlive the distributor. */
    ConfigurationDistributor(
        ConfigurationHolder& holder, Settings settings, Clock& clock, RandomSource& random, Hooks hooks);
    ~ConfigurationDistributor();
    ConfigurationDistributor(const ConfigurationDistributor&) = delete;
    ConfigurationDistributor& operator=(const ConfigurationDistributor&) = delete;

    /** Returns the key to pass to rendezvousOrder() for the ranking that @ref setMembers expects. */
    static std::string rankingKey() { return "configuration"; }

    /** Sets the live hosts. @p rankedDomainHosts are those of this host's failure domain, including this host, in
        rendezvous order for rankingKey(); @p otherHosts are those of the other failure domains.
    */
    void setMembers(const std::vector<HostId>& rankedDomainHosts, const std::vector<HostId>& otherHosts);

    /** Handles the configuration revision that a heartbeat of @p host announced. */
    void handleHeartbeatRevision(const HostId& host, Revision revision);
    /** Handles ConfigurationPull and ConfigurationPush messages; others are ignored. */
    void handlePeerMessage(const protocol::Envelope& envelope);
    void handleGetAnswer(const StoreGetAnswer& answer);
    void handleWatchEvent(const StoreWatchEvent& event);

    void tick();
    TimePoint nextWakeup() const;

    /** Returns whether this host has a watch open in the store. */
    bool isWatchingStore() const;

    struct Statistics {
        std::uint64_t pullsSent { 0 };
        std::uint64_t pushesSent { 0 };
        std::uint64_t bytesSent { 0 };
        /** Values from peers or the store that could not be parsed, or that had another revision than announced. */
        std::uint64_t malformedValues { 0 };
    };
    Statistics statistics() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
