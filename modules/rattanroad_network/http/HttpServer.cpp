#include "rattanroad_network/http/HttpServer.h"

#include "rattanroad_network/http/SocketAddress.h"
#include "rattanroad_network/loop/EventLoop.h"
#include "rattanroad_network/loop/H2o.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <map>
#include <poll.h>
#include <sys/epoll.h>
#include <unistd.h>
#include <unordered_map>

namespace rattanroad {

namespace {
    bool isClosedByPeer(int descriptor)
    {
        pollfd polled { descriptor, POLLRDHUP, 0 };
        return poll(&polled, 1, 0) > 0;
    }
}

/** One request between its arrival and the end of its answer. */
class HttpResponder::State {
public:
    /** First member of the memory that h2o hands back to the generator callbacks. */
    struct Generator {
        h2o_generator_t super;
        State* state;
    };

    State(h2o_req_t* request, std::shared_ptr<const bool> isDraining)
        : m_request(request)
        , m_isDraining(std::move(isDraining))
        , m_descriptor(h2o_socket_get_fd(request->conn->callbacks->get_socket(request->conn)))
    {
    }

    void send(const HttpResponse& response)
    {
        assert(!m_isAnswered && "a request is answered once");
        m_isAnswered = true;
        if (!m_request)
            return;
        fillHead(response.status, response.contentType, response.headers);
        m_request->res.content_length = response.body.size();
        h2o_send_inline(m_request, response.body.data(), response.body.size());
    }

    void startStream(int status, const std::string& contentType)
    {
        assert(!m_isAnswered && "a request is answered once");
        m_isAnswered = true;
        if (!m_request)
            return;
        fillHead(status, contentType, {});
        m_generator = { { &State::proceed, nullptr }, this };
        h2o_start_response(m_request, &m_generator.super);
        m_isStreaming = true;
    }

    void sendChunk(const std::string& chunk, bool isLast)
    {
        if (!m_request || m_isLast)
            return;
        m_waiting += chunk;
        m_isLast = isLast;
        if (!m_isInFlight)
            sendWaiting();
    }

    void abort()
    {
        assert(!m_isAnswered && "a request is answered once");
        m_isAnswered = true;
        if (!m_request)
            return;
        // h2o closes the connection when the write fails.
        shutdown(m_descriptor, SHUT_RDWR);
        m_request->http1_is_persistent = 0;
        h2o_send_inline(m_request, "", 0);
    }

    /** h2o freed the request, or the caller is gone. */
    void disconnected()
    {
        if (!m_request)
            return;
        m_isGone = true;
        std::function<void()> callback;
        callback.swap(m_disconnectCallback);
        if (callback && (!m_isAnswered || (m_isStreaming && !m_isLast)))
            callback();
    }

    void released()
    {
        disconnected();
        m_request = nullptr;
    }

    bool isOpen() const { return m_request && !m_isGone; }
    int descriptor() const { return m_descriptor; }
    void setDisconnectCallback(std::function<void()> callback) { m_disconnectCallback = std::move(callback); }

private:
    void fillHead(int status, const std::string& contentType, const std::vector<HttpHeader>& headers)
    {
        if (*m_isDraining)
            m_request->http1_is_persistent = 0;
        m_request->res.status = status;
        m_request->res.reason = status < 400 ? "OK" : "Error";
        const auto copied = h2o_strdup(&m_request->pool, contentType.data(), contentType.size());
        h2o_add_header(
            &m_request->pool, &m_request->res.headers, H2O_TOKEN_CONTENT_TYPE, nullptr, copied.base, copied.len);
        for (const HttpHeader& header : headers) {
            const auto name = h2o_strdup(&m_request->pool, header.name.data(), header.name.size());
            const auto value = h2o_strdup(&m_request->pool, header.value.data(), header.value.size());
            h2o_add_header_by_str(
                &m_request->pool, &m_request->res.headers, name.base, name.len, 1, nullptr, value.base, value.len);
        }
    }

    void sendWaiting()
    {
        if (m_waiting.empty() && !m_isLast)
            return;
        // The bytes in flight must stay in place until h2o calls proceed().
        m_inFlight.swap(m_waiting);
        m_waiting.clear();
        m_isInFlight = true;
        h2o_iovec_t vector = h2o_iovec_init(m_inFlight.data(), m_inFlight.size());
        const auto state = m_isLast ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS;
        h2o_send(m_request, &vector, vector.len ? 1 : 0, state);
    }

    static void proceed(h2o_generator_t* generator, h2o_req_t*)
    {
        State* const state = reinterpret_cast<Generator*>(generator)->state;
        state->m_isInFlight = false;
        state->sendWaiting();
    }

    h2o_req_t* m_request;
    std::shared_ptr<const bool> m_isDraining;
    int m_descriptor;
    Generator m_generator {};
    std::function<void()> m_disconnectCallback;
    std::string m_inFlight;
    std::string m_waiting;
    bool m_isAnswered { false };
    bool m_isStreaming { false };
    bool m_isInFlight { false };
    bool m_isLast { false };
    bool m_isGone { false };
};

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
        , m_disconnects(epoll_create1(EPOLL_CLOEXEC))
    {
        h2o_config_init(&m_config);
        // Larger than the own limit, so that the answer to a slightly larger body has the own format.
        m_config.max_request_entity_size = m_settings.maximumBodySize.value() * 2 + 1024;
        m_config.http1.req_timeout = static_cast<std::uint64_t>(m_settings.idleTimeout.count());
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
        const int descriptor = h2o_socket_get_fd(socket);
        m_portByDescriptor[descriptor] = port;
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
        auto state = std::make_shared<HttpResponder::State>(native, m_isDraining);
        struct Holder {
            std::shared_ptr<HttpResponder::State> state;
            Impl* server;
        };
        // h2o disposes of the holder with the request, when the answer is complete or the connection breaks.
        auto* const memory = h2o_mem_alloc_shared(&native->pool, sizeof(Holder), [](void* pointer) {
            auto* const holder = static_cast<Holder*>(pointer);
            holder->server->m_requests.erase(holder->state->descriptor());
            holder->state->released();
            holder->~Holder();
        });
        new (memory) Holder { state, this };
        m_requests[state->descriptor()] = state;
        HttpResponder responder(state);
        // The event of a disconnect that came before the request has been read already.
        if (isClosedByPeer(state->descriptor())) {
            responder.abort();
            return;
        }
        if (native->entity.len > m_settings.maximumBodySize.value()) {
            responder.send(m_settings.tooLargeResponse);
            return;
        }
        m_handler(convert(native, m_portByDescriptor[state->descriptor()]), responder);
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
    int m_disconnects;
    h2o_globalconf_t m_config {};
    h2o_context_t m_context {};
    h2o_accept_ctx_t m_accept {};
    h2o_hostconf_t* m_host { nullptr };
    std::map<int, std::unique_ptr<Listener>> m_listeners;
    std::unordered_map<int, int> m_portByDescriptor;
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

std::size_t HttpServer::openRequests() const { return m_impl->openRequests(); }

}
