#include "rattanroad_network/store/StoreClient.h"

#include "rattanroad_core/json/BoundedJson.h"
#include "rattanroad_network/store/StoreMessages.h"

#include <unordered_map>

using nlohmann::json;

namespace rattanroad::platform {

namespace {
    /** A watch waits for changes; the connection is renewed after this time. */
    constexpr std::chrono::minutes watchLimit { 30 };

    /** The answer to one call: the parsed body when the call was carried out. */
    struct Reply {
        StoreOutcome outcome { StoreOutcome::NotSent };
        json body;
        std::string detail;
    };

    Reply replyFrom(HttpResult&& result)
    {
        if (result.ending == HttpEnding::NeverOpened)
            return { StoreOutcome::NotSent, {}, std::move(result.detail) };
        if (result.ending == HttpEnding::SentNoAnswer)
            return { StoreOutcome::MaybeApplied, {}, std::move(result.detail) };
        // The gateway answers 400 to malformed calls before it carries them out; 5xx may follow a write.
        if (result.status >= 400 && result.status < 500)
            return { StoreOutcome::NotSent, {}, "store answered " + std::to_string(result.status) };
        json body = parseBoundedJson(result.body);
        if (result.status != 200 || !body.is_object())
            return { StoreOutcome::MaybeApplied, {}, "store answered " + std::to_string(result.status) };
        return { StoreOutcome::Done, std::move(body), "" };
    }

    StoreWriteResult writeResultFrom(const Reply& reply)
    {
        StoreWriteResult result { reply.outcome, std::nullopt, StoreRevision(), reply.detail };
        if (reply.outcome != StoreOutcome::Done)
            return result;
        result.revision = storemessages::revision(reply.body);
        // The gateway leaves out false.
        const auto succeeded = reply.body.find("succeeded");
        if (succeeded != reply.body.end() && *succeeded == true)
            return result;
        result.outcome = StoreOutcome::ConditionFailed;
        const auto responses = reply.body.find("responses");
        if (responses == reply.body.end() || !responses->is_array() || responses->empty())
            return result;
        const auto range = responses->front().find("response_range");
        if (range == responses->front().end())
            return result;
        auto entries = storemessages::entries(*range);
        if (!entries.empty())
            result.current = std::move(entries.front());
        return result;
    }
}

class StoreClient::Impl {
public:
    Impl(HttpClient& http, Settings settings)
        : m_http(http)
        , m_settings(std::move(settings))
    {
    }

    ~Impl()
    {
        *m_isAlive = false;
        for (const auto& entry : m_watches)
            m_http.cancel(entry.second.exchange);
    }

    void call(const char* path, const json& body, std::function<void(const Reply&)> callback)
    {
        ++m_statistics.calls;
        HttpClientRequest request { "POST", path, { { "content-type", "application/json" } }, body.dump(),
            m_settings.longestCall, m_settings.timeout, m_settings.timeout };
        m_http.send(m_settings.address, std::move(request),
            [this, isAlive = m_isAlive, callback = std::move(callback)](HttpResult&& result) {
                if (!*isAlive)
                    return;
                if (m_settings.callEnded)
                    m_settings.callEnded(result.elapsed);
                const Reply reply = replyFrom(std::move(result));
                if (reply.outcome != StoreOutcome::Done)
                    ++m_statistics.failures;
                callback(reply);
            });
    }

    void read(const std::string& key, bool isPrefix, std::function<void(const StoreReadResult&)> callback)
    {
        call("/v3/kv/range", storemessages::rangeRequest(key, isPrefix),
            [callback = std::move(callback)](const Reply& reply) {
                callback({ reply.outcome, storemessages::entries(reply.body), storemessages::revision(reply.body),
                    reply.detail });
            });
    }

    WatchId watch(const std::string& prefix, StoreRevision from, std::function<void(const StoreEvent&)> changed,
        std::function<void()> ended)
    {
        ++m_statistics.calls;
        const WatchId id(++m_lastWatch);
        HttpClientRequest request { "POST", "/v3/watch", { { "content-type", "application/json" } },
            storemessages::watchRequest(prefix, from).dump(), watchLimit };
        Watch& watch = m_watches[id.value()];
        watch.changed = std::move(changed);
        watch.ended = std::move(ended);
        watch.exchange = m_http.send(
            m_settings.address, std::move(request),
            [this, isAlive = m_isAlive, id](HttpResult&&) {
                if (*isAlive)
                    endWatch(id.value());
            },
            [this, isAlive = m_isAlive, id](std::string_view piece) {
                if (*isAlive)
                    takePiece(id.value(), piece);
            });
        return id;
    }

    void cancelWatch(WatchId id)
    {
        const auto found = m_watches.find(id.value());
        if (found == m_watches.end())
            return;
        const ExchangeId exchange = found->second.exchange;
        m_watches.erase(found);
        m_http.cancel(exchange);
    }

    const Statistics& statistics() const { return m_statistics; }

private:
    struct Watch {
        std::function<void(const StoreEvent&)> changed;
        std::function<void()> ended;
        ExchangeId exchange;
        /** Begin of a message whose end has not arrived. */
        std::string incomplete;
    };

    void endWatch(std::uint64_t id)
    {
        const auto found = m_watches.find(id);
        if (found == m_watches.end())
            return;
        const std::function<void()> ended = std::move(found->second.ended);
        m_watches.erase(found);
        ended();
    }

    /** The gateway sends one JSON message a line. */
    void takePiece(std::uint64_t id, std::string_view piece)
    {
        const auto found = m_watches.find(id);
        if (found == m_watches.end())
            return;
        found->second.incomplete += piece;
        std::size_t end = 0;
        while (m_watches.count(id) && (end = m_watches[id].incomplete.find('\n')) != std::string::npos) {
            const std::string line = m_watches[id].incomplete.substr(0, end);
            m_watches[id].incomplete.erase(0, end + 1);
            takeLine(id, parseBoundedJson(line));
        }
    }

    void takeLine(std::uint64_t id, const json& message)
    {
        const auto result = message.is_object() ? message.find("result") : message.end();
        if (!message.is_object() || result == message.end() || !result->is_object())
            return;
        if (result->value("canceled", false)) {
            m_http.cancel(m_watches[id].exchange);
            return;
        }
        const auto events = result->find("events");
        if (events == result->end() || !events->is_array())
            return;
        for (const json& event : *events) {
            const auto watch = m_watches.find(id);
            if (watch == m_watches.end() || !event.contains("kv"))
                return;
            // A copy, as the callback may cancel the watch.
            const auto changed = watch->second.changed;
            changed({ event.value("type", "PUT") == "DELETE", storemessages::entry(event["kv"]) });
        }
    }

    HttpClient& m_http;
    Settings m_settings;
    Statistics m_statistics;
    std::uint64_t m_lastWatch { 0 };
    std::unordered_map<std::uint64_t, Watch> m_watches;
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
};

StoreClient::StoreClient(HttpClient& http, Settings settings)
    : m_impl(std::make_unique<Impl>(http, std::move(settings)))
{
}

StoreClient::~StoreClient() = default;

void StoreClient::get(const std::string& key, std::function<void(const StoreReadResult&)> callback)
{
    m_impl->read(key, false, std::move(callback));
}

void StoreClient::getPrefix(const std::string& prefix, std::function<void(const StoreReadResult&)> callback)
{
    m_impl->read(prefix, true, std::move(callback));
}

void StoreClient::write(const StoreTransaction& transaction, std::function<void(const StoreWriteResult&)> callback)
{
    m_impl->call("/v3/kv/txn", storemessages::transactionRequest(transaction),
        [callback = std::move(callback)](const Reply& reply) { callback(writeResultFrom(reply)); });
}

void StoreClient::grantLease(std::chrono::seconds ttl, std::function<void(const StoreLeaseResult&)> callback)
{
    m_impl->call("/v3/lease/grant", { { "TTL", std::to_string(ttl.count()) } },
        [callback = std::move(callback)](const Reply& reply) {
            callback({ reply.outcome, StoreLease(storemessages::number(reply.body, "ID")), reply.detail });
        });
}

WatchId StoreClient::watch(const std::string& prefix, StoreRevision from,
    std::function<void(const StoreEvent&)> changed, std::function<void()> ended)
{
    return m_impl->watch(prefix, from, std::move(changed), std::move(ended));
}

void StoreClient::cancelWatch(WatchId watch) { m_impl->cancelWatch(watch); }

StoreClient::Statistics StoreClient::statistics() const { return m_impl->statistics(); }

}
