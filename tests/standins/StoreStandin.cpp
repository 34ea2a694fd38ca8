#include "standins/StoreStandin.h"

#include "rattanroad_network/store/Base64.h"

#include <algorithm>

using nlohmann::json;

namespace rattanroad::standins {

using platform::StoreEntry;
using platform::StoreRevision;
namespace storemessages = platform::storemessages;

namespace {
    HttpResponse jsonResponse(int status, const json& body) { return { status, "application/json", {}, body.dump() }; }
}

StoreStandin::StoreStandin(EventLoop& loop)
    : m_loop(loop)
    , m_server(loop, {},
          [this](HttpRequest&& request, const HttpResponder& responder) { handle(std::move(request), responder); })
{
}

bool StoreStandin::open(int port, int controlPort)
{
    const Result<int> bound = m_server.listen("127.0.0.1:" + std::to_string(port));
    const Result<int> control = m_server.listen("127.0.0.1:" + std::to_string(controlPort));
    if (!bound || !control)
        return false;
    m_port = *bound;
    m_controlPort = *control;
    return true;
}

void StoreStandin::setMode(const Mode& mode)
{
    if (mode.isDown && !m_mode.isDown) {
        m_server.closeListener(m_port);
        for (const Watcher& watcher : m_watchers)
            watcher.responder.sendChunk("", true);
        m_watchers.clear();
    }
    if (!mode.isDown && m_mode.isDown)
        m_server.listen("127.0.0.1:" + std::to_string(m_port));
    if (mode.hasStaleReads && !m_mode.hasStaleReads)
        m_staleData = m_data;
    m_mode = mode;
}

std::string StoreStandin::value(const std::string& key) const
{
    const auto found = m_data.find(key);
    return found == m_data.end() ? "" : found->second.entry.value;
}

void StoreStandin::handle(HttpRequest&& request, const HttpResponder& responder)
{
    if (request.localPort == m_controlPort) {
        handleControl(request, responder);
        return;
    }
    ++m_calls[request.path];
    if (m_mode.isDown) {
        responder.abort();
        return;
    }
    if (m_mode.delay.count() == 0) {
        answer(request, responder);
        return;
    }
    m_loop.addTimer(m_mode.delay, [this, request = std::move(request), responder] { answer(request, responder); });
}

void StoreStandin::handleControl(const HttpRequest& request, const HttpResponder& responder)
{
    if (request.path == "/testing/counts") {
        responder.send(jsonResponse(200, m_calls));
        return;
    }
    const json body = json::parse(request.body, nullptr, false);
    if (request.path != "/testing/mode" || !body.is_object()) {
        responder.send(jsonResponse(400, { { "error", "expected POST /testing/mode with a JSON object" } }));
        return;
    }
    Mode mode = m_mode;
    mode.isDown = body.value("down", mode.isDown);
    mode.delay = std::chrono::milliseconds(body.value("slow_ms", mode.delay.count()));
    mode.hasStaleReads = body.value("stale_reads", mode.hasStaleReads);
    mode.losesNextReply = body.value("lose_next_reply", mode.losesNextReply);
    setMode(mode);
    responder.send(jsonResponse(200, json::object()));
}

void StoreStandin::answer(const HttpRequest& request, const HttpResponder& responder)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        responder.send(jsonResponse(400, { { "error", "malformed JSON" }, { "code", 3 } }));
        return;
    }
    if (request.path == "/v3/watch") {
        startWatch(body, responder);
        return;
    }
    json reply;
    if (request.path == "/v3/kv/range")
        reply = range(body);
    else if (request.path == "/v3/kv/txn")
        reply = transaction(body);
    else if (request.path == "/v3/lease/grant")
        reply = grantLease(body);
    else {
        responder.send(jsonResponse(404, { { "error", "Not Found" }, { "code", 5 } }));
        return;
    }
    if (m_mode.losesNextReply && request.path == "/v3/kv/txn") {
        m_mode.losesNextReply = false;
        responder.abort();
        return;
    }
    responder.send(jsonResponse(200, reply));
}

json StoreStandin::range(const json& request) const
{
    const std::string begin = storemessages::bytes(request, "key");
    const std::string end = storemessages::bytes(request, "range_end");
    json reply { { "header", header() } };
    for (const auto& entry : m_mode.hasStaleReads ? m_staleData : m_data) {
        if (isInRange(entry.first, begin, end))
            reply["kvs"].push_back(toJson(entry.second));
    }
    if (reply.contains("kvs"))
        reply["count"] = std::to_string(reply["kvs"].size());
    return reply;
}

json StoreStandin::transaction(const json& request)
{
    const json none = json::array();
    const json& compares = request.contains("compare") ? request["compare"] : none;
    const bool isHeld
        = std::all_of(compares.begin(), compares.end(), [this](const json& compare) { return holds(compare); });
    const char* const branch = isHeld ? "success" : "failure";
    const json& operations = request.contains(branch) ? request[branch] : none;
    // All writes of a transaction get the same revision.
    const bool isWriting = std::any_of(operations.begin(), operations.end(), [](const json& operation) {
        return operation.contains("request_put") || operation.contains("request_delete_range");
    });
    if (isWriting)
        ++m_revision;
    json responses = json::array();
    for (const json& operation : operations) {
        if (operation.contains("request_put")) {
            put(operation["request_put"]);
            responses.push_back({ { "response_put", { { "header", header() } } } });
        } else if (operation.contains("request_delete_range")) {
            erase(storemessages::bytes(operation["request_delete_range"], "key"));
            responses.push_back({ { "response_delete_range", { { "header", header() } } } });
        } else if (operation.contains("request_range")) {
            responses.push_back({ { "response_range", range(operation["request_range"]) } });
        }
    }
    json reply { { "header", header() }, { "responses", std::move(responses) } };
    if (isHeld)
        reply["succeeded"] = true;
    return reply;
}

bool StoreStandin::holds(const json& compare) const
{
    const auto found = m_data.find(storemessages::bytes(compare, "key"));
    const bool isCreated = compare.value("target", "") == "CREATE";
    std::uint64_t actual = 0;
    if (found != m_data.end()) {
        const StoreEntry& entry = found->second.entry;
        actual = isCreated ? entry.createRevision.value() : entry.modRevision.value();
    }
    return actual == storemessages::number(compare, isCreated ? "create_revision" : "mod_revision");
}

void StoreStandin::put(const json& request)
{
    const std::string key = storemessages::bytes(request, "key");
    Stored& stored = m_data[key];
    stored.entry.key = key;
    stored.entry.value = storemessages::bytes(request, "value");
    stored.entry.modRevision = StoreRevision(m_revision);
    if (stored.version++ == 0)
        stored.entry.createRevision = StoreRevision(m_revision);
    stored.lease = storemessages::number(request, "lease");
    publish({ m_revision, false, stored });
}

void StoreStandin::erase(const std::string& key)
{
    const auto found = m_data.find(key);
    if (found == m_data.end())
        return;
    Stored stored = found->second;
    m_data.erase(found);
    stored.entry.value.clear();
    stored.entry.modRevision = StoreRevision(m_revision);
    publish({ m_revision, true, stored });
}

json StoreStandin::grantLease(const json& request)
{
    const std::uint64_t lease = ++m_lastLease;
    const std::uint64_t ttl = storemessages::number(request, "TTL");
    m_loop.addTimer(std::chrono::seconds(ttl), [this, lease] { expireLease(lease); });
    return { { "header", header() }, { "ID", std::to_string(lease) }, { "TTL", std::to_string(ttl) } };
}

void StoreStandin::expireLease(std::uint64_t lease)
{
    std::vector<std::string> expired;
    for (const auto& entry : m_data) {
        if (entry.second.lease == lease)
            expired.push_back(entry.first);
    }
    if (!expired.empty())
        ++m_revision;
    for (const std::string& key : expired)
        erase(key);
}

void StoreStandin::startWatch(const json& request, const HttpResponder& responder)
{
    const json create = request.value("create_request", json::object());
    Watcher watcher { storemessages::bytes(create, "key"), storemessages::bytes(create, "range_end"), responder };
    responder.startStream(200, "application/json");
    const json created { { "result", { { "header", header() }, { "created", true } } } };
    responder.sendChunk(created.dump() + "\n", false);
    const std::uint64_t from = storemessages::number(create, "start_revision");
    json events = json::array();
    for (const Event& event : m_history) {
        if (from != 0 && event.revision >= from && isInRange(event.stored.entry.key, watcher.key, watcher.rangeEnd))
            events.push_back(toJson(event));
    }
    if (!events.empty()) {
        const json message { { "result", { { "header", header() }, { "events", std::move(events) } } } };
        responder.sendChunk(message.dump() + "\n", false);
    }
    m_watchers.push_back(std::move(watcher));
}

void StoreStandin::publish(Event event)
{
    m_watchers.erase(std::remove_if(m_watchers.begin(), m_watchers.end(),
                         [](const Watcher& watcher) { return !watcher.responder.isOpen(); }),
        m_watchers.end());
    const json message { { "result", { { "header", header() }, { "events", json::array({ toJson(event) }) } } } };
    for (const Watcher& watcher : m_watchers) {
        if (isInRange(event.stored.entry.key, watcher.key, watcher.rangeEnd))
            watcher.responder.sendChunk(message.dump() + "\n", false);
    }
    m_history.push_back(std::move(event));
}

json StoreStandin::header() const
{
    return { { "cluster_id", "1" }, { "member_id", "1" }, { "revision", std::to_string(m_revision) } };
}

json StoreStandin::toJson(const Stored& stored)
{
    return { { "key", encodeBase64(stored.entry.key) }, { "value", encodeBase64(stored.entry.value) },
        { "create_revision", std::to_string(stored.entry.createRevision.value()) },
        { "mod_revision", std::to_string(stored.entry.modRevision.value()) },
        { "version", std::to_string(stored.version) }, { "lease", std::to_string(stored.lease) } };
}

json StoreStandin::toJson(const Event& event)
{
    json result { { "kv", toJson(event.stored) } };
    // The gateway leaves out the default, PUT.
    if (event.isDeleted)
        result["type"] = "DELETE";
    return result;
}

bool StoreStandin::isInRange(const std::string& key, const std::string& begin, const std::string& end)
{
    return end.empty() ? key == begin : key >= begin && key < end;
}

}
