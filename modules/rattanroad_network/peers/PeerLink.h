#pragma once

#include "rattanroad_core/failure/Result.h"
#include "rattanroad_core/identifiers/Identifiers.h"
#include "rattanroad_core/identifiers/Units.h"
#include "rattanroad_core/time/Clock.h"
#include "rattanroad_protocol/rattanroad_protocol.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace rattanroad {

class EventLoop;

/** Message links to the other entry hosts: one ZeroMQ ROUTER socket for everything received and one DEALER socket per
    address sent to. Messages may be lost and are never waited for; the engine repeats what matters.
*/
class PeerLink {
public:
    struct Settings {
        /** Messages queued per peer; more are dropped, as a peer that far behind is about to be declared dead. */
        int highWaterMark { 20000 };
        /** A larger message closes the link: room for a configuration of 1 MB and for a job of the largest size. */
        ByteCount maximumMessageSize { 32U << 20U };
        /** Links without a message sent for this time are closed. */
        Duration idleLimit { std::chrono::seconds(60) };
    };
    using MessageCallback = std::function<void(const protocol::Envelope&)>;

    struct Statistics {
        std::uint64_t messagesSent { 0 };
        std::uint64_t bytesSent { 0 };
        std::uint64_t messagesReceived { 0 };
        std::uint64_t bytesReceived { 0 };
        /** The peer is not connected or its queue is full. */
        std::uint64_t messagesDropped { 0 };
        std::uint64_t malformedMessages { 0 };
        std::uint64_t unknownVersions { 0 };
        /** Dropped by setBlocked(). */
        std::uint64_t messagesBlocked { 0 };
    };

    PeerLink(EventLoop& loop, Settings settings, MessageCallback received);
    ~PeerLink();
    PeerLink(const PeerLink&) = delete;
    PeerLink& operator=(const PeerLink&) = delete;

    /** Binds the receiving socket to "<IPv4 number>:<port>" and returns the port; port 0 takes any free one.
        Fails with FailureCode::Internal.
    */
    Result<int> bind(const std::string& address);

    /** Sends @p envelope to the receiving socket at @p address. Returns false when it was dropped because the link is
        not open, which opens it, or because its queue is full. A message that was sent may get lost all the same.
    */
    bool send(const std::string& address, const protocol::Envelope& envelope);

    /** Connects to @p address at once, for a process that has just started there: a link that lost its peer tries again
        only after up to a second.
    */
    void reopen(const std::string& address);

    /** Cuts the links to @p addresses and drops everything that comes from @p hosts, for failure tests. */
    void setBlocked(std::set<std::string> addresses, std::set<HostId> hosts);

    Statistics statistics() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
