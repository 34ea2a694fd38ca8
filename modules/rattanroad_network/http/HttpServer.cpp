#include "rattanroad_network/http/HttpServer.h"

#include "rattanroad_network/http/HttpConnections.h"
#include "rattanroad_network/http/HttpResponderState.h"
#include "rattanroad_network/http/SocketAddress.h"
#include "rattanroad_network/loop/EventLoop.h"

#include <algorithm>
#include <array>
#include <map>
#include <poll.h>
#include <sys/epoll.h>
#include <unistd.h>
#include <unordered_map>

namespace rattanroad {

namespace {
    /** h2o answers a body that is larger than the own limit by more than this itself, before it reads the body. */
    constexpr std::uint64_t bodyMargin = 1024;
    /** Pause before the further requests of a connection that has sent many at once. */
    constexpr std::chrono::milliseconds requestPause { 1 };

    HttpLimits limitsOf(const HttpServer::Settings& settings)
    {
        HttpLimits limits;
        limits.idleTimeout = settings.idleTimeout;
        return limits;
    }

    HttpResponse refusal(int status, const char* detail)
    {
        HttpResponse response;
        response.status = status;
        response.body = std::string(R"({"error":")") + detail + R"("})";
        return response;
    }

    bool isClosedByPeer(int descriptor)
    {
        pollfd polled { descriptor, POLLRDHUP, 0 };
        return poll(&polled, 1, 0) > 0;
    }
}

HttpResponder::HttpResponder(std::shared_ptr<State> state)
    : m_state(std::move(state))
{
}

void HttpResponder::send(const HttpResponse& response) const { m_state->send(response); }

void HttpResponder::startStream(int status, const std::string& contentType) const
{
    m_state->startStream(status, contentType);
}

void HttpResponder::sendChunk(const std::string& chunk, bool isLast) const { m_state->sendChunk(chunk, isLast); }

void HttpResponder::abort() const { m_state->abort(); }

bool HttpResponder::isOpen() const { return m_state->isOpen(); }

void HttpResponder::setDisconnectCallback(std::function<void()> callback) const
{
    m_state->setDisconnectCallback(std::move(callback));
}

class HttpServer::Impl {
public:
    Impl(EventLoop& loop, Settings settings, Handler handler)
        : m_loop(loop)
        , m_settings(std::move(settings))
        , m_handler(std::move(handler))
        , m_connections(m_settings.connections ? m_settings.connections
                                               : std::make_shared<HttpConnections>(loop, limitsOf(m_settings), nullptr))
        , m_disconnects(epoll_create1(EPOLL_CLOEXEC))
    {
        h2o_config_init(&m_config);
        setMaximumBodySize(m_settings.maximumBodySize);
        // HttpConnections ends requests that are too slow with limits of their own.
        const HttpLimits& limits = m_connections->account().limits();
        m_config.http1.req_timeout
            = static_cast<std::uint64_t>((limits.idleTimeout + limits.headTimeout + limits.bodyTimeout).count());
        // One request at a time per connection, so that a descriptor names its request.
        m_config.http1.upgrade_to_http2 = 0;
        m_host = h2o_config_register_host(&m_config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
        auto* const path = h2o_config_register_path(m_host, "/", 0);
        auto* const native = reinterpret_cast<NativeHandler*>(h2o_create_handler(path, sizeof(NativeHandler)));
        native->super.on_req = &Impl::handleNative;
        native->server = this;
        h2o_context_init(&m_context, m_loop.nativeLoop(), &m_config);
        m_accept.ctx = &m_context;
        m_accept.hosts = m_config.hosts;
        m_loop.watchDescriptor(m_disconnects, [this] { readDisconnects(); });
    }

    ~Impl()
    {
        while (!m_listeners.empty())
            closeListener(m_listeners.begin()->first);
        m_loop.cancelTimer(m_waitingTimer);
        m_loop.unwatchDescriptor(m_disconnects);
        close(m_disconnects);
        m_requests.clear();
    }

    Result<int> listen(const std::string& text)
    {
        const auto address = parseSocketAddress(text);
        if (!address)
            return Failure { FailureCode::Internal, RunState::NotRun, "malformed address " + text };
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        HttpConnections::setBufferSizes(descriptor);
        const int enabled = 1;
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
        sockaddr_in bound = *address;
        if (bind(descriptor, reinterpret_cast<const sockaddr*>(&bound), sizeof bound) != 0
            || ::listen(descriptor, SOMAXCONN) != 0) {
            close(descriptor);
            return Failure { FailureCode::Internal, RunState::NotRun, "cannot bind " + text };
        }
        socklen_t length = sizeof bound;
        getsockname(descriptor, reinterpret_cast<sockaddr*>(&bound), &length);
        const int port = ntohs(bound.sin_port);
        startListening(descriptor, port);
        return port;
    }

    void closeListener(int port)
    {
        const auto found = m_listeners.find(port);
        if (found == m_listeners.end())
            return;
        h2o_socket_close(found->second->socket);
        m_listeners.erase(found);
    }

    void drain() { *m_isDraining = true; }

    ParserRefusals parserRefusals() const
    {
        return { m_context.emitted_error_status[H2O_STATUS_ERROR_400],
            m_context.emitted_error_status[H2O_STATUS_ERROR_413] };
    }

    void setMaximumBodySize(ByteCount size)
    {
        m_settings.maximumBodySize = size;
        // Larger than the own limit, so that the answer to a slightly larger body has the own format.
        m_config.max_request_entity_size = size.value() + bodyMargin;
    }

    std::size_t openRequests() const { return m_requests.size(); }

private:
    struct NativeHandler {
        h2o_handler_t super;
        Impl* server;
    };
    struct Listener {
        Impl* server;
        h2o_socket_t* socket;
        int port;
    };

    void startListening(int descriptor, int port)
    {
        auto listener = std::make_unique<Listener>();
        listener->server = this;
        listener->port = port;
        listener->socket = h2o_evloop_socket_create(m_loop.nativeLoop(), descriptor, H2O_SOCKET_FLAG_DONT_READ);
        listener->socket->data = listener.get();
        h2o_socket_read_start(listener->socket, &Impl::acceptNative);
        m_listeners[port] = std::move(listener);
    }

    static void acceptNative(h2o_socket_t* socket, const char* error)
    {
        if (error)
            return;
        auto* const listener = static_cast<Listener*>(socket->data);
        // Bounds the accepts of one iteration, so that a burst of connections does not delay requests in progress.
        for (int i = 0; i < 32; ++i) {
            h2o_socket_t* const accepted = h2o_evloop_socket_accept(socket);
            if (!accepted)
                return;
            listener->server->accepted(accepted, listener->port);
        }
    }

    void accepted(h2o_socket_t* socket, int port)
    {
        if (!m_connections->mayOpen()) {
            h2o_socket_close(socket);
            return;
        }
        const int descriptor = h2o_socket_get_fd(socket);
        m_connections->opened(socket, port);
        // The kernel removes the descriptor from the set when it is closed.
        epoll_event event {};
        event.events = EPOLLRDHUP | EPOLLET;
        event.data.fd = descriptor;
        epoll_ctl(m_disconnects, EPOLL_CTL_ADD, descriptor, &event);
        h2o_accept(&m_accept, socket);
    }

    static int handleNative(h2o_handler_t* handler, h2o_req_t* request)
    {
        reinterpret_cast<NativeHandler*>(handler)->server->handle(request);
        return 0;
    }

    void handle(h2o_req_t* native)
    {
        auto& connection = HttpConnections::of(native->conn->callbacks->get_socket(native->conn));
        auto state = std::make_shared<HttpResponder::State>(native, m_isDraining,
            [this, &connection](std::size_t bytes) { m_connections->answerStarted(connection, bytes); });
        struct Holder {
            std::shared_ptr<HttpResponder::State> state;
            Impl* server;
            HttpConnections::Connection* connection;
        };
        // h2o disposes of the holder with the request, when the answer is complete or the connection breaks.
        auto* const memory = h2o_mem_alloc_shared(&native->pool, sizeof(Holder), [](void* pointer) {
            auto* const holder = static_cast<Holder*>(pointer);
            holder->server->m_requests.erase(holder->state->descriptor());
            holder->server->m_connections->requestEnded(*holder->connection);
            holder->state->released();
            holder->~Holder();
        });
        new (memory) Holder { state, this, &connection };
        m_requests[state->descriptor()] = state;
        if (m_connections->requestReceived(connection)) {
            serve(state);
            return;
        }
        m_waiting.push_back(state);
        if (m_waiting.size() == 1)
            m_waitingTimer = m_loop.addTimer(requestPause, [this] { serveWaiting(); });
    }

    /** Serves the requests that had to wait for a later turn of the loop. */
    void serveWaiting()
    {
        std::vector<std::shared_ptr<HttpResponder::State>> waiting;
        waiting.swap(m_waiting);
        for (const auto& state : waiting) {
            if (state->request())
                serve(state);
        }
    }

    void serve(const std::shared_ptr<HttpResponder::State>& state)
    {
        h2o_req_t* const native = state->request();
        HttpResponder responder(state);
        // The event of a disconnect that came before the request has been read already.
        if (isClosedByPeer(state->descriptor())) {
            responder.abort();
            return;
        }
        if (native->entity.len > m_settings.maximumBodySize.value()) {
            m_connections->refused(CloseCause::LargeBody, native->entity.len);
            responder.send(m_settings.tooLargeResponse);
            return;
        }
        if (headBytes(native) > m_connections->account().limits().maximumHeadBytes.value()) {
            m_connections->refused(CloseCause::LongHead, headBytes(native));
            state->sendAndClose(refusal(431, "the header fields are too large"));
            return;
        }
        if (m_connections->account().isFull()) {
            m_connections->refused(CloseCause::RequestRefused, native->entity.len);
            HttpResponse refused = refusal(503, "the host has too many requests; this one was not accepted");
            refused.headers.push_back({ "retry-after", "1" });
            state->sendAndClose(refused);
            return;
        }
        const auto& connection = HttpConnections::of(native->conn->callbacks->get_socket(native->conn));
        m_handler(convert(native, HttpConnections::port(connection)), responder);
    }

    static std::size_t headBytes(const h2o_req_t* native)
    {
        std::size_t bytes = native->input.path.len + native->input.authority.len;
        for (std::size_t i = 0; i < native->headers.size; ++i)
            bytes += native->headers.entries[i].name->len + native->headers.entries[i].value.len;
        return bytes;
    }

    static HttpRequest convert(h2o_req_t* native, int port)
    {
        HttpRequest request;
        request.method.assign(native->method.base, native->method.len);
        const std::size_t pathLength = std::min(native->query_at, native->path.len);
        request.path.assign(native->path.base, pathLength);
        if (pathLength < native->path.len)
            request.query.assign(native->path.base + pathLength + 1, native->path.len - pathLength - 1);
        request.headers.reserve(native->headers.size + 1);
        // h2o takes the Host header out of the others.
        if (native->input.authority.len != 0)
            request.headers.push_back({ "host", { native->input.authority.base, native->input.authority.len } });
        for (std::size_t i = 0; i < native->headers.size; ++i) {
            const h2o_header_t& header = native->headers.entries[i];
            request.headers.push_back(
                { { header.name->base, header.name->len }, { header.value.base, header.value.len } });
        }
        request.body.assign(native->entity.base, native->entity.len);
        request.localPort = port;
        return request;
    }

    void readDisconnects()
    {
        std::array<epoll_event, 64> events {};
        const int count = epoll_wait(m_disconnects, events.data(), static_cast<int>(events.size()), 0);
        for (int i = 0; i < count; ++i) {
            const auto found = m_requests.find(events[static_cast<std::size_t>(i)].data.fd);
            if (found == m_requests.end())
                continue;
            const auto state = found->second;
            state->disconnected();
        }
    }

    EventLoop& m_loop;
    Settings m_settings;
    Handler m_handler;
    std::shared_ptr<HttpConnections> m_connections;
    int m_disconnects;
    h2o_globalconf_t m_config {};
    h2o_context_t m_context {};
    h2o_accept_ctx_t m_accept {};
    h2o_hostconf_t* m_host { nullptr };
    std::map<int, std::unique_ptr<Listener>> m_listeners;
    /** Requests that wait for a later turn of the loop. */
    std::vector<std::shared_ptr<HttpResponder::State>> m_waiting;
    TimerId m_waitingTimer;
    std::unordered_map<int, std::shared_ptr<HttpResponder::State>> m_requests;
    std::shared_ptr<bool> m_isDraining { std::make_shared<bool>(false) };
};

HttpServer::HttpServer(EventLoop& loop, Settings settings, Handler handler)
    : m_impl(std::make_unique<Impl>(loop, std::move(settings), std::move(handler)))
{
}

HttpServer::~HttpServer() = default;

Result<int> HttpServer::listen(const std::string& address) { return m_impl->listen(address); }

void HttpServer::closeListener(int port) { m_impl->closeListener(port); }

void HttpServer::drain() { m_impl->drain(); }

HttpServer::ParserRefusals HttpServer::parserRefusals() const { return m_impl->parserRefusals(); }

void HttpServer::setMaximumBodySize(ByteCount size) { m_impl->setMaximumBodySize(size); }

std::size_t HttpServer::openRequests() const { return m_impl->openRequests(); }

}
