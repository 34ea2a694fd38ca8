#pragma once

#include "rattanroad_configuration/configuration/ConfigurationHolder.h"
#include "rattanroad_core/random/RandomSource.h"
#include "rattanroad_core/time/Clock.h"
#include "rattanroad_protocol/rattanroad_protocol.h"

#include <functional>
#include <map>
#include <vector>

namespace rattanroad {

/** Pulls newer configurations from peers, with at most one request in flight. Peers in the same failure domain are
    preferred.
*/
class PeerPuller {
public:
    struct Settings {
        /** Upper bound of a random delay before a request, so that the hosts of a failure domain don't all ask the same
            watcher at once.
        */
        Duration jitter { std::chrono::milliseconds(200) };
        /** Delay before a host that watches the store pulls from a peer, which it needs only while the store is
            unreachable.
        */
        Duration watcherDelay { std::chrono::seconds(1) };
        /** A peer that has not answered after this time counts as unresponsive. */
        Duration answerTimeout { std::chrono::seconds(1) };
        /** Time between requests while this host and its peers have no configuration. */
        Duration bootstrapInterval { std::chrono::seconds(1) };
    };

    using SendPull = std::function<void(const HostId&, const protocol::ConfigurationPull&)>;

    PeerPuller(const ConfigurationHolder& holder, Settings settings, Clock& clock, RandomSource& random, SendPull send);
    PeerPuller(const PeerPuller&) = delete;
    PeerPuller& operator=(const PeerPuller&) = delete;

    /** Sets the live peers. @p domainPeers are those of this host's failure domain. */
    void setPeers(const std::vector<HostId>& domainPeers, const std::vector<HostId>& otherPeers);
    /** Sets whether this host watches the store itself; it then pulls only after Settings::watcherDelay. */
    void setWatchingStore(bool isWatchingStore) { m_isWatchingStore = isWatchingStore; }

    /** Records that @p host announced @p revision, and schedules a request when it is newer than the own one. */
    void setPeerRevision(const HostId& host, Revision revision);
    /** Handles the answer of @p host to a request. Call it after offering the received value to the holder.
        @p revision is 0 when the value was malformed.
    */
    void handlePeerAnswer(const HostId& host, Revision revision);

    void tick();
    TimePoint nextWakeup() const;

private:
    struct Peer {
        bool isInOwnDomain { false };
        Revision revision;
    };

    void schedule(Duration delay);
    bool isBehind() const;
    std::vector<HostId> candidates() const;
    void pullFromCandidate();

    const ConfigurationHolder& m_holder;
    Settings m_settings;
    Clock& m_clock;
    RandomSource& m_random;
    SendPull m_send;
    std::map<HostId, Peer> m_peers;
    std::optional<HostId> m_pendingHost;
    TimePoint m_wakeup { TimePoint::max() };
    bool m_isWatchingStore { false };
};

}
