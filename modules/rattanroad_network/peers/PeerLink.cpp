#include "rattanroad_network/peers/PeerLink.h"

#include "rattanroad_network/loop/EventLoop.h"

#include <map>
#include <zmq.hpp>

namespace rattanroad {

namespace {
    /** Messages handled per iteration, so that a flood from one peer does not starve callers and timers. */
    constexpr int maximumMessagesPerTurn = 1000;
    /** Limits of the wait between attempts to connect; an entry host restarts within seconds. */
    constexpr int reconnectIntervalMs = 50;
    constexpr int maximumReconnectIntervalMs = 1000;
    /** Unacknowledged data closes a connection after this time, so that a healed partition starts with a new one. */
    constexpr int retransmissionLimitMs = 3000;
    constexpr std::chrono::seconds idleCheckInterval { 10 };
}

class PeerLink::Impl {
public:
    Impl(EventLoop& loop, Settings settings, MessageCallback received)
        : m_loop(loop)
        , m_settings(settings)
        , m_received(std::move(received))
        , m_router(m_context, zmq::socket_type::router)
    {
        m_router.set(zmq::sockopt::linger, 0);
        m_router.set(zmq::sockopt::rcvhwm, m_settings.highWaterMark);
        m_router.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(m_settings.maximumMessageSize.value()));
        m_idleTimer = m_loop.addTimer(idleCheckInterval, [this] { closeIdleLinks(); });
    }

    ~Impl()
    {
        m_loop.cancelTimer(m_idleTimer);
        m_loop.cancelTimer(m_drainTimer);
        if (m_descriptor >= 0)
            m_loop.unwatchDescriptor(m_descriptor);
    }

    Result<int> bind(const std::string& address)
    {
        try {
            m_router.bind("tcp://" + address);
        } catch (const zmq::error_t& error) {
            return Failure { FailureCode::Internal, RunState::NotRun, "cannot bind " + address + ": " + error.what() };
        }
        m_descriptor = m_router.get(zmq::sockopt::fd);
        m_loop.watchDescriptor(m_descriptor, [this] { drain(); });
        const std::string endpoint = m_router.get(zmq::sockopt::last_endpoint);
        return std::stoi(endpoint.substr(endpoint.rfind(':') + 1));
    }

    bool send(const std::string& address, const protocol::Envelope& envelope)
    {
        if (m_blockedAddresses.count(address)) {
            ++m_statistics.messagesBlocked;
            return false;
        }
        Link* const link = linkTo(address);
        zmq::message_t message(envelope.ByteSizeLong());
        envelope.SerializeWithCachedSizesToArray(static_cast<std::uint8_t*>(message.data()));
        const std::size_t size = message.size();
        if (!link || !link->socket.send(message, zmq::send_flags::dontwait)) {
            ++m_statistics.messagesDropped;
            return false;
        }
        link->lastUsed = m_loop.clock().now();
        ++m_statistics.messagesSent;
        m_statistics.bytesSent += size;
        return true;
    }

    void reopen(const std::string& address)
    {
        m_links.erase(address);
        linkTo(address);
    }

    void setBlocked(std::set<std::string> addresses, std::set<HostId> hosts)
    {
        m_blockedAddresses = std::move(addresses);
        m_blockedHosts = std::move(hosts);
    }

    const Statistics& statistics() const { return m_statistics; }

private:
    struct Link {
        zmq::socket_t socket;
        TimePoint lastUsed;
    };

    /** Returns null when @p address cannot be connected to at all. */
    Link* linkTo(const std::string& address)
    {
        const auto found = m_links.find(address);
        if (found != m_links.end())
            return &found->second;
        zmq::socket_t socket(m_context, zmq::socket_type::dealer);
        socket.set(zmq::sockopt::linger, 0);
        socket.set(zmq::sockopt::sndhwm, m_settings.highWaterMark);
        // Without a connection messages are dropped: after an interruption old ones would only delay the new ones.
        socket.set(zmq::sockopt::immediate, 1);
        socket.set(zmq::sockopt::reconnect_ivl, reconnectIntervalMs);
        socket.set(zmq::sockopt::reconnect_ivl_max, maximumReconnectIntervalMs);
        socket.set(zmq::sockopt::tcp_maxrt, retransmissionLimitMs);
        try {
            socket.connect("tcp://" + address);
        } catch (const zmq::error_t&) {
            return nullptr;
        }
        return &m_links.emplace(address, Link { std::move(socket), m_loop.clock().now() }).first->second;
    }

    /** The descriptor signals only changes, so each call reads until nothing is left. */
    void drain()
    {
        for (int i = 0; i < maximumMessagesPerTurn; ++i) {
            zmq::message_t part;
            if (!m_router.recv(part, zmq::recv_flags::dontwait))
                return;
            bool isLast = !part.more();
            while (!isLast) {
                if (!m_router.recv(part, zmq::recv_flags::dontwait))
                    return;
                isLast = !part.more();
            }
            take(part);
        }
        m_loop.cancelTimer(m_drainTimer);
        m_drainTimer = m_loop.addTimer(Duration(0), [this] { drain(); });
    }

    void take(const zmq::message_t& message)
    {
        ++m_statistics.messagesReceived;
        m_statistics.bytesReceived += message.size();
        protocol::Envelope envelope;
        if (!envelope.ParseFromArray(message.data(), static_cast<int>(message.size()))) {
            ++m_statistics.malformedMessages;
            return;
        }
        if (envelope.version() != protocol::protocolVersion) {
            ++m_statistics.unknownVersions;
            return;
        }
        if (m_blockedHosts.count(HostId(envelope.from_host()))) {
            ++m_statistics.messagesBlocked;
            return;
        }
        m_received(envelope);
    }

    void closeIdleLinks()
    {
        const TimePoint oldest = m_loop.clock().now() - m_settings.idleLimit;
        for (auto link = m_links.begin(); link != m_links.end();)
            link = link->second.lastUsed < oldest ? m_links.erase(link) : std::next(link);
        m_idleTimer = m_loop.addTimer(idleCheckInterval, [this] { closeIdleLinks(); });
    }

    EventLoop& m_loop;
    Settings m_settings;
    MessageCallback m_received;
    zmq::context_t m_context { 1 };
    zmq::socket_t m_router;
    std::map<std::string, Link> m_links;
    std::set<std::string> m_blockedAddresses;
    std::set<HostId> m_blockedHosts;
    Statistics m_statistics;
    int m_descriptor { -1 };
    TimerId m_idleTimer;
    TimerId m_drainTimer;
};

PeerLink::PeerLink(EventLoop& loop, Settings settings, MessageCallback received)
    : m_impl(std::make_unique<Impl>(loop, settings, std::move(received)))
{
}

PeerLink::~PeerLink() = default;

Result<int> PeerLink::bind(const std::string& address) { return m_impl->bind(address); }

bool PeerLink::send(const std::string& address, const protocol::Envelope& envelope)
{
    return m_impl->send(address, envelope);
}

void PeerLink::reopen(const std::string& address) { m_impl->reopen(address); }

void PeerLink::setBlocked(std::set<std::string> addresses, std::set<HostId> hosts)
{
    m_impl->setBlocked(std::move(addresses), std::move(hosts));
}

PeerLink::Statistics PeerLink::statistics() const { return m_impl->statistics(); }

}
