#include "platform/PlatformStandin.h"

#include "platform/TaskIdFormat.h"
#include "rattanroad_network/loop/EventLoop.h"
#include "rattanroad_network/store/Base64.h"

#include <map>

namespace rattanroad::emulator {

using namespace shards;
using nlohmann::json;

namespace {
    constexpr std::chrono::milliseconds advanceInterval { 1 };
    const HostId anyHost("host");

    HttpResponse response(int status, const json& body)
    {
        HttpResponse response;
        response.status = status;
        response.body = body.dump();
        return response;
    }

    std::string percentDecode(const std::string& text)
    {
        std::string plain;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] != '%') {
                plain += text[i];
                continue;
            }
            plain += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        }
        return plain;
    }

    std::map<std::string, std::string> parseQuery(const std::string& query)
    {
        std::map<std::string, std::string> fields;
        std::size_t begin = 0;
        while (begin < query.size()) {
            const std::size_t end = std::min(query.find('&', begin), query.size());
            const std::string field = query.substr(begin, end - begin);
            const std::size_t equals = field.find('=');
            fields[field.substr(0, equals)] = percentDecode(field.substr(equals + 1));
            begin = end + 1;
        }
        return fields;
    }

    json itemToJson(const StoredItem& item)
    {
        return { { "key", item.key }, { "value", encodeBase64(item.value) }, { "revision", item.revision.value() } };
    }

    json itemsToJson(const std::vector<StoredItem>& items)
    {
        json list = json::array();
        for (const StoredItem& item : items)
            list.push_back(itemToJson(item));
        return list;
    }

    /** Sends the HTTP status for the result of a store call, with @p body if the call succeeded or a condition failed.
        Closes the connection without an answer for an unknown result. */
    void answerStore(const HttpResponder& responder, StoreStatus status, const json& body)
    {
        if (!responder.isOpen())
            return;
        switch (status) {
        case StoreStatus::Done:
            responder.send(response(200, body));
            return;
        case StoreStatus::ConditionFailed:
            responder.send(response(412, body));
            return;
        case StoreStatus::Absent:
            responder.send(response(404, json::object()));
            return;
        case StoreStatus::Compacted:
            responder.send(response(410, json::object()));
            return;
        case StoreStatus::Refused:
            responder.send(response(503, json::object()));
            return;
        case StoreStatus::Unknown:
            responder.abort();
            return;
        }
    }

    void answerTarget(const HttpResponder& responder, const TargetReply& reply, json body = json::object())
    {
        if (!responder.isOpen())
            return;
        if (reply.result == TargetCallResult::Unknown) {
            responder.abort();
            return;
        }
        static const std::map<TargetCallResult, const char*> reasons { { TargetCallResult::Fenced, "fence" },
            { TargetCallResult::StaleAttempt, "old" }, { TargetCallResult::LeaseExpired, "late" },
            { TargetCallResult::NoCapacity, "room" } };
        body["clockMs"] = reply.clockMs.value_or(0);
        if (reply.incarnationMs != 0)
            body["born"] = reply.incarnationMs;
        const auto reason = reasons.find(reply.result);
        if (reason != reasons.end())
            body["reason"] = reason->second;
        responder.send(response(reason == reasons.end() ? 200 : 409, body));
    }

    const char* outcomeName(RunOutcome outcome)
    {
        if (outcome == RunOutcome::Done)
            return "done";
        return outcome == RunOutcome::Failed ? "failed" : "stopped";
    }
}

PlatformStandin::PlatformStandin(EventLoop& loop)
    : m_loop(loop)
    , m_startedAt(loop.clock().now())
    , m_emulatedStart(m_clock.now())
    , m_queue(m_clock)
    , m_store(m_queue)
    , m_targets(m_queue)
    , m_storeCalls(m_store.callsFrom(anyHost))
    , m_targetCalls(m_targets.callsFrom(anyHost))
    , m_server(loop, {}, [this](HttpRequest&& request, const HttpResponder& responder) { handle(request, responder); })
{
    const auto port = m_server.listen("127.0.0.1:0");
    m_address = "127.0.0.1:" + std::to_string(port ? *port : 0);
    advance();
}

void PlatformStandin::advance()
{
    m_queue.runUntil(m_emulatedStart + (m_loop.clock().now() - m_startedAt));
    m_loop.addTimer(advanceInterval, [this] { advance(); });
}

void PlatformStandin::addTarget(const std::string& id, const std::string& failureDomain)
{
    TargetReport report;
    report.id = TargetId(id);
    report.service = ServiceId("quotes");
    report.failureDomain = FailureDomainId(failureDomain);
    report.address = m_address;
    report.capacity = { 32000, 65536, 0 };
    report.bornMs = 1;
    m_targets.add(report);
    const json entry { { "service", "quotes" }, { "address", m_address }, { "zone", failureDomain },
        { "state", "ready" }, { "capacity", { { "cpu", 32000 }, { "memMb", 65536 } } }, { "labels", { "a", "r1" } },
        { "born", 1 } };
    m_store.put("servers/" + id, entry.dump());
}

void PlatformStandin::handle(const HttpRequest& request, const HttpResponder& responder)
{
    if (!handleRead(request, responder) && !handleWrite(request, responder) && !handleTargetRequest(request, responder))
        responder.send(response(404, json::object()));
}

bool PlatformStandin::handleRead(const HttpRequest& request, const HttpResponder& responder)
{
    auto fields = parseQuery(request.query);
    if (request.path == "/kv-key") {
        m_storeCalls.read(fields["key"], [responder](const ReadReply& reply) {
            json body = reply.items.empty() ? json::object() : itemToJson(reply.items.front());
            body["atRev"] = reply.storeRevision.value();
            answerStore(responder, reply.status, body);
        });
        return true;
    }
    if (request.path == "/kv-range") {
        m_storeCalls.readPage(fields["prefix"], fields["after"], [responder](const ReadReply& reply) {
            answerStore(responder, reply.status,
                { { "items", itemsToJson(reply.items) }, { "hasMore", reply.hasMore },
                    { "atRev", reply.storeRevision.value() } });
        });
        return true;
    }
    if (request.path != "/kv-watch")
        return false;
    m_storeCalls.watch(fields["prefix"], KeyRevision(std::stoull(fields["after"])),
        std::chrono::milliseconds(std::stoll(fields["waitMs"])), [responder](const WatchReply& reply) {
            json events = json::array();
            for (const KeyChange& change : reply.changes) {
                json event = itemToJson(change.item);
                if (change.isRemoved)
                    event = { { "key", change.item.key }, { "revision", change.item.revision.value() },
                        { "removed", true } };
                events.push_back(event);
            }
            answerStore(responder, reply.status, { { "events", events }, { "atRev", reply.storeRevision.value() } });
        });
    return true;
}

bool PlatformStandin::handleWrite(const HttpRequest& request, const HttpResponder& responder)
{
    static const std::string keepPath = "/kv-keep/";
    const auto answerLease = [responder](const LeaseReply& reply) {
        answerStore(responder, reply.status,
            { { "lease", reply.lease.value() },
                { "ttlMs", std::chrono::duration_cast<std::chrono::milliseconds>(reply.timeToLive).count() } });
    };
    if (request.path.compare(0, keepPath.size(), keepPath) == 0) {
        m_storeCalls.renewLease(StoreLeaseId(std::stoull(request.path.substr(keepPath.size()))), answerLease);
        return true;
    }
    const json body = json::parse(request.body.empty() ? "{}" : request.body);
    if (request.path == "/kv-lease") {
        m_storeCalls.grantLease(std::chrono::milliseconds(body.at("ttlMs").get<std::int64_t>()), answerLease);
        return true;
    }
    if (request.path != "/kv-txn")
        return false;
    KeyTransaction transaction;
    for (const json& row : body.at("expected"))
        transaction.conditions.push_back({ row.at("key"), KeyRevision(row.at("revision").get<std::uint64_t>()) });
    for (const json& row : body.at("writes")) {
        transaction.writes.push_back({ row.at("key"), *decodeBase64(row.at("value").get<std::string>()),
            StoreLeaseId(row.value("lease", 0ULL)) });
    }
    transaction.removals = body.at("remove").get<std::vector<std::string>>();
    m_storeCalls.transact(transaction, [responder](const TransactionReply& reply) {
        answerStore(responder, reply.status,
            { { "revision", reply.revision.value() }, { "items", itemsToJson(reply.current) } });
    });
    return true;
}

bool PlatformStandin::handleTargetRequest(const HttpRequest& request, const HttpResponder& responder)
{
    const std::string* const target = request.header("x-expect-instance");
    if (!target)
        return false;
    const json body = json::parse(request.body);
    const TargetId id(*target);
    const FencingToken token(body.value("fenceToken", 0ULL));
    // The caller closes the connection at its own timeout.
    constexpr std::chrono::milliseconds timeout { 1000 };
    if (request.path == "/hold") {
        PollRequest poll { id, m_address, token, body.value("ackCursor", 0ULL), std::nullopt,
            std::chrono::milliseconds(body.value("waitMs", 0)), timeout };
        if (body.contains("deadlineMs"))
            poll.leaseEndMs = body.at("deadlineMs").get<std::uint64_t>();
        m_targetCalls.poll(poll, [responder](const PollReply& reply) {
            json lists { { "running", json::array() }, { "finished", json::array() } };
            for (const RunningTask& run : reply.running)
                lists["running"].push_back({ adapter::formatTaskId(run.task), run.attempt, run.savedProgress, 0 });
            for (const RunCompletion& end : reply.completions) {
                lists["finished"].push_back({ end.number, adapter::formatTaskId(end.task), end.attempt,
                    outcomeName(end.outcome), end.savedProgress });
            }
            answerTarget(responder, reply, lists);
        });
        return true;
    }
    const auto task = adapter::parseTaskId(body.value("task", ""));
    const auto answer = [responder](const TargetReply& reply) { answerTarget(responder, reply); };
    const auto attempt = body.value("attempt", 0U);
    if (!task)
        return false;
    if (request.path == "/run-start") {
        m_targetCalls.start({ id, m_address, *task, attempt, body.at("taskSpec"),
                                body.at("deadlineMs").get<std::uint64_t>(), token, "", timeout },
            answer);
        return true;
    }
    m_targetCalls.stop({ id, m_address, *task, attempt, token, timeout }, answer);
    return true;
}

}
