#include "rattanroad_core/time/VirtualClock.h"
#include "rattanroad_dispatch/engine/KeyHome.h"

#include <catch2/catch.hpp>

using namespace rattanroad;
using namespace std::chrono_literals;

namespace {

const HostId self("remera-1");
const KeyHome::Key key { TeamId("ingofero"), "k" };

SubmissionId numbered(std::uint64_t sequence)
{
    return { { FailureDomainId("remera"), HostId("a"), Incarnation(1), SegmentNumber(1) }, {},
        SequenceNumber(sequence) };
}

std::shared_ptr<const Inventory> inventoryOf(const std::vector<std::string>& hosts)
{
    Inventory::Parts parts;
    parts.failureDomains.push_back({ FailureDomainId("remera"), RegionId("kigali") });
    for (const std::string& host : hosts)
        parts.entryHosts.push_back({ HostId(host), FailureDomainId("remera") });
    return *Inventory::create(std::move(parts));
}

/** Returns a key whose home among @p hosts is @p home. */
KeyHome::Key keyOf(const std::string& home, const Inventory& inventory)
{
    for (int i = 0;; ++i) {
        KeyHome::Key candidate { TeamId("ingofero"), "key-" + std::to_string(i) };
        if (KeyHome::homeOf(candidate, inventory) == HostId(home))
            return candidate;
    }
}

}

// Guards against a resubmitted key that runs again, and against one team that reaches the request of another.
TEST_CASE("a key keeps its first submission id within its team")
{
    VirtualClock clock;
    KeyHome home({ self }, clock);
    home.registered(false);
    REQUIRE_FALSE(home.refusal(key));
    CHECK_FALSE(home.find(key));
    home.bind(key, numbered(1));
    clock.advance(9min);
    home.bind(key, numbered(2));
    CHECK(home.find(key) == numbered(1));
    CHECK_FALSE(home.find({ TeamId("calabash"), "k" }));
    home.expire();
    CHECK(home.size() == 1);
    clock.advance(2min);
    home.expire();
    CHECK(home.size() == 0);
}

// Guards against a restarted key home that binds a key again which its previous process had bound.
TEST_CASE("a key home refuses keys while an earlier binding cannot be excluded")
{
    VirtualClock clock;
    KeyHome home({ self }, clock);
    REQUIRE(home.refusal(key));
    CHECK(home.refusal(key)->code == FailureCode::NotDecidedHere);
    CHECK(home.refusal(key)->runState == RunState::NotRun);
    const bool isRegistered = GENERATE(true, false);
    if (isRegistered)
        home.registered(true);
    clock.advance(10min - 1ms);
    CHECK(home.refusal(key));
    clock.advance(1ms);
    CHECK_FALSE(home.refusal(key));
}

// Guards against a key home that stays closed after the store is back, and against a new home that binds a key which
// the previous home of that key had bound.
TEST_CASE("a late registration opens the key home, a change of the homes closes it for keys that it did not have")
{
    VirtualClock clock;
    KeyHome home({ self }, clock);
    const auto two = inventoryOf({ "remera-1", "remera-2" });
    const auto one = inventoryOf({ "remera-1" });
    const KeyHome::Key kept = keyOf("remera-1", *two);
    const KeyHome::Key moved = keyOf("remera-2", *two);
    home.configurationInstalled(*two);
    CHECK(home.refusal(kept));
    home.registered(false);
    CHECK_FALSE(home.refusal(kept));
    home.configurationInstalled(*one);
    CHECK_FALSE(home.refusal(kept));
    CHECK(home.refusal(moved));
    clock.advance(10min);
    CHECK_FALSE(home.refusal(moved));
}
