#include "platform/TargetHttpClient.h"
#include "rattanroad_core/rattanroad_core.h"
#include "rattanroad_network/http/HttpServer.h"
#include "rattanroad_network/loop/EventLoop.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace rattanroad;
using namespace rattanroad::shards;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/** A target that answers each request with the same body. */
class AnsweringTarget {
public:
    explicit AnsweringTarget(json body)
        : m_body(std::move(body))
    {
        const auto port = m_server.listen("127.0.0.1:0");
        REQUIRE(port);
        m_address = "127.0.0.1:" + std::to_string(*port);
    }

    PollReply poll()
    {
        std::optional<PollReply> reply;
        m_client.targetCalls().poll({ TargetId("target"), m_address, FencingToken(1), 0, std::nullopt, 0ms, 5000ms },
            [&reply](const PollReply& received) { reply = received; });
        m_loop.runUntil([&reply] { return reply.has_value(); }, 6s);
        REQUIRE(reply);
        return *reply;
    }
    TargetReply start()
    {
        std::optional<TargetReply> reply;
        m_client.targetCalls().start(
            { TargetId("target"), m_address, { JobId("a"), 0, 0 }, 1, "", 1000, FencingToken(1), "", 5000ms },
            [&reply](const TargetReply& received) { reply = received; });
        m_loop.runUntil([&reply] { return reply.has_value(); }, 6s);
        REQUIRE(reply);
        return *reply;
    }

private:
    json m_body;
    SteadyClock m_clock;
    EventLoop m_loop { m_clock };
    HttpServer m_server { m_loop, {}, [this](HttpRequest&&, const HttpResponder& responder) {
                             HttpResponse response;
                             response.status = 200;
                             response.headers = { { "content-type", "application/json" } };
                             response.body = m_body.dump();
                             responder.send(std::move(response));
                         } };
    HttpClient m_http { m_loop, {} };
    adapter::TargetHttpClient m_client { m_http, {} };
    std::string m_address;
};

json listOf(std::size_t completions)
{
    json finished = json::array();
    for (std::size_t i = 1; i <= completions; ++i)
        finished.push_back({ i, "5c0e7a21d94b36f8.0.0." + std::to_string(i), 1, "done", "" });
    return { { "clockMs", 482113 }, { "born", 1796506282379 }, { "running", json::array() }, { "finished", finished } };
}

}

// A list of completions that was cut off was taken for a complete one, and done tasks started again.
TEST_CASE("a list of as many completions as a target lists at a time may be cut off")
{
    CHECK_FALSE(AnsweringTarget(listOf(0)).poll().mayHaveMoreCompletions);
    CHECK_FALSE(AnsweringTarget(listOf(499)).poll().mayHaveMoreCompletions);
    const PollReply full = AnsweringTarget(listOf(500)).poll();
    CHECK(full.completions.size() == 500);
    CHECK(full.mayHaveMoreCompletions);
}

// An entry that cannot be read takes a place in the list all the same.
TEST_CASE("a list with an unreadable completion may be cut off")
{
    json list = listOf(499);
    list["finished"].push_back("odd");
    CHECK(AnsweringTarget(list).poll().mayHaveMoreCompletions);
}

// A confirmed start was taken for a reply of an earlier incarnation, which has a lower number.
TEST_CASE("a reply to a start names no incarnation and confirms the start")
{
    const TargetReply reply = AnsweringTarget(json { { "clockMs", 482113 } }).start();
    CHECK(reply.result == TargetCallResult::Done);
    CHECK(reply.clockMs == 482113U);
    CHECK(reply.incarnationMs == 0);
}
