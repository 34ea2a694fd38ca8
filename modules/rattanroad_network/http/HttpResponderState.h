#pragma once

#include "rattanroad_network/http/HttpServer.h"
#include "rattanroad_network/loop/H2o.h"

#include <cassert>
#include <sys/socket.h>

namespace rattanroad {

/** One request between its arrival and the end of its answer. */
class HttpResponder::State {
public:
    /** First member of the memory that h2o hands back to the generator callbacks. */
    struct Generator {
        h2o_generator_t super;
        State* state;
    };

    State(h2o_req_t* request, std::shared_ptr<const bool> isDraining, std::function<void(std::size_t)> answered)
        : m_request(request)
        , m_isDraining(std::move(isDraining))
        , m_answered(std::move(answered))
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
        m_answered(response.body.size());
        h2o_send_inline(m_request, response.body.data(), response.body.size());
    }

    /** Refuses the request and closes the connection. */
    void sendAndClose(const HttpResponse& response)
    {
        if (m_request)
            m_request->http1_is_persistent = 0;
        send(response);
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
    /** Returns null when the request has ended. */
    h2o_req_t* request() const { return m_request; }
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
    /** Called with the size of an answer that is sent as a whole. */
    std::function<void(std::size_t)> m_answered;
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

}
