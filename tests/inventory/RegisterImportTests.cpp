#include "inventory/ExampleInventory.h"

#include <catch2/catch.hpp>

using namespace rattanroad;

namespace {

const std::string workersCsv = "id,failure_domain,rack,cores,memory_mb,accelerators\r\n"
                               "w-1,remera,\"a1\",32,131072,1\r\n"
                               "\r\n"
                               " w-2 , kimironko ,b1,16,65536,\r\n";
const std::string targetsCsv = "id,worker,address,path,kinds,slots,connections,state,not_run_statuses\n"
                               "t-1,w-1,192.0.2.1:9001,/run,quote;block,8,64,,429 503\n"
                               "t-2,w-2,192.0.2.2:9001,\"/run,\"\"quick\"\"\",quote,4,64,leaving,\n";
const std::string restJson = R"({
 "failure_domains": [ {"id":"remera","region":"kigali"}, {"id":"kimironko","region":"kigali"} ],
 "teams": [ {"id":"felt"} ],
 "rules": [ {"id":"r-1","kind":"block","allow":{"racks":["a1"]}} ]
})";

Result<std::shared_ptr<const Inventory>> import(const std::string& workers, const std::string& targets,
    const std::string& rest, const std::string& registerExtension = ".csv")
{
    RegisterImport import;
    import.addWorkers({ "workers" + registerExtension, workers });
    import.addTargets({ "targets" + registerExtension, targets });
    import.addDocument({ "rules.json", rest });
    return import.finish();
}

std::string replaceFirst(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

}

// Guards against fields that are lost or altered by the import of a CSV register.
TEST_CASE("workers and targets are imported from CSV with quoted fields")
{
    const auto inventory = import(workersCsv, targetsCsv, restJson);
    INFO((inventory ? "" : inventory.lastReason().detail));
    REQUIRE(inventory);
    const auto* target = (*inventory)->target(TargetId("t-2"));
    CHECK(target->path == "/run,\"quick\"");
    CHECK(target->state == TargetState::Leaving);
    CHECK(target->failureDomain == FailureDomainId("kimironko"));
    CHECK((*inventory)->target(TargetId("t-1"))->notRunStatuses == std::vector<int> { 429, 503 });
    CHECK((*inventory)->worker(WorkerId("w-1"))->resources.accelerators == 1);
    CHECK(Inventory::parse((*inventory)->json()));
}

// Guards against a JSON register and a CSV register with the same contents giving different inventories.
TEST_CASE("a JSON register gives the same inventory as a CSV register")
{
    const std::string workers
        = R"([{"id":"w-1","failure_domain":"remera","rack":"a1","cores":32,"memory_mb":131072,"accelerators":1},
  {"id":"w-2","failure_domain":"kimironko","rack":"b1","cores":16,"memory_mb":65536}])";
    const std::string targets = R"({"targets":[{"id":"t-1","worker":"w-1","address":"192.0.2.1:9001","path":"/run",
  "kinds":["quote","block"],"slots":8,"connections":64,"not_run_statuses":[429,503]},{"id":"t-2","worker":"w-2",
  "address":"192.0.2.2:9001","path":"/run,\"quick\"","kinds":["quote"],"slots":4,"connections":64,"state":"leaving"}]})";
    const auto fromJson = import(workers, targets, restJson, ".json");
    REQUIRE(fromJson);
    CHECK((*fromJson)->json() == (*import(workersCsv, targetsCsv, restJson))->json());

    const auto invalid = import(replaceFirst(workers, "16,", "-16,"), targets, restJson, ".json");
    CHECK(invalid.lastReason().detail == "workers.json:2:64: workers[1].cores: must be between 0 and 4294967295");
}

// Guards against errors that don't tell the operator their position in the files.
TEST_CASE("errors name file, line and column")
{
    struct Case {
        std::string workers, targets, rest, expectedError;
    };
    const Case cases[] = {
        { replaceFirst(workersCsv, "16,", "many,"), targetsCsv, restJson,
            "workers.csv:4:22: workers[1].cores: must be an integer" },
        { workersCsv, replaceFirst(targetsCsv, "w-2", "w-9"), restJson,
            "targets.csv:3:5: targets[1].worker: no worker \"w-9\"" },
        { workersCsv, replaceFirst(targetsCsv, "8,64", "8"), restJson,
            "targets.csv:2:1: the row has 8 fields, the header has 9" },
        { replaceFirst(workersCsv, "\"a1\"", "\"a1\"x"), targetsCsv, restJson,
            "workers.csv:2:16: text after the end of a quoted" },
        { replaceFirst(workersCsv, "\"a1\"", "\"a1"), targetsCsv, restJson,
            "workers.csv:2:12: the quoted field is not closed" },
        { replaceFirst(workersCsv, "\"a1\"", "a\"1"), targetsCsv, restJson,
            "workers.csv:2:13: a quote inside an unquoted field" },
        { replaceFirst(workersCsv, "rack", "shelf"), targetsCsv, restJson, "workers.csv:1:19: unknown column shelf" },
        { replaceFirst(workersCsv, "rack", "shelf"), targetsCsv, restJson, "workers.csv:1:1: column rack is missing" },
        { workersCsv, "", restJson, "targets.csv:1:1: the file has no header row" },
        { workersCsv, targetsCsv, replaceFirst(restJson, "a1", "c1"),
            "rules.json:4:57: rules[0].allow.racks: no worker is in" },
        { workersCsv, targetsCsv, replaceFirst(restJson, "\"teams\"", "\"workers\":[], \"teams\""),
            "workers: is also in workers.csv" },
        { workersCsv, targetsCsv, replaceFirst(restJson, "]\n}", "]\n"), "rules.json:5:1: is not valid JSON" },
        { workersCsv, targetsCsv, replaceFirst(restJson, "{\"id\":\"felt\"", "{\"id\":\"a\",\"id\":\"felt\""),
            "rules.json:3:28: teams[0].id: occurs twice" },
    };
    for (const auto& each : cases) {
        const auto result = import(each.workers, each.targets, each.rest);
        REQUIRE_FALSE(result);
        INFO(result.lastReason().detail << "\nexpected: " << each.expectedError);
        CHECK(result.lastReason().detail.find(each.expectedError) != std::string::npos);
    }
}

// Guards against crashes on damaged register files.
TEST_CASE("mutated register files give an error or a valid inventory")
{
    const std::string fragments[]
        = { "\"", ",", "\n", "\r", "\"\"", "-1", "\xff", "{", "]", "9999999999999999999999", ";" };
    for (std::uint64_t seed = 0; seed < 2000; ++seed) {
        PcgRandomSource random(seed);
        std::string texts[] = { workersCsv, targetsCsv, restJson };
        auto& text = texts[random.below(3)];
        for (int change = 0; change < 2; ++change) {
            const auto position = random.below(text.size());
            text.replace(position, random.below(3), fragments[random.below(std::size(fragments))]);
        }
        INFO("seed " << seed);
        const auto result = import(texts[0], texts[1], texts[2]);
        if (result)
            CHECK(Inventory::parse((*result)->json()));
        else
            CHECK(result.lastReason().detail.find(':') != std::string::npos);
    }
}

// Guards against changes that are missing from the difference shown to operators.
TEST_CASE("the difference names entries and keys")
{
    const auto before = *Inventory::parse(exampleDocument());
    auto parts = before->parts();
    parts.targets[0].slots = SlotCount(4);
    parts.teams.pop_back();
    parts.entryHosts.push_back({ HostId("remera-2"), FailureDomainId("remera") });
    const auto after = *Inventory::create(parts);
    const auto difference = InventoryDifference::between(before.get(), after.get());
    CHECK(difference.text()
        == "~ targets t-1 slots: 8 -> 4\n"
           "- teams quotes\n"
           "+ entry_hosts remera-2\n");
    CHECK(InventoryDifference::between(after.get(), after.get()).isEmpty());
    CHECK(InventoryDifference::between(nullptr, after.get()).entries().size() == 11);
}
