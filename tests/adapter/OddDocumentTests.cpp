#include "platform/CallerHttpApi.h"
#include "platform/JsonFields.h"
#include "platform/QueueConfiguration.h"
#include "platform/TargetHttpClient.h"
#include "rattanroad_core/random/PcgRandomSource.h"
#include "rattanroad_network/http/SocketAddress.h"
#include "support/MutatedText.h"

#include <catch2/catch.hpp>

using namespace rattanroad;
using namespace rattanroad::adapter;
using nlohmann::json;

namespace {

/** Returns arrays or objects that are nested @p depth levels deep. */
std::string nested(std::size_t depth, bool areObjects = false)
{
    std::string text;
    for (std::size_t level = 0; level < depth; ++level)
        text += areObjects ? R"({"a":)" : "[";
    text += "1";
    return text + std::string(depth, areObjects ? '}' : ']');
}

std::string targetEntry(const std::string& capacity, const std::string& otherFields = "")
{
    return R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready","capacity":)" + capacity + otherFields
        + "}";
}

const std::string capacity = R"({"cpu":16000,"memMb":32768})";

}

TEST_CASE("a deeply nested target entry is ignored and does not exhaust the stack")
{
    for (const std::size_t depth : { 100, 20000, 200000 }) {
        for (const bool areObjects : { false, true }) {
            const std::string value = nested(depth, areObjects);
            CHECK(!parseTargetEntry("i", targetEntry(value)));
            CHECK(!parseTargetEntry("i", targetEntry(capacity, R"(,"labels":)" + value)));
            CHECK(!parseTargetEntry("i", targetEntry(capacity, R"(,"other":)" + value)));
            CHECK(!parseTargetEntry("i", value));
        }
    }
    CHECK(parseTargetEntry("i", targetEntry(capacity, R"(,"other":)" + nested(5))));
    CHECK(!parseTargetEntry("i", targetEntry(capacity, R"(,"other":")" + std::string(1000000, 'x') + "\"")));
}

TEST_CASE("a target entry with a number that is too large is ignored instead of being read as a small one")
{
    CHECK(parseTargetEntry("i", targetEntry(R"({"cpu":4294967295,"memMb":1})")));
    for (const char* const number : { "4294967296", "4294967297", "18446744073709551616", "1e999", "1.5", "-1" }) {
        const std::string text(number);
        CHECK(!parseTargetEntry("i", targetEntry(R"({"memMb":1,"cpu":)" + text + "}")));
        CHECK(!parseTargetEntry("i", targetEntry(R"({"cpu":1,"memMb":)" + text + "}")));
        CHECK(!parseTargetEntry("i", targetEntry(R"({"cpu":1,"memMb":1,"gpus":)" + text + "}")));
    }
    CHECK(!parseTargetEntry("i", targetEntry(capacity, R"(,"born":17000000000000000000000000)")));
    CHECK(!parseTargetEntry("i", targetEntry(capacity, R"(,"born":"1700000000000")")));
}

TEST_CASE("a target entry with a port that no target can have is ignored")
{
    for (const char* const port : { "0", "65536", "98487", "-1", "", "80x" }) {
        const std::string entry = R"({"service":"s","address":"10.0.0.1:)" + std::string(port)
            + R"(","zone":"z","state":"ready","capacity":{"cpu":1,"memMb":1}})";
        CHECK(!parseTargetEntry("i", entry));
    }
}

TEST_CASE("a target entry with labels of another type is ignored")
{
    for (const char* const labels : { "7", "\"a\"", "{}", "[1]", "[[\"a\"]]", "null" })
        CHECK(!parseTargetEntry("i", targetEntry(capacity, R"(,"labels":)" + std::string(labels))));
}

TEST_CASE("a deeply nested configuration is ignored and does not exhaust the stack")
{
    for (const std::size_t depth : { 100, 200000 }) {
        CHECK(!parseQueueConfiguration(R"({"version":7,"routes":[],"limits":)" + nested(depth) + "}"));
        CHECK(!parseQueueConfiguration(R"({"version":7,"routes":)" + nested(depth) + "}"));
    }
    CHECK(!parseQueueConfiguration("7"));
}

// Each byte of a valid entry is replaced, removed or repeated at random.
TEST_CASE("a target entry that was changed at random is ignored or read as it is written")
{
    const std::string valid = targetEntry(
        R"({"cpu":16000,"memMb":32768,"gpus":1})", R"(,"labels":["a","r1-3"],"born":1700000000000,"other":[[1]])");
    REQUIRE(parseTargetEntry("i", valid));
    PcgRandomSource random(22);
    int accepted = 0;
    for (int round = 0; round < 20000; ++round) {
        const std::string entry = mutatedText(valid, random);
        const auto report = parseTargetEntry("i", entry);
        if (!report)
            continue;
        ++accepted;
        const json written = json::parse(entry);
        REQUIRE(written["capacity"]["cpu"] == report->capacity.millicores);
        REQUIRE(written["capacity"]["memMb"] == report->capacity.memoryMb);
        REQUIRE(written.value("born", 0ULL) == report->bornMs);
        REQUIRE(written["address"] == report->address);
        REQUIRE(parseSocketAddress(report->address)->sin_port != 0);
    }
    REQUIRE(accepted > 0);
}
