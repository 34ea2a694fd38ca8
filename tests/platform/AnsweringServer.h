#pragma once

#include "rattanroad_core/rattanroad_core.h"
#include "rattanroad_network/http/HttpClient.h"
#include "rattanroad_network/http/HttpServer.h"
#include "rattanroad_network/loop/EventLoop.h"

#include <catch2/catch.hpp>

namespace rattanroad {

/** Answers each request over HTTP with the same body. */
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
    HttpResponse response() const
    {
        HttpResponse response;
        response.status = 200;
        response.headers = { { "content-type", "application/json" } };
        response.body = m_body;
        return response;
    }

    std::string m_body;
    std::string m_address;
    SteadyClock m_clock;
    EventLoop m_loop { m_clock };
    HttpServer m_server { m_loop, {},
        [this](HttpRequest&&, const HttpResponder& responder) { responder.send(response()); } };
    HttpClient m_client { m_loop, {} };
};

}
