#pragma once

#include "rattanroad_core/identifiers/Identifiers.h"
#include "rattanroad_core/random/RandomSource.h"
#include "rattanroad_core/time/Clock.h"
#include "rattanroad_protocol/rattanroad_protocol.h"

#include <functional>
#include <memory>
#include <vector>

namespace rattanroad {

/** An entry host as the member table knows it. */
struct Member {
    HostId host;
    Incarnation incarnation;
    FailureDomainId failureDomain;
    RegionId region;
    RackId rack;
    /** IP address and port of the peer socket, "192.0.2.7:7001". */
    std::string address;
    bool isDraining { false };
    TimePoint lastHeard;
};

/** Knows the live entry hosts by heartbeats; the platform's host list is only a hint.

    Heartbeats go to every member of the own failure domain at the inner interval and to a few random members of other
    domains at the outer interval, together with a digest of known members. A member that was silent for the timeout is
    dead; a new incarnation under the same host id replaces the old one at once. Not thread safe.
*/
class MemberTable {
public:
    struct Settings {
        Member self;
        /** Addresses of peers to contact at the start. */
        std::vector<std::string> seedAddresses;
        Duration innerInterval { std::chrono::milliseconds(250) };
        Duration outerInterval { std::chrono::seconds(1) };
        Duration innerTimeout { std::chrono::milliseconds(1500) };
        Duration outerTimeout { std::chrono::seconds(4) };
        std::size_t outerFanout { 2 };
        /** Members described per outer heartbeat; bounds the message size at the planned number of hosts. */
        std::size_t digestSize { 8 };
    };

    struct Hooks {
        /** Sends to the address, since the host behind a seed address is not known yet. */
        std::function<void(const std::string& address, protocol::Envelope&&)> send;
        /** Fills revision and free slots into an outgoing heartbeat. */
        std::function<void(protocol::Heartbeat&)> fillHeartbeat;
        /** The set of live members, their incarnations or their draining marks changed. */
        std::function<void()> changed;
    };

    MemberTable(Settings settings, Clock& clock, RandomSource& random, Hooks hooks);
    ~MemberTable();
    MemberTable(const MemberTable&) = delete;
    MemberTable& operator=(const MemberTable&) = delete;

    /** Any message from a member is a sign of life; @p heartbeat is null for other messages. */
    void heardFrom(const HostId& host, Incarnation incarnation, const protocol::Heartbeat* heartbeat);

    /** Marks this host as draining in its heartbeats. */
    void setDraining(bool isDraining);

    const Member& self() const;
    /** Returns the live members without this host, in a stable order. */
    std::vector<Member> liveMembers() const;
    /** Returns null when the host is not known to be alive. */
    const Member* find(const HostId& host) const;

    void tick();
    TimePoint nextWakeup() const;

    struct Statistics {
        std::uint64_t heartbeatsSent { 0 };
        std::uint64_t heartbeatBytesSent { 0 };
        std::uint64_t membersDied { 0 };
    };
    Statistics statistics() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/** Returns @p hosts in rendezvous (highest random weight) order for @p key: every host computes the same order, and a
   host that comes or goes moves only its own share of the keys.
*/
std::vector<HostId> rendezvousOrder(const std::string& key, std::vector<HostId> hosts);

}
