#include "platform/CallerHttpApi.h"
#include "platform/JsonFields.h"
#include "platform/QueueConfiguration.h"
#include "platform/TargetHttpClient.h"
#include "rattanroad_core/random/PcgRandomSource.h"
#include "rattanroad_network/http/SocketAddress.h"

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
}

TEST_CASE("a deeply nested configuration is ignored and does not exhaust the stack")
{
    for (const std::size_t depth : { 100, 200000 }) {
        CHECK(!parseQueueConfiguration(R"({"version":7,"routes":[],"limits":)" + nested(depth) + "}"));
        CHECK(!parseQueueConfiguration(R"({"version":7,"routes":)" + nested(depth) + "}"));
    }
}
