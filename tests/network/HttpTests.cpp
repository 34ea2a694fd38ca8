#include "rattanroad_core/rattanroad_core.h"
#include "rattanroad_network/http/HttpClient.h"
#include "rattanroad_network/http/HttpConnections.h"
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

/** A client and a server on one event loop. Each test sets the server's handler. */
struct HttpFixture {
    SteadyClock clock;
    EventLoop loop { clock };
    HttpServer::Handler handler;
    HttpServer server { loop, { ByteCount(1000), std::chrono::seconds(60), { 413, "text/plain", {}, "too large" } },
        [this](HttpRequest&& request, const HttpResponder& responder) { handler(std::move(request), responder); } };
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

// Guards against lost or altered parts of a request or response, on new and on kept-alive connections.
TEST_CASE_METHOD(HttpFixture, "a request and its response arrive complete", "[http]")
{
    handler = [](HttpRequest&& request, const HttpResponder& responder) {
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

// Guards against counting a task as started when its connection was refused: it could then not be started elsewhere.
TEST_CASE_METHOD(HttpFixture, "a refused connection is reported as never opened", "[http]")
{
    server.closeListener(port);
    const HttpResult result = exchange({ "POST", "/run", {}, "x", 2s }, address());
    CHECK(result.ending == HttpEnding::NeverOpened);
}

// Guards against starting a task again whose target failed after it had received the request.
TEST_CASE_METHOD(HttpFixture, "a connection closed after the request is reported as sent without a response", "[http]")
{
    handler = [](HttpRequest&&, const HttpResponder& responder) { responder.abort(); };
    CHECK(exchange({ "POST", "/run", {}, "x", 2s }, address()).ending == HttpEnding::SentNoAnswer);
}

// Guards against the same fault on a kept-alive connection, where an automatic retry would start the task twice.
TEST_CASE_METHOD(HttpFixture, "a kept-alive connection that closes is reported as sent without a response", "[http]")
{
    int requests = 0;
    handler = [&](HttpRequest&&, const HttpResponder& responder) {
        if (++requests == 1)
            responder.send({});
        else
            responder.abort();
    };
    CHECK(exchange({ "POST", "/run", {}, "x", 2s }, address()).ending == HttpEnding::Answered);
    CHECK(exchange({ "POST", "/run", {}, "x", 2s }, address()).ending == HttpEnding::SentNoAnswer);
    CHECK(requests == 2);
}

// Guards against exchanges that never end, and against reporting a request that timed out as never opened.
TEST_CASE_METHOD(HttpFixture, "a timeout or a cancellation ends an exchange once", "[http]")
{
    std::vector<HttpResponder> responders;
    handler = [&](HttpRequest&&, const HttpResponder& responder) { responders.push_back(responder); };
    const HttpResult timedOut = exchange({ "POST", "/run", {}, "x", 50ms }, address());
    CHECK(timedOut.ending == HttpEnding::SentNoAnswer);
    CHECK(timedOut.isTimedOut);

    int completions = 0;
    const ExchangeId id = client.send(address(), { "POST", "/run", {}, "x", 2s }, [&](HttpResult&& result) {
        ++completions;
        CHECK(result.ending == HttpEnding::SentNoAnswer);
    });
    REQUIRE(loop.runUntil([&] { return responders.size() == 2; }, 2s));
    client.cancel(id);
    client.cancel(id);
    loop.runUntil([] { return false; }, 30ms);
    CHECK(completions == 1);
    CHECK(client.active() == 0);
}

// Guards against a caller that exhausts the server's memory with one request.
TEST_CASE_METHOD(HttpFixture, "a request with a body over the limit never reaches the handler", "[http]")
{
    bool wasHandled = false;
    handler = [&](HttpRequest&&, const HttpResponder& responder) {
        wasHandled = true;
        responder.send({});
    };
    CHECK(exchange({ "POST", "/", {}, std::string(1001, 'x'), 2s }, address()).status == 413);
    CHECK(exchange({ "POST", "/", {}, std::string(100000, 'x'), 2s }, address()).status == 413);
    CHECK_FALSE(wasHandled);
    CHECK(exchange({ "POST", "/", {}, std::string(1000, 'x'), 2s }, address()).status == 200);
}

// Guards against keeping responses for disconnected callers forever, and against a crash when a late response is sent.
TEST_CASE_METHOD(HttpFixture, "a caller's disconnect is reported once and a late response is dropped", "[http]")
{
    std::optional<HttpResponder> pending;
    int disconnects = 0;
    handler = [&](HttpRequest&&, const HttpResponder& responder) {
        responder.setDisconnectCallback([&] { ++disconnects; });
        pending = responder;
    };
    const int descriptor = connectTo(port);
    const std::string request = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
    REQUIRE(write(descriptor, request.data(), request.size()) == static_cast<ssize_t>(request.size()));
    REQUIRE(loop.runUntil([&] { return pending.has_value(); }, 2s));
    close(descriptor);
    REQUIRE(loop.runUntil([&] { return disconnects == 1; }, 2s));
    CHECK_FALSE(pending->isOpen());
    pending->send({});
    loop.runUntil([] { return false; }, 30ms);
    CHECK(disconnects == 1);
}

// Guards against running a job for a caller that has left and has submitted it to another host.
TEST_CASE_METHOD(HttpFixture, "a request whose caller has disconnected before it is read is not handled", "[http]")
{
    int handled = 0;
    int disconnects = 0;
    handler = [&](HttpRequest&&, const HttpResponder& responder) {
        ++handled;
        responder.setDisconnectCallback([&] { ++disconnects; });
    };
    const std::string request = "POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nxx";
    for (int i = 0; i < 20; ++i) {
        const int descriptor = connectTo(port);
        REQUIRE(write(descriptor, request.data(), request.size()) == static_cast<ssize_t>(request.size()));
        close(descriptor);
    }
    loop.runUntil([] { return false; }, 100ms);
    INFO("handled " << handled << ", disconnects reported " << disconnects);
    CHECK(handled == 0);
}

// Guards against chunks of a streamed response, such as the store's watch, that arrive late, only with the end of the
// response or not at all.
TEST_CASE_METHOD(HttpFixture, "a streamed response is delivered chunk by chunk", "[http]")
{
    std::optional<HttpResponder> pending;
    handler = [&](HttpRequest&&, const HttpResponder& responder) {
        responder.startStream(200, "application/json");
        responder.sendChunk("one", false);
        pending = responder;
    };
    std::string received;
    std::optional<HttpResult> result;
    client.send(
        address(), { "GET", "/", {}, "", 5s }, [&](HttpResult&& ended) { result = std::move(ended); },
        [&](std::string_view chunk) { received += chunk; });
    REQUIRE(loop.runUntil([&] { return received == "one"; }, 2s));
    pending->sendChunk("two", false);
    REQUIRE(loop.runUntil([&] { return received == "onetwo"; }, 2s));
    CHECK_FALSE(result);
    pending->sendChunk("", true);
    REQUIRE(loop.runUntil([&] { return result.has_value(); }, 2s));
    CHECK(result->ending == HttpEnding::Answered);
}

namespace {

/** A server with tight limits, and callers that write bytes to it. */
struct LimitFixture {
    explicit LimitFixture(ByteCount maximumHeldBytes = ByteCount(100000))
        : heldBytes(maximumHeldBytes)
    {
    }

    ByteCount heldBytes;
    SteadyClock clock;
    EventLoop loop { clock };
    std::map<CloseCause, int> causes;
    std::shared_ptr<HttpConnections> connections { std::make_shared<HttpConnections>(
        loop, limits(heldBytes), [this](CloseCause cause, std::size_t) { ++causes[cause]; }) };
    std::vector<HttpResponder> pending;
    int handled { 0 };
    bool answersAtOnce { true };
    HttpServer server { loop, settings(), [this](HttpRequest&&, const HttpResponder& responder) {
                           ++handled;
                           if (answersAtOnce)
                               responder.send({});
                           else
                               pending.push_back(responder);
                       } };
    int port { *server.listen("127.0.0.1:0") };

    static HttpLimits limits(ByteCount heldBytes)
    {
        HttpLimits limits;
        limits.maximumConnections = 4;
        limits.maximumHeldBytes = heldBytes;
        limits.maximumHeadBytes = ByteCount(2000);
        limits.headTimeout = 300ms;
        limits.bodyTimeout = 600ms;
        limits.idleTimeout = 5s;
        return limits;
    }

    HttpServer::Settings settings() const
    {
        HttpServer::Settings settings;
        settings.maximumBodySize = ByteCount(60000);
        settings.connections = connections;
        return settings;
    }

    int caller(const std::string& text)
    {
        const int descriptor = connectTo(port);
        REQUIRE(write(descriptor, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
        return descriptor;
    }

    void run(Duration duration)
    {
        loop.runUntil([] { return false; }, duration);
    }

    /** Returns what was received so far; "closed" at the end when the connection is closed. */
    static std::string received(int descriptor)
    {
        std::string text;
        char buffer[65536];
        for (;;) {
            const ssize_t count = recv(descriptor, buffer, sizeof buffer, MSG_DONTWAIT);
            if (count < 0 && errno == EAGAIN)
                return text;
            if (count <= 0)
                return text + "closed";
            text.append(buffer, static_cast<std::size_t>(count));
        }
    }
};

/** One small request fills the account. */
struct SmallAccountFixture : LimitFixture {
    SmallAccountFixture()
        : LimitFixture(ByteCount(3000))
    {
    }
};

std::string post(std::size_t size, std::size_t sent)
{
    return "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: " + std::to_string(size) + "\r\n\r\n"
        + std::string(sent, 'x');
}

}

// Guards against bodies that stop just short of their end and together take the memory of the process.
TEST_CASE_METHOD(LimitFixture, "unfinished bodies beyond the account are closed, and others are served", "[http]")
{
    const int first = caller(post(60000, 59999));
    run(50ms);
    const int second = caller(post(60000, 59999));
    run(50ms);
    CHECK(received(first) == "closed");
    CHECK(received(second).empty());
    CHECK(causes[CloseCause::AccountFull] == 1);
    CHECK(connections->account().heldBytes() <= 100000);
    const int other = caller(post(10, 10));
    run(50ms);
    CHECK(handled == 1);
    CHECK_THAT(received(other), Catch::StartsWith("HTTP/1.1 200"));
    REQUIRE(write(second, "x", 1) == 1);
    run(50ms);
    CHECK(handled == 2);
}

// Guards against complete requests that wait for their jobs and together take the memory of the process.
TEST_CASE_METHOD(
    SmallAccountFixture, "a request is refused with 503 and not served while the account is full", "[http]")
{
    answersAtOnce = false;
    const int first = caller(post(3000, 3000));
    run(50ms);
    const int second = caller(post(10, 10));
    run(50ms);
    CHECK(handled == 1);
    const std::string refusal = received(second);
    CHECK_THAT(refusal, Catch::StartsWith("HTTP/1.1 503"));
    CHECK_THAT(refusal, Catch::Contains("retry-after: 1"));
    CHECK_THAT(refusal, Catch::EndsWith("closed"));
    CHECK(causes == std::map<CloseCause, int> { { CloseCause::RequestRefused, 1 } });
    REQUIRE(pending.size() == 1);
    pending[0].send({});
    run(50ms);
    CHECK_THAT(received(first), Catch::StartsWith("HTTP/1.1 200"));
    CHECK(connections->account().heldBytes() == 0);
}

// Guards against callers that send header fields for ever, quickly or slowly, and against bodies that never end.
TEST_CASE_METHOD(
    LimitFixture, "header fields that are too long or too slow and slow bodies close the connection", "[http]")
{
    const int longHead = caller("GET / HTTP/1.1\r\na: " + std::string(3000, 'x'));
    const int slowHead = caller("GET / HTTP/1.1\r\n");
    const int slowBody = caller(post(10, 9));
    run(100ms);
    CHECK(received(longHead) == "closed");
    CHECK(received(slowHead).empty());
    run(500ms);
    CHECK(received(slowHead) == "closed");
    CHECK(received(slowBody).empty());
    run(500ms);
    CHECK(received(slowBody) == "closed");
    CHECK(causes
        == std::map<CloseCause, int> {
            { CloseCause::LongHead, 1 }, { CloseCause::SlowHead, 1 }, { CloseCause::SlowBody, 1 } });
    const int completeHead = caller("GET / HTTP/1.1\r\na: " + std::string(3000, 'x') + "\r\n\r\n");
    run(50ms);
    CHECK(handled == 0);
    CHECK_THAT(received(completeHead), Catch::StartsWith("HTTP/1.1 431") || Catch::Equals("closed"));
}

// Guards against limits that hold only for the first request of a connection.
TEST_CASE_METHOD(LimitFixture, "the limits hold for later requests of a connection", "[http]")
{
    const int descriptor = caller(post(10, 10));
    run(50ms);
    CHECK_THAT(received(descriptor), Catch::StartsWith("HTTP/1.1 200"));
    const std::string next = post(10, 10) + post(10, 9);
    REQUIRE(write(descriptor, next.data(), next.size()) == static_cast<ssize_t>(next.size()));
    run(50ms);
    CHECK(handled == 2);
    CHECK_THAT(received(descriptor), Catch::StartsWith("HTTP/1.1 200"));
    run(1200ms);
    CHECK(received(descriptor) == "closed");
    CHECK(causes[CloseCause::SlowBody] == 1);
}

// Guards against bodies that the account does not see because h2o paused reading to send "100 Continue".
TEST_CASE_METHOD(LimitFixture, "the limits hold for a body that is sent after 100 Continue", "[http]")
{
    const int descriptor
        = caller("POST / HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\ncontent-length: 50000\r\n\r\n");
    run(50ms);
    CHECK_THAT(received(descriptor), Catch::StartsWith("HTTP/1.1 100"));
    const std::string body(49999, 'x');
    REQUIRE(write(descriptor, body.data(), body.size()) == static_cast<ssize_t>(body.size()));
    run(50ms);
    CHECK(connections->account().heldBytes() >= body.size());
    run(1200ms);
    CHECK(received(descriptor) == "closed");
    CHECK(causes[CloseCause::SlowBody] == 1);
}

// Guards against more open connections than descriptors, and against a new caller that finds no room.
TEST_CASE_METHOD(LimitFixture, "a new connection takes the place of one that has been idle", "[http]")
{
    std::vector<int> idle;
    idle.reserve(6);
    for (int i = 0; i < 6; ++i)
        idle.push_back(caller(""));
    run(50ms);
    CHECK(connections->account().connections() == 4);
    CHECK(causes[CloseCause::TooManyConnections] == 2);
    const int other = caller(post(10, 10));
    run(50ms);
    CHECK_THAT(received(other), Catch::StartsWith("HTTP/1.1 200"));
}

// Guards against lost, repeated or reordered answers when a connection sends more requests than one turn serves.
TEST_CASE_METHOD(LimitFixture, "hundreds of pipelined requests are all answered", "[http]")
{
    std::string requests;
    for (int i = 0; i < 500; ++i)
        requests += "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
    const int descriptor = caller(requests);
    std::string answers;
    loop.runUntil(
        [&] {
            answers += received(descriptor);
            return handled == 500;
        },
        5s);
    CHECK(handled == 500);
    CHECK(causes.empty());
}

// Guards against a stand-in that accepts more tasks than it has slots, which would hide overload in all other tests.
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
