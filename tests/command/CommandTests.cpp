#include "inventory/ExampleInventory.h"
#include "rattanroad/CommandLine.h"
#include "rattanroad_configuration/rattanroad_configuration.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <fstream>
#include <sstream>

using namespace rattanroad;
using namespace rattanroad::command;
using Outcome = HttpExchange::Outcome;

namespace {

const std::string submissionId = [] {
    SubmissionId id;
    id.segment = { FailureDomainId("remera"), HostId("remera-1"), Incarnation(1), SegmentNumber(1) };
    id.sequence = SequenceNumber(1);
    return id.text();
}();

HttpExchange response(int status, const std::string& body) { return { Outcome::ResponseReceived, status, body, "" }; }

HttpExchange problemResponse(int status, const std::string& type, const std::string& runState)
{
    return response(status, nlohmann::json { { "type", type }, { "run_state", runState }, { "detail", "why" } }.dump());
}

std::string configuration(std::uint64_t revision)
{
    return ConfigurationValue { Revision(revision), ChangeId("c"), "amina", "", *Inventory::parse(exampleDocument()) }
        .json();
}

/** Runs the command against two servers simulated by a function, on a virtual clock, and records the requests. */
class CommandFixture {
public:
    explicit CommandFixture(HttpTransport servers)
        : m_context { [this, servers = std::move(servers)](const HttpRequest& request) {
                         requests.push_back(request);
                         return servers(request);
                     },
            [this](std::chrono::milliseconds pause) { m_clock.advance(pause); }, m_clock, m_random, input, output,
            errors }
    {
    }

    int operator()(std::vector<const char*> arguments)
    {
        arguments.insert(arguments.begin(), { "rattanroad", "--server", "http://a", "--server", "http://b" });
        return runCommandLine(static_cast<int>(arguments.size()), arguments.data(), m_context);
    }

    std::vector<HttpRequest> requests;
    std::istringstream input;
    std::ostringstream output;
    std::ostringstream errors;

private:
    VirtualClock m_clock;
    PcgRandomSource m_random { 1 };
    CommandContext m_context;
};

const char* job = R"({"team":"felt","deadline_ms":1000,"tasks":[{"kind":"quote","payload":"x"}]})";

std::string headerValue(const HttpRequest& request, const std::string& name)
{
    for (const auto& [key, value] : request.headers) {
        if (key == name)
            return value;
    }
    return "";
}

/** An example inventory document in a file that is removed at the end of the test. */
class TemporaryDocument {
public:
    TemporaryDocument() { std::ofstream(name) << exampleDocument(); }
    ~TemporaryDocument() { std::remove(name.c_str()); }
    TemporaryDocument(const TemporaryDocument&) = delete;
    TemporaryDocument& operator=(const TemporaryDocument&) = delete;

    const std::string name { "command_test_document.json" };
};

}

// Guards against a job running twice because it is resent with another id after a lost connection.
TEST_CASE("submit resends the same id to the next server after a lost connection")
{
    CommandFixture run([&](const HttpRequest& request) -> HttpExchange {
        if (request.path == "/v1/submission-ids")
            return response(200, nlohmann::json { { "ids", { submissionId } } }.dump());
        if (request.server == "http://a")
            return { Outcome::ConnectionLost, 0, "", "reset" };
        return response(200, R"({"submission_id":")" + submissionId + R"(","state":"complete","results":["ok"]})");
    });
    run.input.str(job);
    CHECK(run({ "submit" }) == 0);
    REQUIRE(run.requests.size() == 3);
    CHECK(run.requests[1].body == run.requests[2].body);
    CHECK(nlohmann::json::parse(run.requests[1].body).at("submission_id") == submissionId);
    CHECK(run.output.str().find("task 0: ok") != std::string::npos);
}

// Guards against reporting "not run" or "unreachable" for a job that the first server may have run.
TEST_CASE("a submission without a definitive response exits with status \"outcome unknown\"")
{
    CommandFixture run([&](const HttpRequest& request) -> HttpExchange {
        if (request.server == "http://a")
            return { Outcome::ConnectionLost, 0, "", "reset" };
        return GENERATE_COPY(
            HttpExchange { Outcome::NotSent, 0, "", "refused" }, problemResponse(503, "draining", "not_run"));
    });
    run.input.str(job);
    CHECK(run({ "submit", "--key", "k-1" }) == 5);
    CHECK(headerValue(run.requests.front(), "Idempotency-Key") == "k-1");
    CHECK(run.requests.size() > 2);
}

// Guards against wrong exit statuses, on which scripts depend.
TEST_CASE("the exit status follows from the failure")
{
    struct Case {
        HttpExchange exchange;
        int status;
    };
    const Case cases[] = {
        { problemResponse(504, "deadline-exceeded", "ran_and_failed"), 1 },
        { problemResponse(422, "urn:rattanroad:no-eligible-target", "not_run"), 1 },
        { problemResponse(400, "malformed-request", "not_run"), 2 },
        { { Outcome::NotSent, 0, "", "refused" }, 4 },
        { problemResponse(504, "https://example.org/outcome-unknown", "outcome_unknown"), 5 },
        { problemResponse(503, "not-decided-here", "outcome_unknown"), 5 },
        { response(500, "<html>"), 5 },
        { response(502, "<html>"), 5 },
    };
    for (const auto& testCase : cases) {
        CommandFixture run([&](const HttpRequest&) { return testCase.exchange; });
        run.input.str(job);
        INFO(testCase.exchange.status << " " << testCase.exchange.body);
        CHECK(run({ "--json", "submit", "--key", "k-1" }) == testCase.status);
        CHECK(nlohmann::json::parse(run.output.str()).contains("error"));
    }
    CommandFixture run([](const HttpRequest&) { return response(200, "{}"); });
    for (const auto& arguments : std::vector<std::vector<const char*>> { {}, { "nonsense" }, { "ids", "--count", "0" },
             { "drain" }, { "drain", "--host" }, { "query", "not-an-id" }, { "submit", "--key", "a\nb" },
             { "check", "no-such-file.json" } })
        CHECK(run(arguments) == 2);
    CHECK(run.requests.empty());
    CHECK(run({ "--help" }) == 0);
}

// Guards against overwriting another operator's change, and against a resent change being applied twice.
TEST_CASE("apply sends base revision, change id and author and resends the same change")
{
    const TemporaryDocument file;
    CommandFixture run([&](const HttpRequest& request) -> HttpExchange {
        if (request.server == "http://a")
            return { Outcome::ConnectionLost, 0, "", "reset" };
        return response(200, R"({"revision":18})");
    });
    CHECK(run({ "apply", file.name.c_str(), "--base", "17", "--change-id", "c-9", "--author", "amina" }) == 0);
    REQUIRE(run.requests.size() == 2);
    CHECK(headerValue(run.requests[1], "If-Match") == "\"17\"");
    CHECK(headerValue(run.requests[1], "Change-Id") == "c-9");
    CHECK(headerValue(run.requests[1], "Author") == "amina");
    CHECK(run.output.str() == "revision 18 was accepted\n");

    CommandFixture conflict(
        [](const HttpRequest&) { return problemResponse(412, "configuration-conflict", "not_run"); });
    CHECK(conflict({ "apply", file.name.c_str(), "--base", "17" }) == 3);
    CommandFixture lost([](const HttpRequest&) { return problemResponse(504, "outcome-unknown", "outcome_unknown"); });
    CHECK(lost({ "apply", file.name.c_str(), "--base", "17", "--change-id", "c-9" }) == 5);
    CHECK(lost.errors.str().find("--base 17 --change-id c-9") != std::string::npos);
}

// Guards against reporting "in force" while a server still has the old configuration.
TEST_CASE("apply waits until all given servers have the revision")
{
    const TemporaryDocument file;
    int polls = 0;
    CommandFixture run([&](const HttpRequest& request) {
        if (request.method == "PUT")
            return response(200, R"({"revision":18})");
        return response(200, configuration(request.server == "http://b" && ++polls < 4 ? 17 : 18));
    });
    CHECK(run({ "apply", file.name.c_str(), "--base", "17", "--wait", "5" }) == 0);
    CHECK(polls == 4);
    CHECK(run.output.str() == "revision 18 is in force\n");

    CommandFixture timedOut([&](const HttpRequest& request) {
        return response(200, request.method == "PUT" ? R"({"revision":18})" : configuration(17));
    });
    CHECK(timedOut({ "apply", file.name.c_str(), "--base", "17", "--wait", "2" }) == 1);
}

// Guards against a drain that fails after a conflict with another change, accepts an unknown target, or drains a host
// when several servers are given.
TEST_CASE("drain sets the target state to leaving on top of the newest revision")
{
    std::uint64_t revision = 4;
    CommandFixture run([&](const HttpRequest& request) {
        if (request.method == "GET")
            return response(200, configuration(revision));
        if (headerValue(request, "If-Match") != "\"5\"") {
            revision = 5;
            return problemResponse(412, "configuration-conflict", "not_run");
        }
        return response(200, R"({"revision":6})");
    });
    CHECK(run({ "drain", "t-1" }) == 0);
    const auto changed = Inventory::parse(run.requests.back().body);
    REQUIRE(changed);
    CHECK((*changed)->target(TargetId("t-1"))->state == TargetState::Leaving);
    CHECK(run({ "drain", "t-9" }) == 2);

    CHECK(run({ "drain", "--host" }) == 2);
    CHECK(run.requests.back().path != "/v1/drain");
}

// Guards against a diff that ignores the configuration in force, and against output that scripts cannot parse.
TEST_CASE("diff, status, history and ids print text and JSON")
{
    const TemporaryDocument file;
    CommandFixture run([&](const HttpRequest& request) -> HttpExchange {
        if (request.path == "/v1/configuration")
            return response(200, configuration(3));
        if (request.path == "/v1/configuration/history")
            return response(200, R"({"entries":[{"revision":3,"author":"amina"},{"revision":2}]})");
        if (request.server == "http://b")
            return { Outcome::NotSent, 0, "", "refused" };
        return response(200, request.path == "/v1/status" ? R"({"host":"remera-1"})" : R"({"ids":["x"]})");
    });
    CHECK(run({ "diff", file.name.c_str() }) == 0);
    CHECK(run.output.str() == "revision in force: 3\nno difference\n");
    run.output.str("");
    CHECK(run({ "--json", "history", "--limit", "1" }) == 0);
    CHECK(nlohmann::json::parse(run.output.str()).at("entries").size() == 1);
    run.output.str("");
    CHECK(run({ "--json", "status" }) == 0);
    const auto status = nlohmann::json::parse(run.output.str());
    CHECK(status["servers"][0]["status"]["host"] == "remera-1");
    CHECK(status["servers"][1]["reachable"] == false);
    CHECK(run({ "ids" }) == 0);
    CHECK(run({ "cancel", submissionId.c_str() }) == 0);
    CHECK(run.requests.back().method == "DELETE");
}

TEST_CASE("explain prints the log lines of one job sorted by time")
{
    CommandFixture run([](const HttpRequest&) { return response(500, ""); });
    run.input.str(
        R"(10.2 host-b {"time":"2026-12-04T12:00:02.000Z","host":"b","event":"job_done","job":"j1","detail":"after 9 ms"}
{"time":"2026-12-04T12:00:01.000Z","host":"a","event":"job_taken","job":"j1","detail":"shard x"}
{"time":"2026-12-04T12:00:01.500Z","host":"a","event":"job_taken","job":"j2","detail":""}
not a log line {
{"job":7})");
    CHECK(run({ "explain", "j1", "-" }) == 0);
    CHECK(run.output.str()
        == "2026-12-04T12:00:01.000Z a job_taken: shard x\n2026-12-04T12:00:02.000Z b job_done: after 9 ms\n");
    run.input.clear();
    run.input.str("{}");
    CHECK(run({ "explain", "j1", "-" }) != 0);
}
