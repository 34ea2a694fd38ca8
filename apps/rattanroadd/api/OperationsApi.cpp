#include "api/OperationsApi.h"

#include "api/ProblemResponse.h"
#include "rattanroad_core/json/BoundedJson.h"

#include <nlohmann/json.hpp>

using nlohmann::json;

namespace rattanroad::daemon {

namespace {
    json toJson(const Member& member)
    {
        return { { "host", member.host.value() }, { "incarnation", member.incarnation.value() },
            { "failure_domain", member.failureDomain.value() }, { "region", member.region.value() },
            { "rack", member.rack.value() }, { "address", member.address }, { "draining", member.isDraining } };
    }

    json toJson(const SlotKeeper::TargetStatus& target)
    {
        return { { "id", target.id.value() }, { "limit", target.limit.value() }, { "used", target.used.value() },
            { "ejected", target.isEjected }, { "leaving", target.isLeaving },
            { "relative_speed", target.relativeSpeed }, { "success_share", target.successShare } };
    }

    json toJson(const EntryHost::Statistics& statistics)
    {
        return { { "jobs_accepted", statistics.jobsAccepted }, { "jobs_completed", statistics.jobsCompleted },
            { "jobs_failed", statistics.jobsFailed }, { "jobs_refused", statistics.jobsRefused },
            { "jobs_joined", statistics.jobsJoined }, { "jobs_active", statistics.jobsActive },
            { "tasks_started", statistics.tasksStarted }, { "tasks_succeeded", statistics.tasksSucceeded },
            { "tasks_failed", statistics.tasksFailed }, { "tasks_retried", statistics.tasksRetried },
            { "tasks_queued", statistics.tasksQueued }, { "takeovers", statistics.ledger.takeovers } };
    }
}

OperationsApi::OperationsApi(Settings settings, EntryHost& engine, PeerLink& peers, Metrics& metrics, Hooks hooks)
    : m_settings(settings)
    , m_engine(engine)
    , m_peers(peers)
    , m_metrics(metrics)
    , m_hooks(std::move(hooks))
{
}

bool OperationsApi::handle(const HttpRequest& request, const HttpResponder& responder)
{
    const std::string route = request.method + " " + request.path;
    if (route == "GET /healthz")
        responder.send({ 200, "text/plain", {}, "ok\n" });
    else if (route == "GET /readyz")
        responder.send(readiness());
    else if (route == "GET /v1/status")
        responder.send(status());
    else if (route == "GET /metrics") {
        m_hooks.refreshMetrics();
        responder.send({ 200, "text/plain; version=0.0.4", {}, m_metrics.text() });
    } else if (route == "POST /v1/drain") {
        m_hooks.beginDrain();
        responder.send({ 202, "application/json", {}, "{\"state\":\"draining\"}" });
    } else if (route == "POST /testing/links" && m_settings.allowsLinkCuts)
        responder.send(cutLinks(request));
    else
        return false;
    return true;
}

HttpResponse OperationsApi::readiness() const
{
    if (m_hooks.isStopping())
        return { 503, "text/plain", {}, "draining\n" };
    if (!m_engine.configuration().current())
        return { 503, "text/plain", {}, "no configuration\n" };
    if (!m_hooks.hasJoined())
        return { 503, "text/plain", {}, "joining the other entry hosts\n" };
    return { 200, "text/plain", {}, "ready\n" };
}

HttpResponse OperationsApi::status() const
{
    json body { { "self", toJson(m_engine.members().self()) }, { "draining", m_hooks.isStopping() },
        { "configuration_revision", m_engine.configuration().revision().value() }, { "members", json::array() },
        { "kept_targets", json::array() }, { "statistics", toJson(m_engine.statistics()) } };
    for (const Member& member : m_engine.members().liveMembers())
        body["members"].push_back(toJson(member));
    for (const SlotKeeper::TargetStatus& target : m_engine.targets())
        body["kept_targets"].push_back(toJson(target));
    return { 200, "application/json", {}, body.dump() };
}

HttpResponse OperationsApi::cutLinks(const HttpRequest& request)
{
    const json body = parseBoundedJson(request.body);
    std::set<std::string> addresses;
    std::set<HostId> hosts;
    try {
        for (const std::string& address : body.value("addresses", std::vector<std::string> {}))
            addresses.insert(address);
        for (const std::string& host : body.value("hosts", std::vector<std::string> {}))
            hosts.insert(HostId(host));
    } catch (const json::exception&) {
        return problemResponse({ FailureCode::MalformedRequest, RunState::NotRun,
            "expected {\"addresses\":[...],\"hosts\":[...]} with strings" });
    }
    m_peers.setBlocked(std::move(addresses), std::move(hosts));
    return { 200, "application/json", {}, "{}" };
}

}
