#include "rattanroad_core/rattanroad_core.h"
#include "rattanroad_network/loop/EventLoop.h"
#include "rattanroad_network/store/Base64.h"
#include "rattanroad_network/store/StoreClient.h"
#include "standins/StoreStandin.h"

#include <catch2/catch.hpp>

using namespace rattanroad;
using namespace rattanroad::platform;
using namespace std::chrono_literals;

namespace {

/** The store stand-in and a client for it on one event loop. */
struct StoreFixture {
    SteadyClock clock;
    EventLoop loop { clock };
    standins::StoreStandin standin { loop };
    HttpClient http { loop, {} };
    std::unique_ptr<StoreClient> store;

    StoreFixture()
    {
        REQUIRE(standin.open(0, 0));
        store = std::make_unique<StoreClient>(
            http, StoreClient::Settings { "127.0.0.1:" + std::to_string(standin.port()), 300ms, {} });
    }

    StoreWriteResult write(
        const std::string& key, const std::string& value, std::uint64_t expected, StoreLease lease = StoreLease())
    {
        std::optional<StoreWriteResult> result;
        const StoreCondition condition { key, StoreCondition::Revision::Modified, StoreRevision(expected) };
        store->write({ { condition }, { { key, value, lease } }, key },
            [&](const StoreWriteResult& received) { result = received; });
        REQUIRE(loop.runUntil([&] { return result.has_value(); }, 2s));
        return *result;
    }

    StoreReadResult read(const std::string& prefix)
    {
        std::optional<StoreReadResult> result;
        store->getPrefix(prefix, [&](const StoreReadResult& received) { result = received; });
        REQUIRE(loop.runUntil([&] { return result.has_value(); }, 2s));
        return *result;
    }
};

}

// Guards against corrupted keys and values, for every byte value and every length of padding.
TEST_CASE("base64 encoding preserves all bytes", "[store]")
{
    std::string bytes;
    for (int i = 0; i < 300; ++i) {
        CHECK(decodeBase64(encodeBase64(bytes)) == bytes);
        bytes.push_back(static_cast<char>(i));
    }
    CHECK_FALSE(decodeBase64("abc"));
    CHECK_FALSE(decodeBase64("ab!="));
}

// Guards against two hosts that both win a view change because the store accepted both conditional writes.
TEST_CASE_METHOD(StoreFixture,
    "exactly one of two concurrent conditional writes succeeds and the other gets the current entry", "[store]")
{
    int succeeded = 0;
    std::vector<StoreWriteResult> rejected;
    for (const char* value : { "one", "two" }) {
        const StoreCondition absent { "/k", StoreCondition::Revision::Created, StoreRevision(0) };
        store->write({ { absent }, { { "/k", value, StoreLease() } }, "/k" }, [&](const StoreWriteResult& result) {
            if (result.outcome == StoreOutcome::Done)
                ++succeeded;
            else
                rejected.push_back(result);
        });
    }
    REQUIRE(loop.runUntil([&] { return succeeded + rejected.size() == 2; }, 2s));
    REQUIRE(succeeded == 1);
    REQUIRE(rejected.size() == 1);
    CHECK(rejected[0].outcome == StoreOutcome::ConditionFailed);
    REQUIRE(rejected[0].current);
    CHECK(rejected[0].current->value == standin.value("/k"));
    CHECK(write("/k", "three", rejected[0].current->modRevision.value()).outcome == StoreOutcome::Done);
}

// Guards against treating a write as not applied because its reply was lost.
TEST_CASE_METHOD(StoreFixture,
    "a write with a lost reply may have been applied, one with a refused connection was not sent", "[store]")
{
    standins::StoreStandin::Mode mode;
    mode.losesNextReply = true;
    standin.setMode(mode);
    CHECK(write("/k", "applied", 0).outcome == StoreOutcome::MaybeApplied);
    CHECK(read("/k").entries.at(0).value == "applied");

    mode.losesNextReply = false;
    mode.delay = 400ms;
    standin.setMode(mode);
    CHECK(write("/k", "late", 0).outcome == StoreOutcome::MaybeApplied);

    mode.delay = 0ms;
    mode.isDown = true;
    standin.setMode(mode);
    loop.runUntil([] { return false; }, 1100ms); // Kept-alive connections exceed their idle limit.
    CHECK(write("/k", "never", 0).outcome == StoreOutcome::NotSent);
    mode.isDown = false;
    standin.setMode(mode);
    CHECK(read("/k").outcome == StoreOutcome::Done);
}

// Guards against missing configuration changes made between the read and the start of the watch.
TEST_CASE_METHOD(
    StoreFixture, "a watch reports every change from its start revision and the end of the stream", "[store]")
{
    REQUIRE(write("/a/1", "one", 0).outcome == StoreOutcome::Done);
    const StoreReadResult before = read("/a/");
    REQUIRE(write("/a/1", "two", before.entries.at(0).modRevision.value()).outcome == StoreOutcome::Done);
    std::vector<std::string> changes;
    bool hasEnded = false;
    store->watch(
        "/a/", StoreRevision(before.revision.value() + 1),
        [&](const StoreEvent& event) { changes.push_back(event.entry.key + "=" + event.entry.value); },
        [&] { hasEnded = true; });
    REQUIRE(loop.runUntil([&] { return changes.size() == 1; }, 2s));
    REQUIRE(write("/a/2", "three", 0).outcome == StoreOutcome::Done);
    REQUIRE(write("/b", "other", 0).outcome == StoreOutcome::Done);
    REQUIRE(loop.runUntil([&] { return changes.size() == 2; }, 2s));
    CHECK(changes == std::vector<std::string> { "/a/1=two", "/a/2=three" });
    standins::StoreStandin::Mode down;
    down.isDown = true;
    standin.setMode(down);
    REQUIRE(loop.runUntil([&] { return hasEnded; }, 2s));
}

// Guards against a stand-in whose entries outlive their lease or whose stale-read mode returns current data, which
// would make other tests pass wrongly.
TEST_CASE_METHOD(StoreFixture, "entries expire with their lease and stale reads return old data", "[store]")
{
    std::optional<StoreLeaseResult> lease;
    store->grantLease(1s, [&](const StoreLeaseResult& result) { lease = result; });
    REQUIRE(loop.runUntil([&] { return lease.has_value(); }, 2s));
    REQUIRE(lease->outcome == StoreOutcome::Done);
    REQUIRE(write("/k", "leased", 0, lease->lease).outcome == StoreOutcome::Done);
    standins::StoreStandin::Mode stale;
    stale.hasStaleReads = true;
    standin.setMode(stale);
    REQUIRE(loop.runUntil([&] { return standin.value("/k").empty(); }, 2s));
    CHECK(read("/k").entries.size() == 1);
    standin.setMode({});
    CHECK(read("/k").entries.empty());
}
