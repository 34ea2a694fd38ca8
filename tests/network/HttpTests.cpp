#include "rattanroad_core/rattanroad_core.h"
#include "rattanroad_network/http/HttpClient.h"
#include "rattanroad_network/http/HttpServer.h"
#include "rattanroad_network/loop/EventLoop.h"
#include "standins/TargetStandin.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <sys/socket.h>
#include <unistd.h>

using namespace rattanroad;
using namespace std::chrono_literals;

namespace {

/** One loop with a client and a server whose handler each test sets. */
struct HttpFixture {
    SteadyClock clock;
    EventLoop loop { clock };
    HttpServer::Handler handler;
    HttpServer server { loop, { ByteCount(1000), std::chrono::seconds(60), { 413, "text/plain", {}, "too large" } },
        [this](HttpRequest&& request, HttpResponder responder) { handler(std::move(request), std::move(responder)); } };
    HttpClient client { loop, {} };
    int port { *server.listen("127.0.0.1:0") };

    std::string address() const { return "127.0.0.1:" + std::to_string(port); }

    HttpResult exchange(HttpClientRequest request, const std::string& to)
    {
        std::optional<HttpResult> result;
        client.send(to, std::move(request), [&](HttpResult&& received) { result = std::move(received); });
        REQUIRE(loop.runUntil([&] { return result.has_value(); }, 5s));
        return *result;
    }
};

int connectTo(int port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    REQUIRE(connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    return descriptor;
}

}

// Guards against lost or altered parts of a request and an answer, on new and on kept-alive connections.
TEST_CASE_METHOD(HttpFixture, "a request and its answer arrive whole", "[http]")
{
    handler = [](HttpRequest&& request, HttpResponder responder) {
        const std::string text = request.method + request.path + "?" + request.query + *request.header("x-one");
        responder.send({ 201, "text/plain", {}, text + request.body });
    };
    for (int i = 0; i < 3; ++i) {
        const HttpResult result = exchange({ "POST", "/a/b?c=d", { { "x-one", "1" } }, "body", 2s }, address());
        CHECK(result.ending == HttpEnding::Answered);
        CHECK(result.status == 201);
        CHECK(result.body == "POST/a/b?c=d1body");
    }
}

// Guards against a refused connection counting as a start: the task may then not run anywhere else.
TEST_CASE_METHOD(HttpFixture, "a refused connection was never opened", "[http]")
{
    server.closeListener(port);
    const HttpResult result = exchange({ "POST", "/run", {}, "x", 2s }, address());
    CHECK(result.ending == HttpEnding::NeverOpened);
}

// Guards against a second start of a task whose target died after it got the request.
TEST_CASE_METHOD(HttpFixture, "a connection closed after the request is sent without an answer", "[http]")
{
    handler = [](HttpRequest&&, HttpResponder responder) { responder.abort(); };
    CHECK(exchange({ "POST", "/run", {}, "x", 2s }, address()).ending == HttpEnding::SentNoAnswer);
}

// Guards against the same on a kept-alive connection, where an automatic repetition would be a second start.
TEST_CASE_METHOD(HttpFixture, "a kept-alive connection that closes is sent without an answer", "[http]")
{
    int requests = 0;
    handler = [&](HttpRequest&&, HttpResponder responder) {
        if (++requests == 1)
            responder.send({});
        else
            responder.abort();
    };
    CHECK(exchange({ "POST", "/run", {}, "x", 2s }, address()).ending == HttpEnding::Answered);
    CHECK(exchange({ "POST", "/run", {}, "x", 2s }, address()).ending == HttpEnding::SentNoAnswer);
    CHECK(requests == 2);
}

// Guards against exchanges that never end, and against a timed-out start counting as "never opened".
TEST_CASE_METHOD(HttpFixture, "time limit and cancellation end an exchange once", "[http]")
{
    std::vector<HttpResponder> open;
    handler = [&](HttpRequest&&, HttpResponder responder) { open.push_back(responder); };
    const HttpResult late = exchange({ "POST", "/run", {}, "x", 50ms }, address());
    CHECK(late.ending == HttpEnding::SentNoAnswer);
    CHECK(late.isTimedOut);

    int ends = 0;
    const ExchangeId id = client.send(address(), { "POST", "/run", {}, "x", 2s }, [&](HttpResult&& result) {
        ++ends;
        CHECK(result.ending == HttpEnding::SentNoAnswer);
    });
    REQUIRE(loop.runUntil([&] { return open.size() == 2; }, 2s));
    client.cancel(id);
    client.cancel(id);
    loop.runUntil([] { return false; }, 30ms);
    CHECK(ends == 1);
    CHECK(client.active() == 0);
}

// Guards against callers that exhaust memory with one request.
TEST_CASE_METHOD(HttpFixture, "a body over the limit never reaches the handler", "[http]")
{
    bool wasHandled = false;
    handler = [&](HttpRequest&&, HttpResponder responder) {
        wasHandled = true;
        responder.send({});
    };
    CHECK(exchange({ "POST", "/", {}, std::string(1001, 'x'), 2s }, address()).status == 413);
    CHECK(exchange({ "POST", "/", {}, std::string(100000, 'x'), 2s }, address()).status == 413);
    CHECK_FALSE(wasHandled);
    CHECK(exchange({ "POST", "/", {}, std::string(1000, 'x'), 2s }, address()).status == 200);
}

// Guards against answers for callers that left staying queued for ever, and against a crash on the late answer.
TEST_CASE_METHOD(HttpFixture, "a caller's disconnect is reported once and a late answer is dropped", "[http]")
{
    std::optional<HttpResponder> open;
    int disconnects = 0;
    handler = [&](HttpRequest&&, HttpResponder responder) {
        responder.setDisconnectCallback([&] { ++disconnects; });
        open = responder;
    };
    const int descriptor = connectTo(port);
    const std::string request = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
    REQUIRE(write(descriptor, request.data(), request.size()) == static_cast<ssize_t>(request.size()));
    REQUIRE(loop.runUntil([&] { return open.has_value(); }, 2s));
    close(descriptor);
    REQUIRE(loop.runUntil([&] { return disconnects == 1; }, 2s));
    CHECK_FALSE(open->isOpen());
    open->send({});
    loop.runUntil([] { return false; }, 30ms);
    CHECK(disconnects == 1);
}

// Guards against streamed answers (the store's watch) that arrive late, merged across their end or not at all.
TEST_CASE_METHOD(HttpFixture, "a streamed answer arrives piece by piece", "[http]")
{
    std::optional<HttpResponder> open;
    handler = [&](HttpRequest&&, HttpResponder responder) {
        responder.startStream(200, "application/json");
        responder.sendChunk("one", false);
        open = responder;
    };
    std::string received;
    std::optional<HttpResult> result;
    client.send(
        address(), { "GET", "/", {}, "", 5s }, [&](HttpResult&& ended) { result = std::move(ended); },
        [&](std::string_view piece) { received += piece; });
    REQUIRE(loop.runUntil([&] { return received == "one"; }, 2s));
    open->sendChunk("two", false);
    REQUIRE(loop.runUntil([&] { return received == "onetwo"; }, 2s));
    CHECK_FALSE(result);
    open->sendChunk("", true);
    REQUIRE(loop.runUntil([&] { return result.has_value(); }, 2s));
    CHECK(result->ending == HttpEnding::Answered);
}

// Guards against a stand-in that takes more tasks than it has slots, which would hide overload in every other test.
TEST_CASE_METHOD(HttpFixture, "the target stand-in rejects tasks beyond its slots", "[standin]")
{
    PcgRandomSource random(1);
    standins::TargetStandin targets(loop, random, "");
    standins::TargetStandin::Behaviour behaviour;
    behaviour.runMs = 20;
    behaviour.slots = 2;
    const int target = targets.open(0, behaviour);
    std::map<int, int> statuses;
    for (int i = 0; i < 3; ++i) {
        client.send("127.0.0.1:" + std::to_string(target), { "POST", "/run", {}, "{}", 2s },
            [&](HttpResult&& result) { ++statuses[result.status]; });
    }
    REQUIRE(loop.runUntil([&] { return statuses[200] + statuses[503] == 3; }, 2s));
    CHECK(statuses[200] == 2);
    CHECK(targets.counts(target).started == 2);
}
