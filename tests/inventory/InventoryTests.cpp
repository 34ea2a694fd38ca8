#include "inventory/ExampleInventory.h"

#include <catch2/catch.hpp>

using namespace rattanroad;

namespace {

std::shared_ptr<const Inventory> example()
{
    const auto inventory = Inventory::parse(exampleDocument());
    INFO((inventory ? "" : inventory.lastReason().detail));
    REQUIRE(inventory);
    return *inventory;
}

Resources cores(std::uint32_t count)
{
    Resources resources;
    resources.cores = count;
    return resources;
}

}

// Guards against values that are lost when an inventory is serialized and parsed.
TEST_CASE("an inventory is unchanged after a JSON round trip")
{
    const auto inventory = example();
    const auto again = Inventory::parse(inventory->json());
    REQUIRE(again);
    CHECK((*again)->json() == inventory->json());
    CHECK((*again)->target(TargetId("t-1"))->notRunStatuses == std::vector<int> { 429, 503 });
    CHECK((*again)->target(TargetId("t-2"))->state == TargetState::Leaving);
    CHECK((*again)->team(TeamId("felt"))->weight == 2.5);
    CHECK((*again)->parts().entryHosts.size() == 1);
}

// Guards against targets with another failure domain or rack than their worker.
TEST_CASE("a target takes failure domain and rack from its worker")
{
    const auto inventory = example();
    const auto* target = inventory->target(TargetId("t-1"));
    CHECK(target->failureDomain == FailureDomainId("remera"));
    CHECK(target->rack == RackId("a1"));
    CHECK(inventory->target(TargetId("t-9")) == nullptr);
    CHECK(inventory->totalSlots() == SlotCount(8));
}

// Guards against work on a target where a rule, the kinds or the resources forbid it.
TEST_CASE("rules, kinds and resources decide where work may run")
{
    const auto inventory = example();
    const auto& first = *inventory->target(TargetId("t-1"));
    const auto& second = *inventory->target(TargetId("t-2"));
    CHECK(inventory->isAllowed(first, WorkKind("quote"), cores(32)));
    CHECK_FALSE(inventory->isAllowed(first, WorkKind("quote"), cores(33)));
    CHECK_FALSE(inventory->isAllowed(second, WorkKind("quote"), {}));
    CHECK_FALSE(inventory->isAllowed(second, WorkKind("block"), {}));
    CHECK(inventory->isNeverRepeated(WorkKind("block")));
    CHECK_FALSE(inventory->isNeverRepeated(WorkKind("quote")));
}

// Guards against rejections that don't tell the operator which rule or resource is the cause.
TEST_CASE("the reason why no target can run a task names the rule or resource")
{
    const auto inventory = example();
    CHECK_FALSE(inventory->reasonNoTargetCanRun(WorkKind("quote"), cores(32)));
    const auto resource = inventory->reasonNoTargetCanRun(WorkKind("quote"), cores(33));
    REQUIRE(resource);
    CHECK(resource->code == FailureCode::NoEligibleTarget);
    CHECK(resource->detail == "the task needs 33 cores, the largest permitted worker has 32");
    CHECK(inventory->reasonNoTargetCanRun(WorkKind("paint"), {})->detail == "no active target runs kind \"paint\"");

    auto parts = inventory->parts();
    parts.targets[1].state = TargetState::Active;
    parts.targets[0].state = TargetState::Leaving;
    const auto leaving = Inventory::create(parts);
    REQUIRE(leaving);
    const auto rule = (*leaving)->reasonNoTargetCanRun(WorkKind("quote"), {});
    REQUIRE(rule);
    CHECK(rule->detail == "rule \"r-2\" leaves no active target for kind \"quote\"");
}
