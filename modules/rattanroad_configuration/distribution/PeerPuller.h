#pragma once

#include "rattanroad_configuration/configuration/ConfigurationHolder.h"
#include "rattanroad_core/random/RandomSource.h"
#include "rattanroad_core/time/Clock.h"
#include "rattanroad_protocol/rattanroad_protocol.h"

#include <functional>
#include <map>
#include <vector>

namespace rattanroad {

/** Fetches newer configurations from peers, one request at a time. */
class PeerPuller {
public:
    struct Settings {
        /** Random wait before a request, so that a domain's hosts don't all ask the same watcher at once. */
        Duration jitter { std::chrono::milliseconds(200) };
        /** Wait of a host that follows the store itself and needs a peer only when the store is out of reach. */
        Duration followerDelay { std::chrono::seconds(1) };
        Duration answerTimeout { std::chrono::seconds(1) };
        /** Time between questions of a host without any configuration. */
        Duration emptyInterval { std::chrono::seconds(1) };
    };

    using SendPull = std::function<void(const HostId&, const protocol::ConfigurationPull&)>;

    PeerPuller(const ConfigurationHolder& holder, Settings settings, Clock& clock, RandomSource& random, SendPull send);
    PeerPuller(const PeerPuller&) = delete;
    PeerPuller& operator=(const PeerPuller&) = delete;

    /** Sets the live peers: those of the own failure domain, who are asked first, and the others. */
    void setPeers(const std::vector<HostId>& inside, const std::vector<HostId>& outside);
    void setFollowingStore(bool isFollowingStore) { m_isFollowingStore = isFollowingStore; }

    /** @p host said that it has @p revision. */
    void peerHas(const HostId& host, Revision revision);
    /** @p host answered a request; called after its value was offered to the holder. */
    void peerAnswered(const HostId& host, Revision revision);

    void tick();
    TimePoint nextWakeup() const;

private:
    struct Peer {
        bool isInside { false };
        Revision revision;
    };

    void schedule(Duration delay);
    bool isBehind() const;
    std::vector<HostId> candidates() const;
    void ask();

    const ConfigurationHolder& m_holder;
    Settings m_settings;
    Clock& m_clock;
    RandomSource& m_random;
    SendPull m_send;
    std::map<HostId, Peer> m_peers;
    std::optional<HostId> m_asked;
    TimePoint m_wakeup { TimePoint::max() };
    bool m_isFollowingStore { false };
};

}
