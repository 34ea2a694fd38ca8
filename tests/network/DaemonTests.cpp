#include "daemon/Daemon.h"
#include "rattanroad_core/rattanroad_core.h"
#include "rattanroad_network/http/HttpClient.h"
#include "rattanroad_network/loop/EventLoop.h"
#include "rattanroad_network/store/StoreClient.h"
#include "standins/StoreStandin.h"
#include "standins/TargetStandin.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <unistd.h>

using namespace rattanroad;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/** A daemon, a store stand-in and one target on a single event loop; tests call the daemon over HTTP. */
struct DaemonFixture {
    SteadyClock clock;
    PcgRandomSource random { 1 };
    EventLoop loop { clock };
    standins::StoreStandin store { loop };
    standins::TargetStandin targets { loop, random, "" };
    int targetPort { 0 };
    HttpClient http { loop, {} };
    // A loopback address derived from the process id, so that parallel test runs do not use the same ports.
    std::string ipAddress { "127.77." + std::to_string(getpid() / 250 % 250) + "."
        + std::to_string(getpid() % 250 + 1) };
    std::string address { ipAddress + ":8001" };
    std::unique_ptr<daemon::Daemon> host;

    DaemonFixture()
    {
        REQUIRE(store.open(0, 0));
        standins::TargetStandin::Behaviour behaviour;
        behaviour.runMs = 10;
        targetPort = targets.open(0, behaviour);
        const json settings { { "host",
                                  { { "id", "entry-1" }, { "failure_domain", "remera" }, { "region", "kigali" } } },
            { "listen", { { "callers", address }, { "peers", ipAddress + ":7001" } } },
            { "store", { { "address", "127.0.0.1:" + std::to_string(store.port()) } } },
            { "requests", { { "maximum_bytes", 100000 } } }, { "logs", { { "file", "/dev/null" } } } };
        const auto parsed = daemon::Settings::parse(settings.dump());
        REQUIRE(parsed);
        host = std::make_unique<daemon::Daemon>(*parsed, clock, random, loop);
        const auto failure = host->start();
        REQUIRE_FALSE(failure);
    }

    json inventory() const
    {
        return { { "failure_domains", json::array({ { { "id", "remera" }, { "region", "kigali" } } }) },
            { "workers",
                json::array({ { { "id", "w" }, { "failure_domain", "remera" }, { "rack", "r" }, { "cores", 32 },
                    { "memory_mb", 65536 }, { "accelerators", 0 } } }) },
            { "targets",
                json::array(
                    { { { "id", "t" }, { "worker", "w" }, { "address", "127.0.0.1:" + std::to_string(targetPort) },
                        { "path", "/run" }, { "kinds", { "quote" } }, { "slots", 8 }, { "connections", 64 },
                        { "state", "active" }, { "not_run_statuses", json::array() } } }) },
            { "teams", json::array({ { { "id", "millinery" }, { "quota_slots", 0 }, { "weight", 1 } } }) },
            { "rules", json::array() },
            { "entry_hosts", json::array({ { { "id", "entry-1" }, { "failure_domain", "remera" } } }) } };
    }

    static json jobRequest(int tasks)
    {
        const json task { { "kind", "quote" }, { "payload", { { "result", "felt" } } } };
        return { { "team", "millinery" }, { "deadline_ms", 5000 },
            { "tasks", std::vector<json>(static_cast<std::size_t>(tasks), task) } };
    }

    HttpResult call(const std::string& method, const std::string& path, const std::string& body = "",
        std::vector<HttpHeader> headers = {})
    {
        std::optional<HttpResult> result;
        http.send(address, { method, path, std::move(headers), body, 10s },
            [&](HttpResult&& ended) { result = std::move(ended); });
        REQUIRE(loop.runUntil([&] { return result.has_value(); }, 15s));
        return *result;
    }

    HttpResult apply(const char* base, const char* change, const json& document)
    {
        return call("PUT", "/v1/configuration", document.dump(),
            { { "If-Match", base }, { "Change-Id", change }, { "Author", "asha" } });
    }

    void makeReady()
    {
        REQUIRE(apply("0", "first", inventory()).status == 200);
        REQUIRE(loop.runUntil([&] { return call("GET", "/readyz").status == 200; }, 5s));
    }
};

void checkProblem(const HttpResult& result, int status, const char* type, const char* runState)
{
    CHECK(result.status == status);
    const json body = json::parse(result.body, nullptr, false);
    REQUIRE(body.is_object());
    CHECK(body["type"] == std::string("https://rattanroad.example/problems/") + type);
    CHECK(body["status"] == status);
    CHECK(body["run_state"] == runState);
}

}

// Guards against error responses outside the documented format, from which callers decide whether to resubmit.
TEST_CASE_METHOD(DaemonFixture, "invalid requests get problem responses with the run state not_run", "[daemon]")
{
    CHECK(call("GET", "/healthz").status == 200);
    CHECK(call("GET", "/readyz").status == 503);
    checkProblem(call("POST", "/v1/jobs", "{\"team\":"), 400, "malformed-request", "not_run");
    checkProblem(call("POST", "/v1/jobs", std::string(100001, ' ')), 413, "request-too-large", "not_run");
    checkProblem(call("GET", "/v1/jobs/r1.nonsense"), 400, "invalid-submission-id", "not_run");
    checkProblem(call("GET", "/v1/nothing"), 404, "not-found", "not_run");
    checkProblem(call("POST", "/testing/links", "{}"), 404, "not-found", "not_run");
    checkProblem(call("GET", "/v1/configuration"), 503, "configuration-missing", "not_run");
    makeReady();
    json unknownTeam = jobRequest(1);
    unknownTeam["team"] = "nobody";
    checkProblem(call("POST", "/v1/jobs", unknownTeam.dump()), 403, "team-unknown", "not_run");
    json impossible = jobRequest(1);
    impossible["tasks"][0]["needs"] = { { "cores", 1000 } };
    checkProblem(call("POST", "/v1/jobs", impossible.dump()), 422, "no-eligible-target", "not_run");
    CHECK(targets.counts(targetPort).started == 0);
}

// Guards against running a submission twice and against responses with missing task results.
TEST_CASE_METHOD(DaemonFixture, "a job returns all its results and a resubmission joins it", "[daemon]")
{
    makeReady();
    json request = jobRequest(100);
    request["submission_id"] = json::parse(call("POST", "/v1/submission-ids", "{\"count\":2}").body)["ids"][1];
    for (int i = 0; i < 2; ++i) {
        const HttpResult result = call("POST", "/v1/jobs", request.dump());
        REQUIRE(result.status == 200);
        const json body = json::parse(result.body);
        CHECK(body["state"] == "complete");
        CHECK(body["submission_id"] == request["submission_id"]);
        CHECK(body["results"] == std::vector<std::string>(100, "felt"));
    }
    CHECK(targets.counts(targetPort).started == 100);
    CHECK(targets.counts(targetPort).rejected == 0);

    const HttpResult accepted = call("POST", "/v1/jobs", jobRequest(8).dump(), { { "Prefer", "respond-async" } });
    REQUIRE(accepted.status == 202);
    const std::string path = "/v1/jobs/" + json::parse(accepted.body)["submission_id"].get<std::string>();
    REQUIRE(loop.runUntil([&] { return json::parse(call("GET", path).body)["state"] == "complete"; }, 5s));
    CHECK_THAT(call("GET", "/metrics").body, Catch::Contains("rattanroad_tasks_total{event=\"succeeded\"} 108"));
}

// Guards against a change that reverts another operator's, and against applying a resent change twice.
TEST_CASE_METHOD(
    DaemonFixture, "one of two conflicting changes is accepted, and a resent change is recognized", "[daemon]")
{
    REQUIRE(apply("0", "first", inventory()).status == 200);
    json other = inventory();
    other["teams"][0]["weight"] = 2;
    const HttpResult conflict = apply("0", "second", other);
    checkProblem(conflict, 409, "configuration-conflict", "not_run");
    CHECK_THAT(conflict.body, Catch::Contains("asha"));
    CHECK(apply("1", "second", other).status == 200);
    const HttpResult repeated = apply("0", "first", inventory());
    CHECK(repeated.status == 200);
    CHECK(json::parse(repeated.body)["was_applied_before"] == true);
    other["targets"][0]["worker"] = "missing";
    checkProblem(apply("2", "third", other), 422, "configuration-invalid", "not_run");
    CHECK(json::parse(call("GET", "/v1/configuration").body)["revision"] == 2);
    CHECK(json::parse(call("GET", "/v1/configuration/history").body).size() == 2);
    CHECK(call("POST", "/v1/configuration/check", inventory().dump()).status == 200);
}

// Guards against starting tasks on a host that the platform is about to remove. Its targets must be marked as leaving
// within 3 s.
TEST_CASE_METHOD(DaemonFixture, "a target on a leaving host gets no new tasks", "[daemon]")
{
    makeReady();
    platform::StoreClient client(http, { "127.0.0.1:" + std::to_string(store.port()), 1s, {} });
    client.write({ {}, { { "/platform/hosts/w", "{\"state\":\"leaving\"}", platform::StoreLease() } }, "" },
        [](const platform::StoreWriteResult& result) { CHECK(result.outcome == platform::StoreOutcome::Done); });
    const auto isLeaving = [&] {
        const json status = json::parse(call("GET", "/v1/status").body);
        return status["kept_targets"].size() == 1 && status["kept_targets"][0]["leaving"] == true;
    };
    REQUIRE(loop.runUntil(isLeaving, 3s));
    json shortJob = jobRequest(1);
    shortJob["deadline_ms"] = 300;
    CHECK(call("POST", "/v1/jobs", shortJob.dump()).status >= 400);
    CHECK(targets.counts(targetPort).started == 0);
}

// Guards against a shutdown that aborts a job in progress or accepts new jobs while it waits.
TEST_CASE_METHOD(DaemonFixture, "a draining host finishes the job in progress and refuses new ones", "[daemon]")
{
    makeReady();
    std::optional<HttpResult> inProgress;
    http.send(address, { "POST", "/v1/jobs", {}, jobRequest(40).dump(), 10s },
        [&](HttpResult&& ended) { inProgress = std::move(ended); });
    REQUIRE(loop.runUntil([&] { return targets.counts(targetPort).started > 0; }, 5s));
    host->beginDrain();
    CHECK(call("GET", "/readyz").status == 503);
    checkProblem(call("POST", "/v1/jobs", jobRequest(1).dump()), 503, "draining", "not_run");
    REQUIRE(loop.runUntil([&] { return inProgress.has_value(); }, 5s));
    CHECK(inProgress->status == 200);
    CHECK(targets.counts(targetPort).succeeded == 40);
}
