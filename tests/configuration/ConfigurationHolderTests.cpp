#include "configuration/ConfigurationFleet.h"

#include <catch2/catch.hpp>

using namespace rattanroad;

// Guards against a configuration that is replaced by an older one.
TEST_CASE("the holder installs only higher revisions")
{
    size_t installations = 0;
    ConfigurationHolder holder([&](const ConfigurationValue&) { ++installations; });
    CHECK(holder.revision() == Revision(0));
    CHECK(holder.current() == nullptr);
    CHECK(holder.offer(exampleConfigurationValue(3)));
    CHECK_FALSE(holder.offer(exampleConfigurationValue(3, "other")));
    CHECK_FALSE(holder.offer(exampleConfigurationValue(2)));
    CHECK(holder.revision() == Revision(3));
    CHECK(holder.current()->changeId == ChangeId("c"));
    CHECK(installations == 1);
}

// Guards against fields that are lost when a value is stored, and against malformed stored values being accepted.
TEST_CASE("a configuration value is unchanged after a JSON round trip")
{
    const auto value = exampleConfigurationValue(7, "c-7");
    const auto parsed = ConfigurationValue::parse(value.json());
    REQUIRE(parsed);
    CHECK(parsed->json() == value.json());
    for (const char* text : { "", "null", "{}", "{\"revision\":0}", "{\"revision\":-1}", "[1]", "{\"revision\":1}" })
        CHECK(ConfigurationValue::parse(text).lastReason().code == FailureCode::ConfigurationInvalid);
}
