#pragma once

#include "rattanroad_core/rattanroad_core.h"
#include "rattanroad_network/http/HttpClient.h"
#include "rattanroad_network/http/HttpServer.h"
#include "rattanroad_network/loop/EventLoop.h"

#include <catch2/catch.hpp>

namespace rattanroad {

/** Answers each request over HTTP with the same body, at once or as over a slow link. */
class AnsweringServer {
public:
    AnsweringServer()
    {
        const auto port = m_server.listen("127.0.0.1:0");
        REQUIRE(port);
        m_address = "127.0.0.1:" + std::to_string(*port);
    }
    AnsweringServer(const AnsweringServer&) = delete;
    AnsweringServer& operator=(const AnsweringServer&) = delete;

    void setBody(std::string body) { m_body = std::move(body); }
    /** Delays the start of each answer. */
    void setDelay(Duration delay) { m_delay = delay; }
    /** Sends the body in this many pieces with pauses between them; of the pieces, only @p sent are ever sent. */
    void setPieces(std::size_t count, std::size_t sent, Duration pause) { m_pieces = { count, sent, pause }; }
    const std::string& address() const { return m_address; }
    HttpClient& client() { return m_client; }

    /** Makes a call and returns its reply. @p call receives the callback of the reply. */
    template <typename Reply> Reply await(const std::function<void(std::function<void(const Reply&)>)>& call)
    {
        std::optional<Reply> reply;
        call([&reply](const Reply& received) { reply = received; });
        m_loop.runUntil([&reply] { return reply.has_value(); }, std::chrono::seconds(6));
        REQUIRE(reply);
        return *reply;
    }

private:
    struct Pieces {
        std::size_t count { 1 };
        std::size_t sent { 1 };
        Duration pause { 0 };
    };

    void answer(const HttpResponder& responder)
    {
        if (m_pieces.count == 1) {
            responder.send(response());
            return;
        }
        responder.startStream(200, "application/json");
        sendPiece(responder, 0);
    }
    void sendPiece(const HttpResponder& responder, std::size_t index)
    {
        if (index >= m_pieces.sent || !responder.isOpen())
            return;
        const std::size_t size = m_body.size() / m_pieces.count + 1;
        responder.sendChunk(m_body.substr(std::min(m_body.size(), index * size), size), index + 1 == m_pieces.count);
        m_loop.addTimer(m_pieces.pause, [this, responder, index] { sendPiece(responder, index + 1); });
    }
    HttpResponse response() const
    {
        HttpResponse response;
        response.status = 200;
        response.headers = { { "content-type", "application/json" } };
        response.body = m_body;
        return response;
    }

    std::string m_body;
    Duration m_delay { 0 };
    Pieces m_pieces;
    std::string m_address;
    SteadyClock m_clock;
    EventLoop m_loop { m_clock };
    HttpServer m_server { m_loop, {}, [this](HttpRequest&&, const HttpResponder& responder) {
                             m_loop.addTimer(m_delay, [this, responder] { answer(responder); });
                         } };
    HttpClient m_client { m_loop, {} };
};

}
