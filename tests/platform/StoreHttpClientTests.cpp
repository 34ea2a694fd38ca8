#include "platform/AnsweringServer.h"
#include "platform/StoreHttpClient.h"
#include "rattanroad_core/random/PcgRandomSource.h"
#include "support/MutatedText.h"

using namespace rattanroad;
using namespace rattanroad::shards;
using namespace std::chrono_literals;

namespace {

/** The client of a store that answers each request with the same body. */
class AnsweringStore {
public:
    /** @param timeout  limit of the client for the time until an answer and for a pause in one */
    explicit AnsweringStore(std::chrono::milliseconds timeout = 5000ms)
        : m_client(m_server.client(), settings(m_server.address(), timeout))
    {
    }
    AnsweringServer& server() { return m_server; }
    void setBody(std::string body) { m_server.setBody(std::move(body)); }
    ReadReply read()
    {
        return m_server.await<ReadReply>(
            [this](std::function<void(const ReadReply&)> callback) { m_store.read("key", std::move(callback)); });
    }
    ReadReply readPage()
    {
        return m_server.await<ReadReply>([this](std::function<void(const ReadReply&)> callback) {
            m_store.readPage("prefix", "", std::move(callback));
        });
    }
    WatchReply watch()
    {
        return m_server.await<WatchReply>([this](std::function<void(const WatchReply&)> callback) {
            m_store.watch("prefix", KeyRevision(1), 100ms, std::move(callback));
        });
    }
    TransactionReply transact(const KeyTransaction& transaction = {})
    {
        return m_server.await<TransactionReply>([&](std::function<void(const TransactionReply&)> callback) {
            m_store.transact(transaction, std::move(callback));
        });
    }
    LeaseReply grantLease()
    {
        return m_server.await<LeaseReply>([this](std::function<void(const LeaseReply&)> callback) {
            m_store.grantLease(3000ms, std::move(callback));
        });
    }

private:
    static adapter::StoreHttpClient::Settings settings(const std::string& address, std::chrono::milliseconds timeout)
    {
        adapter::StoreHttpClient::Settings settings;
        settings.address = address;
        settings.timeout = timeout;
        settings.watchTimeoutMargin = timeout;
        return settings;
    }

    AnsweringServer m_server;
    adapter::StoreHttpClient m_client;
    KeyValueStore m_store { m_client.keyValueStore() };
};

}

// An exception in the callback of a reply would end the process.
TEST_CASE("replies of the store that were changed at random are read or ignored")
{
    const std::string item = R"({"key":"servers/i-1","value":"e30=","revision":57,"created":57,"lease":0})";
    const std::string page = R"({"items":[)" + item + "," + item + R"(],"hasMore":true,"atRev":60})";
    const std::string events
        = R"({"events":[)" + item + R"(,{"key":"servers/i-2","revision":58,"removed":true}],"atRev":60})";
    const std::string lease = R"({"lease":7,"ttlMs":3000})";
    PcgRandomSource random(33);
    AnsweringStore store;
    store.setBody(page);
    REQUIRE(store.readPage().items.size() == 2);
    store.setBody(events);
    REQUIRE(store.watch().changes.size() == 2);
    for (int round = 0; round < 1000; ++round) {
        store.setBody(mutatedText(item, random));
        REQUIRE(store.read().items.size() == 1);
        store.setBody(mutatedText(page, random));
        REQUIRE(store.readPage().items.size() <= 3);
        REQUIRE(store.transact().current.size() <= 3);
        store.setBody(mutatedText(events, random));
        REQUIRE(store.watch().changes.size() <= 3);
        store.setBody(mutatedText(lease, random));
        REQUIRE(store.grantLease().status == StoreStatus::Done);
    }
}

// Guards against a host that never gets a large configuration or the records of a shard over a slow link.
TEST_CASE("an answer of the store is read as long as its parts arrive")
{
    const std::string item = R"({"key":"op/config","value":"e30=","revision":57,"created":57,"lease":0})";
    AnsweringStore store(100ms);
    store.server().setPieces(10, 10, 30ms);
    store.setBody(R"({"items":[)" + item + R"(],"hasMore":false,"atRev":60})");
    CHECK(store.readPage().items.size() == 1);
    store.setBody(item);
    CHECK(store.read().items.size() == 1);
    store.setBody(R"({"events":[)" + item + R"(],"atRev":60})");
    CHECK(store.watch().changes.size() == 1);
    SECTION("but not when no part arrives any more")
    {
        store.server().setPieces(10, 4, 30ms);
        CHECK(store.readPage().status == StoreStatus::Unknown);
        CHECK(store.watch().status == StoreStatus::Unknown);
    }
}

// Guards against a batch of records that is sent again and again over a slow link, as its answer is never awaited.
TEST_CASE("a large transaction has the time to be sent over a slow link")
{
    AnsweringStore store(100ms);
    store.setBody(R"({"revision":58})");
    store.server().setDelay(400ms);
    CHECK(store.transact().status == StoreStatus::Unknown);
    KeyTransaction large;
    large.writes.push_back({ "job", std::string(30000, 'x'), StoreLeaseId(0) });
    CHECK(store.transact(large).status == StoreStatus::Done);
}

// Guards against a lost store that is noticed later because large answers have more time.
TEST_CASE("a store that answers nothing is noticed within the limit of each call")
{
    AnsweringStore store(100ms);
    store.server().setDelay(5s);
    const auto startedAt = std::chrono::steady_clock::now();
    CHECK(store.read().status == StoreStatus::Unknown);
    CHECK(store.readPage().status == StoreStatus::Unknown);
    CHECK(store.transact().status == StoreStatus::Unknown);
    CHECK(store.grantLease().status == StoreStatus::Unknown);
    CHECK(store.watch().status == StoreStatus::Unknown);
    CHECK(std::chrono::steady_clock::now() - startedAt < 2s);
}
