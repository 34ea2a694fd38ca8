#include "rattanroad_network/http/HttpClient.h"

#include "rattanroad_network/http/SocketAddress.h"
#include "rattanroad_network/loop/EventLoop.h"
#include "rattanroad_network/loop/H2o.h"

#include <map>
#include <unordered_map>

namespace rattanroad {

namespace {
    /** Above every deadline: the exchanges have timers of their own, and h2o has one value for all connections. */
    constexpr std::uint64_t nativeTimeoutMs = 3600'000;

    std::string serializeHead(const std::string& address, const HttpClientRequest& request)
    {
        std::string head;
        head.reserve(256);
        head.append(request.method).append(" ").append(request.path).append(" HTTP/1.1\r\nhost: ").append(address);
        for (const HttpHeader& header : request.headers)
            head.append("\r\n").append(header.name).append(": ").append(header.value);
        if (!request.body.empty() || request.method != "GET")
            head.append("\r\ncontent-length: ").append(std::to_string(request.body.size()));
        head.append("\r\n\r\n");
        return head;
    }
}

class HttpClient::Impl {
public:
    Impl(EventLoop& loop, Settings settings)
        : m_loop(loop)
        , m_settings(settings)
    {
        h2o_timeout_init(m_loop.nativeLoop(), &m_timeout, nativeTimeoutMs);
        m_context.loop = m_loop.nativeLoop();
        m_context.io_timeout = &m_timeout;
    }

    ~Impl()
    {
        *m_isAlive = false;
        for (const auto& entry : m_exchanges) {
            Exchange& exchange = *entry.second;
            m_loop.cancelTimer(exchange.timer);
            if (exchange.client)
                h2o_http1client_cancel(exchange.client);
        }
        for (const auto& entry : m_pools)
            h2o_socketpool_dispose(entry.second.get());
        h2o_timeout_dispose(m_loop.nativeLoop(), &m_timeout);
    }

    ExchangeId send(const std::string& address, HttpClientRequest request, Callback callback, ChunkCallback chunk)
    {
        const ExchangeId id(++m_lastExchange);
        auto owned = std::make_unique<Exchange>();
        Exchange& exchange = *owned;
        exchange.owner = this;
        exchange.id = id.value();
        exchange.callback = std::move(callback);
        exchange.chunk = std::move(chunk);
        exchange.startedAt = m_loop.clock().now();
        exchange.timeout = request.timeout;
        exchange.headTimeout = request.headTimeout;
        exchange.stallTimeout = request.stallTimeout;
        exchange.head = serializeHead(address, request);
        exchange.body = std::move(request.body);
        m_exchanges.emplace(id.value(), std::move(owned));
        h2o_socketpool_t* const pool = poolFor(address);
        if (!pool) {
            end(exchange, HttpEnding::NeverOpened, "malformed address " + address);
            return id;
        }
        exchange.isConnecting = true;
        const auto limit = std::min<Duration>(exchange.timeout, m_settings.connectTimeout);
        setTimer(exchange, limit);
        // May call back at once, with a kept-alive connection or with a failure; the exchange may have ended then.
        h2o_http1client_t* client = nullptr;
        h2o_http1client_connect_with_pool(&client, &exchange, &m_context, pool, &Impl::connected);
        const auto found = m_exchanges.find(id.value());
        if (found != m_exchanges.end() && !found->second->isClosed)
            found->second->client = client;
        return id;
    }

    void cancel(ExchangeId id, bool isTimedOut, const char* reason)
    {
        const auto found = m_exchanges.find(id.value());
        if (found == m_exchanges.end() || found->second->isClosed)
            return;
        Exchange& exchange = *found->second;
        exchange.result.isTimedOut = isTimedOut;
        h2o_http1client_t* const client = exchange.client;
        end(exchange, exchange.isConnecting ? HttpEnding::NeverOpened : HttpEnding::SentNoAnswer, reason);
        h2o_http1client_cancel(client);
    }

    std::size_t active() const { return m_exchanges.size(); }

private:
    struct Exchange {
        Impl* owner { nullptr };
        std::uint64_t id { 0 };
        Callback callback;
        ChunkCallback chunk;
        std::string head;
        std::string body;
        h2o_iovec_t buffers[2] {};
        h2o_http1client_t* client { nullptr };
        TimerId timer;
        Duration timeout { 0 };
        Duration headTimeout { 0 };
        Duration stallTimeout { 0 };
        TimePoint startedAt;
        /** Limit for the whole exchange. */
        TimePoint deadline;
        /** Limit for the next part of the answer, at most the deadline. */
        TimePoint partDueAt;
        bool isConnecting { false };
        /** The end is decided; the callback is due. */
        bool isClosed { false };
        HttpResult result;
    };

    h2o_socketpool_t* poolFor(const std::string& address)
    {
        const auto found = m_pools.find(address);
        if (found != m_pools.end())
            return found->second.get();
        auto parsed = parseSocketAddress(address);
        if (!parsed)
            return nullptr;
        auto pool = std::make_unique<h2o_socketpool_t>();
        h2o_socketpool_init_by_address(pool.get(), reinterpret_cast<sockaddr*>(&*parsed), sizeof *parsed, 0, SIZE_MAX);
        h2o_socketpool_set_timeout(
            pool.get(), m_loop.nativeLoop(), static_cast<std::uint64_t>(m_settings.idleLimit.count()));
        return m_pools.emplace(address, std::move(pool)).first->second.get();
    }

    void setTimer(Exchange& exchange, Duration delay)
    {
        m_loop.cancelTimer(exchange.timer);
        exchange.timer = m_loop.addTimer(delay, [this, id = exchange.id] { timerFired(id); });
    }

    /** Awaits the next part of an answer for at most @p limit; zero means up to the deadline. */
    void awaitPart(Exchange& exchange, Duration limit)
    {
        const TimePoint now = m_loop.clock().now();
        exchange.partDueAt = limit > Duration(0) ? std::min(now + limit, exchange.deadline) : exchange.deadline;
        setTimer(exchange, exchange.partDueAt - now);
    }

    /** Extends the limit after a part of the body. A timer that fires before the new limit is set again. */
    void partReceived(Exchange& exchange)
    {
        if (exchange.stallTimeout > Duration(0))
            exchange.partDueAt = std::min(m_loop.clock().now() + exchange.stallTimeout, exchange.deadline);
    }

    void timerFired(std::uint64_t id)
    {
        const auto found = m_exchanges.find(id);
        if (found == m_exchanges.end() || found->second->isClosed)
            return;
        Exchange& exchange = *found->second;
        const Duration rest = exchange.partDueAt - m_loop.clock().now();
        if (!exchange.isConnecting && rest > Duration(0))
            setTimer(exchange, rest);
        else
            cancel(ExchangeId(id), true, "timed out");
    }

    void end(Exchange& exchange, HttpEnding ending, std::string detail)
    {
        exchange.isClosed = true;
        exchange.client = nullptr;
        exchange.result.ending = ending;
        exchange.result.detail = std::move(detail);
        exchange.result.elapsed = m_loop.clock().now() - exchange.startedAt;
        m_loop.cancelTimer(exchange.timer);
        // The callback runs outside h2o, so that it may start and cancel exchanges freely. The buffers of the request
        // stay until then, after the connection was closed.
        m_loop.defer([this, isAlive = m_isAlive, id = exchange.id] {
            if (*isAlive)
                deliver(id);
        });
    }

    void deliver(std::uint64_t id)
    {
        const auto found = m_exchanges.find(id);
        const auto exchange = std::move(found->second);
        m_exchanges.erase(found);
        exchange->callback(std::move(exchange->result));
    }

    static h2o_http1client_head_cb connected(h2o_http1client_t* client, const char* error, h2o_iovec_t** buffers,
        std::size_t* bufferCount, int* methodIsHead)
    {
        auto& exchange = *static_cast<Exchange*>(client->data);
        if (error) {
            exchange.owner->end(exchange, HttpEnding::NeverOpened, error);
            return nullptr;
        }
        exchange.client = client;
        exchange.isConnecting = false;
        exchange.deadline = exchange.owner->m_loop.clock().now() + exchange.timeout;
        exchange.owner->awaitPart(exchange, exchange.headTimeout);
        exchange.buffers[0] = h2o_iovec_init(exchange.head.data(), exchange.head.size());
        exchange.buffers[1] = h2o_iovec_init(exchange.body.data(), exchange.body.size());
        *buffers = exchange.buffers;
        *bufferCount = exchange.body.empty() ? 1 : 2;
        *methodIsHead = 0;
        return &Impl::headReceived;
    }

    static h2o_http1client_body_cb headReceived(h2o_http1client_t* client, const char* error, int, int status,
        h2o_iovec_t, struct st_h2o_header_t*, std::size_t, int)
    {
        auto& exchange = *static_cast<Exchange*>(client->data);
        if (error && error != h2o_http1client_error_is_eos) {
            exchange.owner->end(exchange, HttpEnding::SentNoAnswer, error);
            return nullptr;
        }
        exchange.result.status = status;
        // An answer before the end of the request: the connection cannot be kept, as the request's buffers go away.
        if (h2o_socket_is_writing(client->sock)) {
            h2o_socket_close(h2o_http1client_steal_socket(client));
            exchange.owner->end(exchange, HttpEnding::Answered, "answered before the whole request was sent");
            return nullptr;
        }
        if (error) {
            exchange.owner->end(exchange, HttpEnding::Answered, "");
            return nullptr;
        }
        exchange.owner->awaitPart(exchange, exchange.stallTimeout);
        return &Impl::bodyReceived;
    }

    static int bodyReceived(h2o_http1client_t* client, const char* error)
    {
        auto& exchange = *static_cast<Exchange*>(client->data);
        if (error && error != h2o_http1client_error_is_eos) {
            exchange.owner->end(exchange, HttpEnding::SentNoAnswer, error);
            return -1;
        }
        exchange.owner->partReceived(exchange);
        exchange.owner->takeBody(exchange, client->sock->input);
        h2o_buffer_consume(&client->sock->input, client->sock->input->size);
        if (error) {
            exchange.owner->end(exchange, HttpEnding::Answered, "");
            return 0;
        }
        if (exchange.result.body.size() > exchange.owner->m_settings.maximumBodySize.value()) {
            exchange.owner->end(exchange, HttpEnding::SentNoAnswer, "the answer is too large");
            return -1;
        }
        return 0;
    }

    void takeBody(Exchange& exchange, const h2o_buffer_t* input)
    {
        if (!exchange.chunk) {
            exchange.result.body.append(input->bytes, input->size);
            return;
        }
        m_loop.defer([this, isAlive = m_isAlive, id = exchange.id, piece = std::string(input->bytes, input->size)] {
            if (!*isAlive)
                return;
            const auto found = m_exchanges.find(id);
            if (found == m_exchanges.end())
                return;
            // A copy, as the callback may cancel the exchange.
            const ChunkCallback chunk = found->second->chunk;
            chunk(piece);
        });
    }

    EventLoop& m_loop;
    Settings m_settings;
    h2o_timeout_t m_timeout {};
    h2o_http1client_ctx_t m_context {};
    std::uint64_t m_lastExchange { 0 };
    std::unordered_map<std::uint64_t, std::unique_ptr<Exchange>> m_exchanges;
    std::map<std::string, std::unique_ptr<h2o_socketpool_t>> m_pools;
    /** Shared with deferred callbacks that may outlive the client. */
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
};

HttpClient::HttpClient(EventLoop& loop, Settings settings)
    : m_impl(std::make_unique<Impl>(loop, settings))
{
}

HttpClient::~HttpClient() = default;

ExchangeId HttpClient::send(
    const std::string& address, HttpClientRequest request, Callback callback, ChunkCallback chunk)
{
    return m_impl->send(address, std::move(request), std::move(callback), std::move(chunk));
}

void HttpClient::cancel(ExchangeId exchange) { m_impl->cancel(exchange, false, "cancelled"); }

std::size_t HttpClient::active() const { return m_impl->active(); }

}
