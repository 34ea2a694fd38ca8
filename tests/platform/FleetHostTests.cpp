#include "fleet/FleetHost.h"
#include "platform/PlatformStandin.h"
#include "rattanroad_core/rattanroad_core.h"
#include "rattanroad_network/http/HttpClient.h"
#include "rattanroad_network/loop/EventLoop.h"

#include <catch2/catch.hpp>
#include <unistd.h>

using namespace rattanroad;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/** An entry host with three targets and the platform stand-in, accessed over HTTP. */
class HostFixture {
public:
    explicit HostFixture(std::chrono::milliseconds shutdownTime = 6s, double stretch = 1.6)
    {
        for (const char* const id : { "t-1", "t-2", "t-3" })
            m_platform.addTarget(id, "remera");
        const json route { { "name", "q" }, { "host", "quotes.example" }, { "prefix", "/q/" }, { "service", "quotes" },
            { "maxAttempts", 3 }, { "stretch", stretch }, { "targetDurationMs", 60 } };
        const json configuration { { "version", 3 }, { "routes", json::array({ route }) },
            { "services", json::array() }, { "limits", { { "maxBodyBytes", 100000 } } } };
        m_platform.store().put("op/config", configuration.dump());
        daemon::Settings settings;
        settings.host = HostId("entry-1");
        settings.failureDomain = FailureDomainId("remera");
        settings.region = RegionId("kigali");
        settings.callerAddress = m_ip + ":8001";
        settings.readinessAddress = m_ip + ":8002";
        settings.metricsAddress = m_ip + ":8003";
        settings.peerAddress = m_ip + ":7001";
        settings.failureDomains = { FailureDomainId("remera") };
        settings.storeKind = daemon::Settings::StoreKind::Platform;
        settings.storeAddress = m_platform.address();
        settings.logFile = "/dev/null";
        settings.shutdownTime = shutdownTime;
        m_host = std::make_unique<daemon::FleetHost>(settings, m_clock, Incarnation(7), m_loop);
        const auto failure = m_host->start();
        REQUIRE_FALSE(failure);
        REQUIRE(m_loop.runUntil([this] { return get("8002", "/ready").status == 200; }, 5s));
    }

    /** Sends a request; the returned object receives the result. */
    std::shared_ptr<std::optional<HttpResult>> send(
        const std::string& port, const std::string& method, const std::string& path, const std::string& body)
    {
        HttpClientRequest request;
        request.method = method;
        request.path = path;
        request.timeout = 5s;
        request.headers = { { "host", "quotes.example" }, { "content-type", "application/json" },
            { "x-deadline-ms", std::to_string(m_callerWait.count()) } };
        request.body = body;
        auto result = std::make_shared<std::optional<HttpResult>>();
        m_http.send(
            m_ip + ":" + port, std::move(request), [result](HttpResult&& answer) { *result = std::move(answer); });
        return result;
    }

    HttpResult await(const std::shared_ptr<std::optional<HttpResult>>& result)
    {
        m_loop.runUntil([result] { return result->has_value(); }, 6s);
        return result->value_or(HttpResult());
    }

    /** Sets how long callers wait for the response. */
    void setCallerWait(std::chrono::milliseconds wait) { m_callerWait = wait; }
    /** Runs until @p isDone returns true or the limit is reached. Returns whether @p isDone returned true. */
    bool runUntil(const std::function<bool()>& isDone, Duration limit) { return m_loop.runUntil(isDone, limit); }

    HttpResult get(const std::string& port, const std::string& path) { return await(send(port, "GET", path, "")); }

    std::shared_ptr<std::optional<HttpResult>> submit(
        const std::string& job, std::chrono::milliseconds duration, bool isBestEffort, bool fails = false)
    {
        json phase { { "count", 2 }, { "cpu", 14000 }, { "memMb", 1024 }, { "estRuntimeMs", duration.count() } };
        json body { { "taskSpec", emulator::taskPayload(duration, { 14000, 1024, 0 }, fails) },
            { "phases", json::array({ phase }) }, { "bestEffort", isBestEffort } };
        return send("8001", "POST", "/q/" + job, body.dump());
    }

    void run(Duration duration)
    {
        m_loop.runUntil([] { return false; }, duration);
    }

    emulator::PlatformStandin& platform() { return m_platform; }
    daemon::FleetHost& host() { return *m_host; }

private:
    std::chrono::milliseconds m_callerWait { 1500 };
    SteadyClock m_clock;
    EventLoop m_loop { m_clock };
    emulator::PlatformStandin m_platform { m_loop };
    HttpClient m_http { m_loop, {} };
    // Each process uses its own address, so that parallel test runs do not conflict.
    std::string m_ip { "127.78." + std::to_string(getpid() / 250 % 250) + "." + std::to_string(getpid() % 250 + 1) };
    std::unique_ptr<daemon::FleetHost> m_host;
};

const std::string firstJob = "5c0e7a21d94b36f8";

}

TEST_CASE("jobs are accepted, run and reported over the platform's interfaces")
{
    HostFixture fixture;
    const HttpResult done = fixture.await(fixture.submit(firstJob, 50ms, true));
    REQUIRE(done.status == 200);
    REQUIRE(json::parse(done.body).at("state") == "done");
    const HttpResult failed = fixture.await(fixture.submit("0000000000000001", 10ms, true, true));
    REQUIRE(json::parse(failed.body).at("state") == "failed");

    REQUIRE(fixture.await(fixture.submit("0000000000000002", 50ms, false)).status == 200);
    std::string state;
    for (int i = 0; i < 40 && state != "done"; ++i) {
        fixture.run(50ms);
        state = json::parse(fixture.get("8001", "/q/0000000000000002").body).value("state", "");
    }
    REQUIRE(state == "done");
    REQUIRE(fixture.get("8001", "/q/0000000000000009").status == 410);
    REQUIRE(fixture.get("8001", "/other/0000000000000002").status == 404);
    REQUIRE(fixture.await(fixture.send("8001", "POST", "/q/" + firstJob, "{")).status == 400);
    REQUIRE(fixture.platform().targets().violations().empty());

    const std::string metrics = fixture.get("8003", "/metrics").body;
    CHECK_THAT(metrics, Catch::Contains("rattanroad_events_total{event=\"job_done\"} 2"));
    CHECK_THAT(metrics, Catch::Contains("rattanroad_job_duration_seconds_count 3"));
    CHECK_THAT(metrics, Catch::Contains("rattanroad_target_order_duration_seconds_bucket"));
    CHECK_THAT(metrics, Catch::Contains("rattanroad_loop_lag_seconds_bucket"));
}

// Guards against a stopping host that closes connections before it has sent the answers.
TEST_CASE("a draining host answers accepted requests and closes kept-alive connections with the answer")
{
    HostFixture fixture;
    REQUIRE(fixture.await(fixture.submit(firstJob, 20ms, true)).status == 200);
    const auto open = fixture.submit("0000000000000001", 900ms, true);
    fixture.run(100ms);
    fixture.host().beginDrain();
    REQUIRE(fixture.get("8002", "/ready").status == 503);
    const HttpResult answered = fixture.await(open);
    REQUIRE(answered.ending == HttpEnding::Answered);
    REQUIRE(json::parse(answered.body).at("state") == "done");
}

// Guards against a host that ends while callers wait for room on the targets, with a broken connection as the answer.
TEST_CASE("a host that ends has answered the callers that still wait")
{
    constexpr auto shutdownTime = 3500ms;
    // The objective leaves time to wait; otherwise jobs without room would be refused at once.
    HostFixture fixture(shutdownTime, 20);
    fixture.setCallerWait(20s);
    std::vector<std::shared_ptr<std::optional<HttpResult>>> waiting;
    waiting.reserve(10);
    for (int i = 0; i < 10; ++i)
        waiting.push_back(fixture.submit("000000000000001" + std::to_string(i), 4500ms, true));
    fixture.run(300ms);
    for (const auto& result : waiting)
        REQUIRE_FALSE(result->has_value());
    fixture.host().beginDrain();
    const auto areAllAnswered = [&waiting] {
        return std::all_of(waiting.begin(), waiting.end(), [](const auto& result) { return result->has_value(); });
    };
    REQUIRE(fixture.runUntil(areAllAnswered, shutdownTime));
    for (const auto& result : waiting) {
        CHECK((*result)->ending == HttpEnding::Answered);
        CHECK((*result)->status == 504);
    }
}

// Guards against a host that accepts a job late in its shutdown and then abandons it.
TEST_CASE("a draining host refuses jobs that could not end before it stops")
{
    HostFixture fixture;
    fixture.host().beginDrain();
    fixture.run(3s);
    const HttpResult refused = fixture.await(fixture.submit(firstJob, 900ms, true));
    REQUIRE(refused.status == 503);
    REQUIRE(fixture.platform().targets().runs().empty());
}

TEST_CASE("a host goes on serving beside odd entries in the target list and odd requests")
{
    HostFixture fixture;
    constexpr std::size_t depth = 200000;
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    auto& store = fixture.platform().store();
    store.put("servers/odd-1",
        R"({"service":"quotes","address":"127.0.0.1:9","zone":"remera","state":"ready","capacity":)" + nested + "}");
    store.put("servers/odd-2", nested);
    store.put("servers/odd-3",
        R"({"service":"quotes","address":"127.0.0.1:98487","zone":"remera","state":"ready","capacity":{"cpu":1,"memMb":1}})");
    store.put("servers/odd-4",
        R"({"service":"quotes","address":"127.0.0.1:9","zone":"remera","state":"ready",
            "capacity":{"cpu":4294967297,"memMb":4294967296}})");
    store.put("op/config", nested);
    fixture.run(500ms);
    REQUIRE(fixture.await(fixture.send("8001", "POST", "/q/00000000000000aa", nested)).status == 413);
    REQUIRE(fixture.await(fixture.send("8001", "POST", "/q/00000000000000ab", nested.substr(0, 90000))).status == 400);
    for (const char* const phase : { R"({"count":4294967297,"cpu":1})", R"({"count":1,"cpu":4294967297})" }) {
        const std::string body = R"({"taskSpec":"1","bestEffort":true,"phases":[)" + std::string(phase) + "]}";
        REQUIRE(fixture.await(fixture.send("8001", "POST", "/q/00000000000000ac", body)).status == 400);
    }
    const HttpResult done = fixture.await(fixture.submit("00000000000000ad", 50ms, true));
    REQUIRE(done.status == 200);
    REQUIRE(json::parse(done.body).at("state") == "done");
}
