#include "inventory/ExampleInventory.h"

#include <catch2/catch.hpp>

using namespace rattanroad;

namespace {

std::string documentWith(const std::string& original, const std::string& replacement)
{
    std::string text = exampleDocument();
    const auto position = text.find(original);
    REQUIRE(position != std::string::npos);
    return text.replace(position, original.size(), replacement);
}

std::string validationErrors(const std::string& document)
{
    const auto inventory = Inventory::parse(document);
    if (inventory)
        return "";
    CHECK(inventory.lastReason().code == FailureCode::ConfigurationInvalid);
    return inventory.lastReason().detail;
}

struct InvalidDocument {
    const char* original;
    const char* replacement;
    const char* expectedError;
};

}

// Guards against an invalid document being accepted, and against errors that don't name the path of the value.
TEST_CASE("each error is reported with its path")
{
    const auto invalid = GENERATE(values<InvalidDocument>({
        { R"("cores":32)", R"("cores":"32")", "workers[0].cores: must be an integer" },
        { R"("cores":32)", R"("cores":-1)", "workers[0].cores: must be between 0 and 4294967295" },
        { R"("cores":32)", R"("cores":70000)", "workers[0].cores: must be between 0 and 65536" },
        { R"("cores":32,)", "", "workers[0].cores: is missing" },
        { R"("rack":"a1")", R"("rack":"a1","shelf":1)", "workers[0].shelf: unknown key" },
        { R"("rack":"a1")", R"("rack":"a1","rack":"a2")", "key \"rack\": occurs twice in one object" },
        { R"("rack":"a1")", R"("rack":"")", "workers[0].rack: must not be empty" },
        { R"({"id":"w-2")", R"({"id":"w-1")", "workers[1].id: duplicate of workers[0], \"w-1\"" },
        { R"({"id":"remera")", R"({"id":"Remera")", "failure_domains[0].id: must consist of" },
        { R"("worker":"w-1")", R"("worker":"w-17")", "targets[0].worker: no worker \"w-17\"" },
        { R"("id":"t-2")", R"("id":"t-1")", "targets[1].id: duplicate of targets[0], \"t-1\"" },
        { R"("192.0.2.1:9001")", R"("runner.example:9001")", "targets[0].address: must be an IP number" },
        { R"("192.0.2.1:9001")", R"("192.0.2.1:0")", "targets[0].address: must be an IP number" },
        { R"("path":"/run")", R"("path":"run")", "targets[0].path: must begin with '/'" },
        { R"(["quote","block"])", R"([])", "targets[0].kinds: must name at least one kind" },
        { R"(["quote","block"])", R"(["quote",7,"block"])", "targets[0].kinds[1]: must be a string" },
        { R"("slots":8)", R"("slots":0)", "targets[0].slots: must be between 1 and 100000" },
        { R"("slots":8)", R"("slots":8.5)", "targets[0].slots: must be an integer" },
        { R"("connections":64)", R"("connections":99999999999999999999)",
            "targets[0].connections: must be an integer" },
        { R"([429,503])", R"([429,200])", "targets[0].not_run_statuses[1]: must be between 300 and 599" },
        { R"("state":"leaving")", R"("state":"gone")", "targets[1].state: must be \"active\" or \"leaving\"" },
        { R"("weight":2.5)", R"("weight":0)", "teams[0].weight: must be positive" },
        { R"("weight":2.5)", R"("weight":true)", "teams[0].weight: must be a number" },
        { R"("id":"quotes")", R"("id":"felt")", "teams[1].id: duplicate of teams[0], \"felt\"" },
        { R"({"failure_domains":["remera"]})", R"({"failure_domains":["huye"]})",
            "rules[0].allow.failure_domains: no failure domain \"huye\"" },
        { R"({"failure_domains":["remera"]})", R"({"racks":["z9"]})", "rules[0].allow.racks: no worker is in rack" },
        { R"({"failure_domains":["remera"]})", R"({})", "rules[0].allow: names no place" },
        { R"({"failure_domains":["remera"]})", R"({"failure_domains":["kimironko"]})",
            "rules[0]: leaves no target for kind \"block\"" },
        { R"({"targets":["t-2"]})", R"({"targets":["t-1","t-2"]})", "rules[1]: leaves no target for kind \"quote\"" },
        { R"({"targets":["t-2"]})", R"({"targets":["t-3"]})", "rules[1].deny.targets: no target \"t-3\"" },
        { R"({"cores":8})", R"({"cores":64})", "rules[1]: leaves no target for kind \"quote\"" },
        { R"({"cores":8})", R"({"gpus":8})", "rules[1].require.gpus: unknown key" },
        { R"("kind":"block")", R"("kind":"blokc")", "rules[0].kind: no target runs kind \"blokc\"" },
        { R"("never_repeat":true)", R"("never_repeat":"yes")", "rules[0].never_repeat: must be true or false" },
        { R"("id":"remera-1","failure_domain":"remera")", R"("id":"remera-1","failure_domain":"huye")",
            "entry_hosts[0].failure_domain: no failure domain \"huye\"" },
        { R"("teams":[)", R"("teams":[7,)", "teams[0]: must be an object" },
        { R"("teams":[)", R"("team":[)", "teams: is missing" },
        { R"({"id":"quotes"}])", R"({"id":"quotes"})", "document: is not valid JSON" },
    }));
    const auto errors = validationErrors(documentWith(invalid.original, invalid.replacement));
    INFO(errors);
    CHECK(errors.find(invalid.expectedError) != std::string::npos);
}

// Guards against validation that stops at the first error.
TEST_CASE("all errors are reported at once")
{
    auto document = documentWith(R"("worker":"w-1")", R"("worker":"w-17")");
    document.replace(document.find(R"("weight":2.5)"), 12, R"("weight":0)");
    document.replace(document.find(R"("rack":"b1")"), 11, R"("rock":"b1")");
    const auto errors = validationErrors(document);
    CHECK(std::count(errors.begin(), errors.end(), '\n') + 1 >= 4);
}

// Guards against the size limit of a store value being noticed only when the change is written.
TEST_CASE("a document above the size limit of the store is rejected")
{
    const auto document = std::string(exampleDocument()) + std::string(1'000'000, ' ');
    CHECK(validationErrors(document) == "document: has more than 1000000 bytes");
}

// Guards against crashes and missing error messages on damaged input. A mutated document that is accepted must be
// unchanged after a JSON round trip.
TEST_CASE("mutated documents give an error or a valid inventory")
{
    const std::string original = exampleDocument();
    const std::string fragments[]
        = { "{", "}", "[", "]", ",", ":", "\"", "-1", "null", "1e999", "\\u0000", "\xff", "0", "true" };
    size_t accepted = 0;
    for (std::uint64_t seed = 0; seed < 4000; ++seed) {
        PcgRandomSource random(seed);
        auto text = original;
        for (auto changes = 1 + random.below(3); changes > 0; --changes) {
            const auto position = random.below(text.size());
            const auto length = random.below(4);
            text.replace(position, length, random.below(2) ? fragments[random.below(std::size(fragments))] : "");
        }
        INFO("seed " << seed);
        const auto inventory = Inventory::parse(text);
        if (!inventory) {
            CHECK_FALSE(inventory.lastReason().detail.empty());
            continue;
        }
        ++accepted;
        const auto again = Inventory::parse((*inventory)->json());
        REQUIRE(again);
        CHECK((*again)->json() == (*inventory)->json());
    }
    CHECK(accepted > 0);
}
