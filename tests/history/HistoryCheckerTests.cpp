#include "history/checker/HistoryChecker.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace rattanroad;

namespace {

constexpr std::int64_t second = 1'000'000;

// One correct request of two tasks, a configuration change and a graceful shutdown.
const char* const goodHistory = R"({"kind":"process_started","time_us":0,"host":"h1#1"}
{"kind":"revision_seen","time_us":10,"host":"h1#1","revision":1}
{"kind":"invoked","time_us":100,"host":"h1#1","request":"q1","submission":"s1","task_count":2,"repeat":"if-not-started"}
{"kind":"started","time_us":200,"submission":"s1","task":0,"target":"t1"}
{"kind":"started","time_us":210,"submission":"s1","task":1,"target":"t2"}
{"kind":"ended","time_us":300,"submission":"s1","task":0,"target":"t1","success":true,"result":"a"}
{"kind":"ended","time_us":310,"submission":"s1","task":1,"target":"t2","success":true,"result":"b"}
{"kind":"answered","time_us":400,"request":"q1","submission":"s1","complete":true,"results":["a","b"]}
{"kind":"revision_accepted","time_us":500,"revision":2}
{"kind":"revision_seen","time_us":1000500,"host":"h1#1","revision":2}
{"kind":"target_leaving","time_us":2000000,"target":"t1"}
{"kind":"shutdown_requested","time_us":9000000,"host":"h1#1"}
{"kind":"process_ended","time_us":9500000,"host":"h1#1","success":true}
)";

History good()
{
    std::istringstream stream(goodHistory);
    std::string fault;
    const std::optional<History> history = History::read(stream, fault);
    REQUIRE(history);
    return *history;
}

// Adds forged events to the good history; the checker sees them in the order of time.
std::vector<Violation> checkWith(const std::string& lines)
{
    std::istringstream stream(goodHistory + lines);
    std::string fault;
    const std::optional<History> history = History::read(stream, fault);
    INFO(fault);
    REQUIRE(history);
    return HistoryChecker::check(*history);
}

void requireOnly(const std::vector<Violation>& violations, Guarantee guarantee, const std::string& reasonPart)
{
    REQUIRE(violations.size() == 1);
    CHECK(violations[0].guarantee == guarantee);
    CHECK_THAT(violations[0].reason, Catch::Contains(reasonPart));
}

const std::string invoke = R"({"kind":"invoked","time_us":600,"host":"h1#1","request":"q2","submission":"s2",)";

}

// Guards against a checker that rejects correct runs.
TEST_CASE("a correct history has no violations") { CHECK(HistoryChecker::check(good()).empty()); }

// Guards against events that lose fields on their way through a file.
TEST_CASE("a history survives being written and read")
{
    std::ostringstream first;
    good().write(first);
    std::istringstream input(first.str());
    std::string fault;
    std::ostringstream secondTime;
    History::read(input, fault)->write(secondTime);
    CHECK(first.str() == secondTime.str());
    std::istringstream bad("{\"kind\":\"sleeping\",\"time_us\":1}\n");
    CHECK_FALSE(History::read(bad, fault));
    CHECK_THAT(fault, Catch::Contains("line 1"));
}

// Each of the following guards against a checker that misses a broken guarantee.
TEST_CASE("guarantee 1: a second start is rejected")
{
    requireOnly(checkWith(R"({"kind":"started","time_us":350,"submission":"s1","task":0,"target":"t3"})"),
        Guarantee::IdempotentSubmission, "task 0 of s1 started twice");
}

TEST_CASE("guarantee 1: a repeat after a reported failure needs the caller's consent")
{
    const std::string runs = R"(
{"kind":"started","time_us":700,"submission":"s2","task":0,"target":"t2"}
{"kind":"ended","time_us":710,"submission":"s2","task":0,"target":"t2"}
{"kind":"started","time_us":720,"submission":"s2","task":0,"target":"t2"}
{"kind":"answered","time_us":800,"request":"q2","run_state":"outcome_unknown"})";
    CHECK(checkWith(invoke + R"("task_count":1,"repeat":"after-failure"})" + runs).empty());
    requireOnly(checkWith(invoke + R"("task_count":1,"repeat":"if-not-started"})" + runs),
        Guarantee::IdempotentSubmission, "started twice");
}

TEST_CASE("guarantee 2: a partial, an invented and a failed answer with results are rejected")
{
    const std::string request = invoke + R"("task_count":2}
{"kind":"started","time_us":700,"submission":"s2","task":0,"target":"t2"}
{"kind":"ended","time_us":710,"submission":"s2","task":0,"target":"t2","success":true,"result":"c"}
{"kind":"answered","time_us":800,"request":"q2",)";
    requireOnly(checkWith(request + R"("complete":true,"results":["c"]})"), Guarantee::CompleteOrFailed, "1 results");
    requireOnly(checkWith(request + R"("complete":true,"results":["c","x"]})"), Guarantee::CompleteOrFailed,
        "no target had returned");
    requireOnly(checkWith(request + R"("run_state":"outcome_unknown","results":["c"]})"), Guarantee::CompleteOrFailed,
        "failed but its answer has results");
}

TEST_CASE("guarantee 3: a second answer, a foreign answer and foreign results are rejected")
{
    requireOnly(
        checkWith(
            R"({"kind":"answered","time_us":450,"request":"q1","submission":"s1","complete":true,"results":["a","b"]})"),
        Guarantee::OwnAnswer, "answered twice");
    requireOnly(checkWith(invoke + R"("task_count":2}
{"kind":"answered","time_us":800,"request":"q2","submission":"s9","run_state":"outcome_unknown"})"),
        Guarantee::OwnAnswer, "the answer of s9");
    const std::vector<Violation> swapped = checkWith(invoke + R"("task_count":1}
{"kind":"answered","time_us":800,"request":"q2","submission":"s2","complete":true,"results":["a"]})");
    requireOnly(swapped, Guarantee::OwnAnswer, "got the result of task 0 of s1");
    requireOnly(checkWith(R"({"kind":"answered","time_us":800,"request":"q7","run_state":"outcome_unknown"})"),
        Guarantee::OwnAnswer, "nobody sent");
}

TEST_CASE("guarantee 4: a start before or after \"not run\" is rejected unless another request caused it")
{
    const std::string refused = invoke + R"("task_count":1}
{"kind":"answered","time_us":800,"request":"q2","submission":"s2","run_state":"not_run"})";
    const std::string late = R"(
{"kind":"started","time_us":950,"submission":"s2","task":0,"target":"t2"})";
    CHECK(checkWith(refused).empty());
    requireOnly(checkWith(refused + late), Guarantee::NotRunMeansNotRun, "started afterwards");
    requireOnly(checkWith(refused + R"(
{"kind":"started","time_us":700,"submission":"s2","task":0,"target":"t2"})"),
        Guarantee::NotRunMeansNotRun, "had started");
    const std::string again = R"(
{"kind":"invoked","time_us":900,"host":"h1#1","request":"q3","submission":"s2","task_count":1}
{"kind":"answered","time_us":970,"request":"q3","submission":"s2","run_state":"outcome_unknown"})";
    CHECK(checkWith(refused + late + again).empty());
}

TEST_CASE("guarantee 5: a second start of an unrepeatable task is rejected even after a failure")
{
    requireOnly(checkWith(invoke + R"("task_count":1,"repeat":"never"}
{"kind":"started","time_us":700,"submission":"s2","task":0,"target":"t2"}
{"kind":"ended","time_us":710,"submission":"s2","task":0,"target":"t2"}
{"kind":"started","time_us":720,"submission":"s2","task":0,"target":"t2"}
{"kind":"answered","time_us":800,"request":"q2","run_state":"ran_and_failed"})"),
        Guarantee::UnrepeatableAtMostOnce, "unrepeatable");
}

TEST_CASE("guarantee 6: a start on a leaving target is rejected after 3 s, not before")
{
    const std::string request = invoke + R"("task_count":1}
{"kind":"answered","time_us":8000000,"request":"q2","run_state":"outcome_unknown"}
{"kind":"started","submission":"s2","task":0,"target":"t1","time_us":)";
    CHECK(checkWith(request + std::to_string(5 * second) + "}").empty());
    requireOnly(checkWith(request + std::to_string(5 * second + 1000) + "}"), Guarantee::LeavingTargetGetsNoWork,
        "3001 ms after it was told to leave");
}

TEST_CASE("guarantee 7: a request cut off by a graceful shutdown is rejected, one cut off by a kill is not")
{
    const std::string request = R"(
{"kind":"process_started","time_us":0,"host":"h2#1"}
{"kind":"revision_seen","time_us":600,"host":"h2#1","revision":2}
{"kind":"invoked","time_us":1000,"host":"h2#1","request":"q2","submission":"s2","task_count":1}
{"kind":"shutdown_requested","time_us":2000,"host":"h2#1"}
{"kind":"connection_lost","time_us":3000,"request":"q2"}
{"kind":"process_ended","time_us":3000,"host":"h2#1","success":)";
    requireOnly(checkWith(request + "true}"), Guarantee::GracefulShutdown, "request q2 was in progress");
    CHECK(checkWith(request + "false}").empty());
}

TEST_CASE("guarantee 8: a missing revision and a step back are rejected")
{
    const std::string other = R"({"kind":"process_started","time_us":0,"host":"h2#1"}
{"kind":"revision_seen","time_us":20,"host":"h2#1","revision":1}
)";
    requireOnly(checkWith(other), Guarantee::ConfigurationInForce, "h2#1 did not have revision 2");
    CHECK(checkWith(other + R"({"kind":"host_unreachable","time_us":5000000,"host":"h2#1"})").empty());
    requireOnly(checkWith(R"({"kind":"revision_seen","time_us":3000000,"host":"h1#1","revision":1})"),
        Guarantee::ConfigurationInForce, "went back from revision 2 to 1");
}
