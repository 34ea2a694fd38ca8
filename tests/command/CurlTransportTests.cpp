#include "rattanroad/http/CurlTransport.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <thread>

using namespace rattanroad::command;

namespace {

/** Accepts one connection on the loopback interface, reads a request, writes a fixed response and closes it. */
class SingleResponseServer {
public:
    explicit SingleResponseServer(std::string response)
        : m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
        REQUIRE(listen(m_listener, 1) == 0);
        socklen_t size = sizeof(address);
        getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
        url = "http://127.0.0.1:" + std::to_string(ntohs(address.sin_port));
        m_thread = std::thread([this, response = std::move(response)] { serve(response); });
    }
    ~SingleResponseServer()
    {
        m_thread.join();
        close(m_listener);
    }
    SingleResponseServer(const SingleResponseServer&) = delete;
    SingleResponseServer& operator=(const SingleResponseServer&) = delete;

    std::string url;
    std::string received;

private:
    void serve(const std::string& response)
    {
        pollfd wait { m_listener, POLLIN, 0 };
        if (poll(&wait, 1, 5000) != 1)
            return;
        const int connection = accept(m_listener, nullptr, nullptr);
        char buffer[4096];
        // Every request in these tests ends with its body "{}".
        while (received.find("\r\n\r\n{}") == std::string::npos) {
            const auto count = read(connection, buffer, sizeof(buffer));
            if (count <= 0)
                break;
            received.append(buffer, static_cast<size_t>(count));
        }
        if (write(connection, response.data(), response.size()) < 0)
            received.clear();
        close(connection);
    }

    int m_listener;
    std::thread m_thread;
};

HttpRequest request(const std::string& server)
{
    return { "PUT", server, "/v1/configuration", { { "If-Match", "\"3\"" } }, "{}", std::chrono::milliseconds(2000) };
}

}

// Guards against requests sent without their method, headers or body.
TEST_CASE("the complete request is sent and the complete response is read")
{
    const CurlTransport transport;
    SingleResponseServer server("HTTP/1.1 412 Precondition Failed\r\nContent-Length: 4\r\n\r\nbody");
    const auto exchange = transport.send(request(server.url));
    CHECK(exchange.outcome == HttpExchange::Outcome::ResponseReceived);
    CHECK(exchange.status == 412);
    CHECK(exchange.body == "body");
    CHECK(server.received.find("PUT /v1/configuration HTTP/1.1") == 0);
    CHECK(server.received.find("If-Match: \"3\"") != std::string::npos);
}

// Guards against classifying a connection lost after the request as a request that was never sent.
TEST_CASE("lost and refused connections are distinguished")
{
    const CurlTransport transport;
    for (const auto* response : { "", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf" }) {
        SingleResponseServer server(response);
        CHECK(transport.send(request(server.url)).outcome == HttpExchange::Outcome::ConnectionLost);
    }
    CHECK(transport.send(request("http://127.0.0.1:1")).outcome == HttpExchange::Outcome::NotSent);
}
