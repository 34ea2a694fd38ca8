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
    TransactionReply transact()
    {
        return m_server.await<TransactionReply>([this](std::function<void(const TransactionReply&)> callback) {
            m_store.transact({}, std::move(callback));
        });
    }
    LeaseReply grantLease()
    {
        return m_server.await<LeaseReply>([this](std::function<void(const LeaseReply&)> callback) {
            m_store.grantLease(3000ms, std::move(callback));
        });
    }

private:
    AnsweringServer m_server;
    adapter::StoreHttpClient m_client { m_server.client(), { m_server.address(), 5000ms, 5000ms, {} } };
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
