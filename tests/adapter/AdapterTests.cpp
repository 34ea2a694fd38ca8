#include "platform/QueueConfiguration.h"
#include "platform/TargetHttpClient.h"
#include "platform/TaskIdFormat.h"

#include <catch2/catch.hpp>

using namespace rattanroad;
using namespace rattanroad::adapter;

TEST_CASE("task names are formatted and parsed")
{
    const shards::TaskId task { shards::JobId("5c0e7a21d94b36f8"), 1, 17 };
    REQUIRE(formatTaskId(task) == "5c0e7a21d94b36f8.0.1.17");
    REQUIRE(parseTaskId("5c0e7a21d94b36f8.0.1.17") == task);
    for (const char* const malformed :
        { "", "5c0e", "5c0e.0.1", "5c0e.0.1.", "5c0e.0.1.x", "5c0e.0.1.2.3", "5c0e.4.1.2" })
        REQUIRE(!parseTaskId(malformed));
}

TEST_CASE("target entries are parsed")
{
    const std::string entry = R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"nyamirambo","version":"v1",
        "slots":8,"state":"draining","coldLeftMs":0,"capacity":{"cpu":16000,"memMb":32768,"gpus":1},
        "labels":["a","r1-3"],"clockMs":482113,"seq":4,"born":1700000000000,"new":true})";
    const auto report = parseTargetEntry("i-7f3a91c2", entry);
    REQUIRE(report);
    REQUIRE(report->id == TargetId("i-7f3a91c2"));
    REQUIRE(report->isDraining);
    REQUIRE(report->capacity.millicores == 16000);
    REQUIRE(report->capacity.accelerators == 1);
    REQUIRE(report->labels == std::vector<std::string> { "a", "r1-3" });
    REQUIRE(report->bornMs == 1700000000000);
}

TEST_CASE("malformed target entries are rejected")
{
    const std::string validEntry = R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready",
        "capacity":{"cpu":1,"memMb":1}})";
    REQUIRE(parseTargetEntry("i", validEntry));
    for (const char* const malformed : { "", "\xff\xfe", "[]", "17", "null",
             R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"gone","capacity":{"cpu":1,"memMb":1}})",
             R"({"service":"s","address":7,"zone":"z","state":"ready","capacity":{"cpu":1,"memMb":1}})",
             R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready","capacity":[]})",
             R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready","capacity":{"cpu":-1,"memMb":1}})",
             R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready"})" })
        REQUIRE(!parseTargetEntry("i", malformed));
}

TEST_CASE("a path is routed to the queue with the longest matching prefix")
{
    const auto table = parseQueueConfiguration(R"({"version":7,"routes":[
        {"name":"short","host":"a.example","prefix":"/x/","service":"s","priority":2,"maxAttempts":3,"stretch":1.6,
         "targetDurationMs":60},
        {"name":"long","host":"a.example","prefix":"/x/y/","service":"s"},
        {"name":"broken","host":"a.example","prefix":5,"service":"s"}],
        "limits":{"maxBodyBytes":1000}})");
    REQUIRE(table);
    REQUIRE(table->version == 7);
    REQUIRE(table->entries.size() == 2);
    REQUIRE(table->maximumBodyBytes == 1000);
    REQUIRE(table->find("a.example", "/x/1")->rule.queue() == "short");
    REQUIRE(table->find("a.example", "/x/y/1")->rule.queue() == "long");
    REQUIRE(!table->find("b.example", "/x/1"));
    REQUIRE(!table->find("a.example", "/z/1"));
    REQUIRE(!parseQueueConfiguration("{}"));
    REQUIRE(!parseQueueConfiguration("["));
}
