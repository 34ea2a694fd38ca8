#include "api/JobApi.h"
#include "api/JobRequestParser.h"
#include "api/ProblemResponse.h"
#include "daemon/SegmentStore.h"
#include "daemon/TargetGateway.h"
#include "rattanroad_core/rattanroad_core.h"
#include "rattanroad_network/loop/EventLoop.h"
#include "settings/Settings.h"
#include "standins/StoreStandin.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace rattanroad;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

json validSettings()
{
    return { { "host", { { "id", "entry-1" }, { "failure_domain", "remera" }, { "region", "kigali" } } },
        { "listen", { { "callers", "127.0.0.1:8001" }, { "peers", "127.0.0.1:7001" } } },
        { "store", { { "address", "127.0.0.1:2379" } } } };
}

std::string settingsError(const json& settings)
{
    const auto parsed = daemon::Settings::parse(settings.dump());
    return parsed ? "" : parsed.lastReason().detail;
}

json validJob()
{
    return { { "team", "millinery" }, { "deadline_ms", 1000 },
        { "tasks", json::array({ { { "kind", "quote" }, { "payload", { { "size", 7 } } } } }) } };
}

std::string jobRequestError(const json& job)
{
    const auto parsed = daemon::parseJobRequest(job.dump());
    if (parsed)
        return "";
    CHECK(parsed.lastReason().code == FailureCode::MalformedRequest);
    CHECK(parsed.lastReason().runState == RunState::NotRun);
    return parsed.lastReason().detail;
}

}

// Guards against a daemon that starts with a misspelt or invalid setting and fails hours later.
TEST_CASE("settings errors name the path of the setting", "[settings]")
{
    CHECK(settingsError(validSettings()).empty());
    json settings = validSettings();
    settings["dispatch"]["wast_weight"] = 0.2;
    CHECK_THAT(settingsError(settings), Catch::Contains("dispatch") && Catch::Contains("wast_weight"));
    settings = validSettings();
    settings["dispatch"]["waste_weight"] = 1.5;
    CHECK_THAT(settingsError(settings), Catch::Contains("[dispatch][waste_weight]"));
    settings = validSettings();
    settings["ledger"]["backups"] = "two";
    CHECK_THAT(settingsError(settings), Catch::Contains("[ledger][backups]"));
    settings = validSettings();
    settings["listen"]["peers"] = "127.0.0.1:99999";
    CHECK_THAT(settingsError(settings), Catch::Contains("[listen][peers]"));
    settings = validSettings();
    settings.erase("store");
    CHECK_THAT(settingsError(settings), Catch::Contains("store"));
    CHECK_FALSE(daemon::Settings::parse("{"));
    settings = validSettings();
    settings["processor"] = { { "share", 0 } };
    CHECK_THAT(settingsError(settings), Catch::Contains("[processor][share]"));
    for (const char* const limit :
        { "target_drain_ms", "target_lease_ms", "resubmission_ms", "evacuation_ms", "shutdown_s", "job_status_s" }) {
        settings = validSettings();
        settings["platform_limits"][limit] = 0;
        CHECK_THAT(settingsError(settings), Catch::Contains(std::string("[platform_limits][") + limit));
        settings["platform_limits"][limit] = "1000";
        CHECK_THAT(settingsError(settings), Catch::Contains(std::string("[platform_limits][") + limit));
    }
}

// Guards against a deployment whose hosts do not start because its bounds are unusual: targets that grant longer leases
// than callers wait before they submit a job again, and bounds with fractions of a millisecond.
TEST_CASE("leases are requested for no longer than until callers submit a job again", "[settings]")
{
    json settings = validSettings();
    settings["platform_limits"] = { { "target_drain_ms", 2000.5 }, { "target_lease_ms", 2000 },
        { "resubmission_ms", 1300.75 }, { "job_status_s", 60.5 } };
    const auto parsed = daemon::Settings::parse(settings.dump());
    REQUIRE(parsed);
    const shards::PlatformLimits& limits = parsed->platformLimits;
    CHECK(limits.targetDrain == std::chrono::milliseconds(2000));
    CHECK(limits.targetLease == std::chrono::milliseconds(1300));
    CHECK(limits.resubmission == std::chrono::milliseconds(1300));
    CHECK(limits.jobStatus == std::chrono::seconds(61));
}

TEST_CASE("the processor time of a host is its share of a core times the speed of the core", "[settings]")
{
    const auto millicores = [](const json& processor) {
        json settings = validSettings();
        if (!processor.empty())
            settings["processor"] = processor;
        return daemon::Settings::parse(settings.dump())->processor.value();
    };
    CHECK(millicores({}) == 0);
    CHECK(millicores({ { "share", 0.09 } }) == 90);
    CHECK(millicores({ { "share", 0.25 }, { "cores", 4 } }) == 1000);
}

// Guards against accepting a request with a misspelt field, or a job with a task count outside 1 to 260.
TEST_CASE("job request errors name the path of the field", "[api]")
{
    CHECK(jobRequestError(validJob()).empty());
    json job = validJob();
    job["tasks"][0]["repaet"] = "never";
    CHECK_THAT(jobRequestError(job), Catch::Contains("tasks[0].repaet: unknown field"));
    job = validJob();
    job["tasks"][0]["needs"]["memory_mb"] = -1;
    CHECK_THAT(jobRequestError(job), Catch::Contains("tasks[0].needs.memory_mb"));
    job = validJob();
    job["deadline_ms"] = 18446744073709551615ULL;
    CHECK_THAT(jobRequestError(job), Catch::Contains("deadline_ms"));
    job["deadline_ms"] = "1000";
    CHECK_THAT(jobRequestError(job), Catch::Contains("deadline_ms: expected an integer"));
    job = validJob();
    job["tasks"] = std::vector<json>(261, validJob()["tasks"][0]);
    CHECK_THAT(jobRequestError(job), Catch::Contains("1 to 260"));
    job["tasks"].erase(260);
    CHECK(jobRequestError(job).empty());
    job["tasks"] = json::array();
    CHECK_THAT(jobRequestError(job), Catch::Contains("1 to 260"));
    CHECK_FALSE(daemon::parseJobRequest("{\"team\":"));
    CHECK_FALSE(daemon::parseJobRequest("[]"));
    CHECK_FALSE(daemon::parseIdCount("{\"count\":0}"));
}

// A payload is written out again, level by level.
TEST_CASE("a job request whose payload is deeply nested is rejected and does not exhaust the stack", "[api]")
{
    json job = validJob();
    job["tasks"][0]["payload"] = "PAYLOAD";
    std::string text = job.dump();
    constexpr std::size_t depth = 200000;
    text.replace(text.find("\"PAYLOAD\""), 9, std::string(depth, '[') + std::string(depth, ']'));
    const auto parsed = daemon::parseJobRequest(text);
    REQUIRE(!parsed);
    CHECK_THAT(parsed.lastReason().detail, Catch::Contains("nested"));
}

// Guards against a result that is lost, or makes the response invalid JSON, because a target returned bytes that are
// not UTF-8.
TEST_CASE("binary results are returned as base64", "[api]")
{
    JobAnswer answer;
    answer.isComplete = true;
    answer.results = { "text", "\xff\xfe" };
    const json body = json::parse(daemon::jobResponse(answer).body);
    CHECK(body["results"][0] == "text");
    CHECK(body["results"][1]["base64"] == "//4=");
}

// Guards against starting a task again after an attempt that may have reached its target.
TEST_CASE("only an unopened connection and the listed statuses count as not run", "[targets]")
{
    const auto slotUse = [](HttpEnding ending, int status) {
        HttpResult result;
        result.ending = ending;
        result.status = status;
        return daemon::TargetGateway::slotUseFor(result, { 503 });
    };
    CHECK(slotUse(HttpEnding::NeverOpened, 0) == SlotUse::Unreachable);
    CHECK(slotUse(HttpEnding::SentNoAnswer, 0) == SlotUse::Unknown);
    CHECK(slotUse(HttpEnding::Answered, 204) == SlotUse::Succeeded);
    CHECK(slotUse(HttpEnding::Answered, 503) == SlotUse::Rejected);
    CHECK(slotUse(HttpEnding::Answered, 500) == SlotUse::Failed);
    CHECK(slotUse(HttpEnding::Answered, 302) == SlotUse::Failed);
}

// Guards against two hosts that both win a view change, and against a winner that does not learn of it because the
// store's reply was lost.
TEST_CASE("a view change has one winner, even when the store's reply is lost", "[segments]")
{
    SteadyClock clock;
    EventLoop loop(clock);
    standins::StoreStandin standin(loop);
    REQUIRE(standin.open(0, 0));
    HttpClient http(loop, {});
    platform::StoreClient store(http, { "127.0.0.1:" + std::to_string(standin.port()), 300ms, {} });
    std::vector<ViewChangeResult> results;
    const auto record = [&](const ViewChangeResult& result) { results.push_back(result); };
    daemon::SegmentStore first(store, clock, "first/1", record);
    daemon::SegmentStore second(store, clock, "second/2", record);
    const SegmentKey segment { FailureDomainId("remera"), HostId("dead"), Incarnation(7), SegmentNumber(1) };
    const auto change = [&](daemon::SegmentStore& writer, std::uint32_t expected, const char* owner) {
        const std::size_t before = results.size();
        writer.change({ segment, Epoch(expected), { Epoch(expected + 1), HostId(owner), { HostId(owner) } } });
        REQUIRE(loop.runUntil([&] { return results.size() > before; }, 3s));
        return results.back();
    };
    standins::StoreStandin::Mode mode;
    mode.losesNextReply = true;
    standin.setMode(mode);
    CHECK(change(first, 0, "first").kind == ViewChangeResult::Kind::Won);
    const ViewChangeResult lost = change(second, 0, "second");
    CHECK(lost.kind == ViewChangeResult::Kind::Lost);
    CHECK(lost.current.owner == HostId("first"));
    CHECK(lost.current.epoch == Epoch(1));
    CHECK(change(second, 1, "second").kind == ViewChangeResult::Kind::Won);
    CHECK(change(first, 1, "first").kind == ViewChangeResult::Kind::Lost);
    mode = {};
    mode.isDown = true;
    standin.setMode(mode);
    CHECK(change(first, 2, "first").kind == ViewChangeResult::Kind::Unavailable);
}
