#include "api/ConfigurationApi.h"

#include "api/ProblemResponse.h"
#include "rattanroad_network/telemetry/StateLog.h"

#include <charconv>
#include <nlohmann/json.hpp>

using nlohmann::json;

namespace rattanroad::daemon {

namespace {
    Failure malformed(std::string detail)
    {
        return { FailureCode::MalformedRequest, RunState::NotRun, std::move(detail) };
    }

    /** Accepts a revision with or without the quotes of an entity tag. */
    std::optional<Revision> parseRevision(std::string_view text)
    {
        if (text.size() > 2 && text.front() == '"' && text.back() == '"')
            text = text.substr(1, text.size() - 2);
        std::uint64_t value = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
        if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
            return std::nullopt;
        return Revision(value);
    }

    std::string entityTag(Revision revision) { return "\"" + std::to_string(revision.value()) + "\""; }

    HttpResponse applyResponse(const ApplyOperation::Outcome& outcome)
    {
        if (!outcome)
            return problemResponse(outcome.lastReason());
        const json body { { "revision", outcome->revision.value() },
            { "was_applied_before", outcome->wasAppliedBefore } };
        return { 200, "application/json", { { "etag", entityTag(outcome->revision) } }, body.dump() };
    }
}

ConfigurationApi::ConfigurationApi(const EntryHost& engine, const Clock& clock, ConfigurationService& service)
    : m_engine(engine)
    , m_clock(clock)
    , m_service(service)
{
}

bool ConfigurationApi::handle(const HttpRequest& request, const HttpResponder& responder)
{
    const std::string route = request.method + " " + request.path;
    if (route == "GET /v1/configuration")
        responder.send(current());
    else if (route == "PUT /v1/configuration")
        apply(request, responder);
    else if (route == "POST /v1/configuration/check")
        responder.send(check(request));
    else if (route == "GET /v1/configuration/history")
        sendHistory(responder);
    else
        return false;
    return true;
}

HttpResponse ConfigurationApi::current() const
{
    const ConfigurationValue* const value = m_engine.configuration().current();
    if (!value)
        return problemResponse({ FailureCode::ConfigurationMissing, RunState::NotRun, "no configuration is in force" });
    return { 200, "application/json", { { "etag", entityTag(value->revision) } }, value->json() };
}

void ConfigurationApi::apply(const HttpRequest& request, const HttpResponder& responder)
{
    const std::string* const baseRevision = request.header("if-match");
    const std::string* const changeId = request.header("change-id");
    const std::string* const author = request.header("author");
    if (!baseRevision || !changeId || !author) {
        responder.send(problemResponse(malformed("the headers If-Match, Change-Id and Author are required")));
        return;
    }
    const auto revision = parseRevision(*baseRevision);
    if (!revision) {
        responder.send(problemResponse(malformed("If-Match: expected the base revision, 0 for the first one")));
        return;
    }
    const auto inventory = Inventory::parse(request.body);
    if (!inventory) {
        responder.send(problemResponse(inventory.lastReason()));
        return;
    }
    ConfigurationChange change { *revision, ChangeId(*changeId), *author, rfc3339(m_clock.wallNow()), *inventory };
    m_service.apply(std::move(change),
        [responder](const ApplyOperation::Outcome& outcome) { responder.send(applyResponse(outcome)); });
}

HttpResponse ConfigurationApi::check(const HttpRequest& request)
{
    const auto inventory = Inventory::parse(request.body);
    if (!inventory)
        return problemResponse(inventory.lastReason());
    const Inventory::Parts& parts = (*inventory)->parts();
    const json body { { "valid", true }, { "workers", parts.workers.size() }, { "targets", parts.targets.size() },
        { "slots", (*inventory)->totalSlots().value() } };
    return { 200, "application/json", {}, body.dump() };
}

void ConfigurationApi::sendHistory(const HttpResponder& responder)
{
    m_service.readHistory([responder](const Result<std::string>& history) {
        if (history)
            responder.send({ 200, "application/json", {}, *history });
        else
            responder.send(problemResponse(history.lastReason()));
    });
}

}
