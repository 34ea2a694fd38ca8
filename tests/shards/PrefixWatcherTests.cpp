#include "fakes/EventQueue.h"
#include "rattanroad_shards/store/PrefixWatcher.h"

#include <catch2/catch.hpp>

#include <set>

using namespace rattanroad;
using namespace rattanroad::shards;
using namespace std::chrono_literals;

namespace {

StoredItem itemAt(const std::string& key, std::uint64_t revision)
{
    StoredItem item;
    item.key = key;
    item.revision = KeyRevision(revision);
    return item;
}

/** A watcher whose store replies only when the test says so. */
struct WatcherFixture {
    VirtualClock clock;
    EventQueue queue { clock };
    KeyValueStore store;
    std::vector<std::function<void(const ReadReply&)>> pages;
    std::vector<std::function<void(const WatchReply&)>> watches;
    std::set<std::string> keys;
    std::unique_ptr<PrefixWatcher> watcher;

    WatcherFixture()
    {
        store.readPage = [this](const auto&, const auto&, auto callback) { pages.push_back(callback); };
        store.watch = [this](const auto&, auto, auto, auto callback) { watches.push_back(callback); };
        PrefixWatcher::Hooks hooks;
        hooks.written = [this](const StoredItem& item) { keys.insert(item.key); };
        hooks.removed = [this](const std::string& key) { keys.erase(key); };
        const Timers timers { [this](Duration delay, auto action) { queue.after(delay, std::move(action)); } };
        watcher = std::make_unique<PrefixWatcher>(PrefixWatcher::Settings { "t/" }, store, timers, clock, hooks);
        watcher->start();
        replyToRead({ itemAt("t/a", 5) }, 100);
    }
    void replyToRead(const std::vector<StoredItem>& items, std::uint64_t revision)
    {
        const auto callback = pages.back();
        callback({ StoreStatus::Done, items, false, KeyRevision(revision) });
    }
};

}

TEST_CASE("a watch that was stopped and started again ignores the replies to requests of before")
{
    WatcherFixture fixture;
    const auto earlierWatch = fixture.watches.back();
    fixture.watcher->stop();
    CHECK(fixture.keys.empty());
    fixture.watcher->start();
    earlierWatch({ StoreStatus::Done, { KeyChange { itemAt("t/b", 101), false } }, KeyRevision(101) });
    CHECK(fixture.keys.empty());
    fixture.replyToRead({ itemAt("t/c", 102) }, 103);
    CHECK(fixture.keys == std::set<std::string> { "t/c" });
}

// A removed target that came back would never be removed again.
TEST_CASE("a read that is overtaken by a removal does not bring the key back")
{
    WatcherFixture fixture;
    bool isDone = false;
    fixture.watcher->readNow("reader", [&isDone] { isDone = true; });
    fixture.watches.back()({ StoreStatus::Done, { KeyChange { itemAt("t/a", 101), true } }, KeyRevision(101) });
    REQUIRE(fixture.keys.empty());
    fixture.replyToRead({ itemAt("t/a", 5) }, 100);
    REQUIRE(fixture.keys.empty());
    REQUIRE(!isDone);
    fixture.queue.runUntil(fixture.clock.now() + 2s);
    fixture.replyToRead({ itemAt("t/b", 102) }, 102);
    REQUIRE(isDone);
    REQUIRE(fixture.keys == std::set<std::string> { "t/b" });
}

TEST_CASE("a read that was replaced by a later one of the same reader does not count as done")
{
    WatcherFixture fixture;
    int earlier = 0;
    int later = 0;
    int other = 0;
    fixture.watcher->readNow("reader", [&earlier] { ++earlier; });
    const auto earlierReply = fixture.pages.back();
    fixture.watcher->readNow("other reader", [&other] { ++other; });
    const auto otherReply = fixture.pages.back();
    fixture.watcher->readNow("reader", [&later] { ++later; });
    for (const auto& reply : { earlierReply, otherReply, fixture.pages.back() })
        reply({ StoreStatus::Done, {}, false, KeyRevision(102) });
    REQUIRE(earlier == 0);
    REQUIRE(other == 1);
    REQUIRE(later == 1);
}
