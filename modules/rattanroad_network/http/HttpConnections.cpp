#include "rattanroad_network/http/HttpConnections.h"

#include "rattanroad_network/loop/EventLoop.h"
#include "rattanroad_network/loop/H2o.h"

#include <linux/sockios.h>
#include <string_view>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace rattanroad {

namespace {
    /** Sizes of the kernel's buffers of a connection; the kernel doubles them for its own overhead. Bytes that were
        received and not yet read count towards the memory of a process. Usual requests and answers have a few
       kilobytes; the largest body of 256 KB takes 16 round trips. */
    constexpr int receiveBufferBytes = 16384;
    constexpr int sendBufferBytes = 16384;
    /** Connections beyond the limit that may be open until the account has chosen which ones to close. */
    constexpr std::size_t openingReserve = 64;
    constexpr std::chrono::milliseconds sweepInterval { 250 };
    constexpr std::chrono::milliseconds pauseCheckInterval { 1 };

    std::size_t queuedBytes(int descriptor, unsigned long request)
    {
        int bytes = 0;
        return ioctl(descriptor, request, &bytes) == 0 && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
    }

    /** Returns whether @p text contains the end of the header fields of the request that it begins with. h2o skips
       empty lines before a request. */
    bool hasEndOfHead(std::string_view text)
    {
        const std::size_t begin = text.find_first_not_of("\r\n");
        if (begin == std::string_view::npos)
            return false;
        text.remove_prefix(begin);
        for (std::size_t end = text.find('\n'); end != std::string_view::npos; end = text.find('\n', end + 1)) {
            const std::string_view rest = text.substr(end + 1, 2);
            if (rest.substr(0, 1) == "\n" || rest == "\r\n")
                return true;
        }
        return false;
    }
}

class HttpConnections::Connection {
public:
    Impl* owner { nullptr };
    CallerConnectionId id;
    h2o_socket_t* socket { nullptr };
    int port { 0 };
    /** The callback of h2o that the wrapper calls. */
    h2o_socket_cb nativeRead { nullptr };
    bool isServing { false };
    bool isAnswering { false };
    bool isHeadComplete { false };
    /** An answer was sent, and the kernel may still hold a part of it. */
    bool mayHaveUnsentAnswer { false };
    bool hasProgressed { true };
    bool isListed { false };
    std::size_t answerBytes { 0 };
    /** Bytes in the kernel's buffers as of the last sweep. */
    std::size_t kernelBytes { 0 };
    std::uint64_t turn { 0 };
    std::size_t requestsInTurn { 0 };
};

class HttpConnections::Impl {
public:
    Impl(EventLoop& loop, HttpLimits limits, CloseCallback closed)
        : m_loop(loop)
        , m_account(limits)
        , m_closed(std::move(closed))
    {
        m_sweepTimer = m_loop.addTimer(sweepInterval, [this] { sweep(); });
    }

    ~Impl()
    {
        *m_isAlive = false;
        m_loop.cancelTimer(m_sweepTimer);
        m_loop.cancelTimer(m_pauseTimer);
        for (const auto& entry : m_connections) {
            h2o_socket_t* const socket = entry.second->socket;
            socket->on_close.cb = nullptr;
            if (socket->_cb.read == &Impl::read)
                socket->_cb.read = entry.second->nativeRead;
        }
    }

    bool mayOpen()
    {
        if (m_connections.size() < m_account.limits().maximumConnections + openingReserve)
            return true;
        report(CloseCause::TooManyConnections, 0);
        return false;
    }

    void opened(h2o_socket_t* socket, int port)
    {
        auto owned = std::make_unique<Connection>();
        Connection& connection = *owned;
        connection.owner = this;
        connection.id = CallerConnectionId(++m_lastId);
        connection.socket = socket;
        connection.port = port;
        socket->on_close.cb = &Impl::socketClosed;
        socket->on_close.data = &connection;
        m_account.opened(connection.id, m_loop.clock().now());
        m_connections.emplace(connection.id.value(), std::move(owned));
        list(connection);
    }

    bool requestReceived(Connection& connection)
    {
        connection.isServing = true;
        connection.isHeadComplete = false;
        connection.hasProgressed = true;
        list(connection);
        if (connection.turn != m_turn) {
            connection.turn = m_turn;
            connection.requestsInTurn = 0;
        }
        return ++connection.requestsInTurn <= m_account.limits().maximumRequestsPerTurn;
    }

    void answerStarted(Connection& connection, std::size_t bytes)
    {
        connection.isAnswering = true;
        connection.mayHaveUnsentAnswer = true;
        connection.answerBytes = bytes;
        list(connection);
    }

    void requestEnded(Connection& connection)
    {
        connection.isServing = false;
        connection.isAnswering = false;
        connection.answerBytes = 0;
        connection.hasProgressed = true;
        list(connection);
    }

    void report(CloseCause cause, std::size_t heldBytes)
    {
        if (m_closed)
            m_closed(cause, heldBytes);
    }

    const ConnectionAccount& account() const { return m_account; }

private:
    static void read(h2o_socket_t* socket, const char* error)
    {
        auto& connection = *static_cast<Connection*>(socket->on_close.data);
        connection.hasProgressed = true;
        connection.owner->list(connection);
        // May close the connection.
        connection.nativeRead(socket, error);
    }

    static void socketClosed(void* data)
    {
        auto& connection = *static_cast<Connection*>(data);
        Impl& owner = *connection.owner;
        owner.m_account.closed(connection.id);
        owner.m_connections.erase(connection.id.value());
    }

    /** Has what the connection holds examined at the end of this turn of the loop. */
    void list(Connection& connection)
    {
        if (connection.isListed)
            return;
        connection.isListed = true;
        m_changed.push_back(connection.id);
        if (m_changed.size() > 1)
            return;
        m_loop.defer([this, isAlive = m_isAlive] {
            if (*isAlive)
                endTurn();
        });
    }

    void endTurn()
    {
        ++m_turn;
        m_examined.swap(m_changed);
        const TimePoint now = m_loop.clock().now();
        for (const CallerConnectionId id : m_examined) {
            const auto found = m_connections.find(id.value());
            if (found == m_connections.end())
                continue;
            Connection& connection = *found->second;
            connection.isListed = false;
            wrapRead(connection);
            examine(connection, now);
        }
        if (!m_paused.empty() && m_pauseTimer == TimerId())
            m_pauseTimer = m_loop.addTimer(pauseCheckInterval, [this] { checkPaused(); });
        m_examined.clear();
        if (m_account.isExceeded())
            close(m_account.excess(now));
    }

    /** h2o does not read while it sends "100 Continue", and sets its own callback afterwards. */
    void checkPaused()
    {
        m_pauseTimer = TimerId();
        std::vector<CallerConnectionId> paused;
        paused.swap(m_paused);
        for (const CallerConnectionId id : paused) {
            const auto found = m_connections.find(id.value());
            if (found != m_connections.end())
                list(*found->second);
        }
    }

    /** h2o sets its own callback each time that it waits for a request. */
    void wrapRead(Connection& connection)
    {
        h2o_socket_t* const socket = connection.socket;
        if (!socket->_cb.read || socket->_cb.read == &Impl::read)
            return;
        connection.nativeRead = socket->_cb.read;
        socket->_cb.read = &Impl::read;
    }

    /** Closes the connection if its header fields are too long. */
    void examine(Connection& connection, TimePoint now)
    {
        const h2o_buffer_t* const input = connection.socket->input;
        const std::size_t inputBytes = input->bytes ? input->size : 0;
        ConnectionStage stage = ConnectionStage::Idle;
        if (connection.isAnswering) {
            stage = ConnectionStage::Answering;
        } else if (connection.isServing) {
            stage = ConnectionStage::Serving;
        } else if (inputBytes > 0) {
            const std::size_t limit = m_account.limits().maximumHeadBytes.value();
            if (!connection.isHeadComplete)
                connection.isHeadComplete = hasEndOfHead({ input->bytes, std::min(inputBytes, limit) });
            if (!connection.isHeadComplete && inputBytes >= limit) {
                close({ { connection.id, CloseCause::LongHead } });
                return;
            }
            stage = connection.isHeadComplete ? ConnectionStage::ReadingBody : ConnectionStage::ReadingHead;
        }
        const bool isReading = stage == ConnectionStage::ReadingHead || stage == ConnectionStage::ReadingBody;
        if (isReading && connection.socket->_cb.read != &Impl::read)
            m_paused.push_back(connection.id);
        const std::size_t held = (input->bytes ? input->capacity : 0) + connection.answerBytes + connection.kernelBytes;
        m_account.update(connection.id, stage, held, connection.hasProgressed, now);
        connection.hasProgressed = false;
    }

    void close(const std::vector<ConnectionAccount::Closing>& closings)
    {
        for (const auto& closing : closings) {
            const auto found = m_connections.find(closing.connection.value());
            if (found == m_connections.end())
                continue;
            Connection& connection = *found->second;
            h2o_socket_t* const socket = connection.socket;
            report(closing.cause, connection.answerBytes + (socket->input->bytes ? socket->input->capacity : 0));
            m_account.closed(connection.id);
            const int descriptor = h2o_socket_get_fd(socket);
            // Discards what the kernel still holds for the caller.
            const linger discard { 1, 0 };
            setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
            if (socket->_cb.read) {
                // As if the caller had closed the connection: h2o frees it at once.
                socket->_cb.read(socket, h2o_socket_error_closed);
            } else {
                // h2o closes the connection when the write fails.
                shutdown(descriptor, SHUT_RDWR);
            }
        }
    }

    /** Closes connections whose time is over, and counts what the kernel holds for those that are served or have not
        taken their answer. */
    void sweep()
    {
        for (const auto& entry : m_connections) {
            Connection& connection = *entry.second;
            if (!connection.isServing && !connection.mayHaveUnsentAnswer && connection.kernelBytes == 0)
                continue;
            const int descriptor = h2o_socket_get_fd(connection.socket);
            const std::size_t unsent = queuedBytes(descriptor, SIOCOUTQ);
            connection.mayHaveUnsentAnswer = connection.isAnswering || unsent > 0;
            connection.kernelBytes = unsent + (connection.isServing ? queuedBytes(descriptor, SIOCINQ) : 0);
            list(connection);
        }
        close(m_account.expired(m_loop.clock().now()));
        m_sweepTimer = m_loop.addTimer(sweepInterval, [this] { sweep(); });
    }

    EventLoop& m_loop;
    ConnectionAccount m_account;
    CloseCallback m_closed;
    std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> m_connections;
    std::uint64_t m_lastId { 0 };
    /** Counts the turns of the loop in which a connection changed. */
    std::uint64_t m_turn { 1 };
    std::vector<CallerConnectionId> m_changed;
    std::vector<CallerConnectionId> m_examined;
    /** Connections in the middle of a request whose read callback is not wrapped. */
    std::vector<CallerConnectionId> m_paused;
    TimerId m_pauseTimer;
    TimerId m_sweepTimer;
    /** Shared with deferred callbacks that may outlive the connections. */
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
};

HttpConnections::HttpConnections(EventLoop& loop, HttpLimits limits, CloseCallback closed)
    : m_impl(std::make_unique<Impl>(loop, limits, std::move(closed)))
{
}

HttpConnections::~HttpConnections() = default;

void HttpConnections::setBufferSizes(int listeningDescriptor)
{
    setsockopt(listeningDescriptor, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
    setsockopt(listeningDescriptor, SOL_SOCKET, SO_SNDBUF, &sendBufferBytes, sizeof sendBufferBytes);
}

bool HttpConnections::mayOpen() { return m_impl->mayOpen(); }

void HttpConnections::opened(st_h2o_socket_t* socket, int port) { m_impl->opened(socket, port); }

HttpConnections::Connection& HttpConnections::of(const st_h2o_socket_t* socket)
{
    return *static_cast<Connection*>(socket->on_close.data);
}

int HttpConnections::port(const Connection& connection) { return connection.port; }

bool HttpConnections::requestReceived(Connection& connection) { return m_impl->requestReceived(connection); }

void HttpConnections::answerStarted(Connection& connection, std::size_t bytes)
{
    m_impl->answerStarted(connection, bytes);
}

void HttpConnections::requestEnded(Connection& connection) { m_impl->requestEnded(connection); }

void HttpConnections::refused(CloseCause cause, std::size_t heldBytes) { m_impl->report(cause, heldBytes); }

const ConnectionAccount& HttpConnections::account() const { return m_impl->account(); }

}
