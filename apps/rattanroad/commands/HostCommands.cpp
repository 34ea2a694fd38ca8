#include "rattanroad/commands/HostCommands.h"

#include "rattanroad/http/Problem.h"

namespace rattanroad::command {

using Json = nlohmann::json;

HostCommands::HostCommands(const Reporter& reporter, ServerPool& servers)
    : m_reporter(reporter)
    , m_servers(servers)
{
}

ExitCode HostCommands::status()
{
    std::string text;
    auto servers = Json::array();
    std::size_t reachableCount = 0;
    HttpExchange last;
    for (const auto& server : m_servers.servers()) {
        last = m_servers.sendTo(server, { "GET", "", "/v1/status", {}, "" });
        Json entry { { "server", server }, { "reachable", last.isSuccess() } };
        if (last.isSuccess()) {
            ++reachableCount;
            const auto status = Json::parse(last.body, nullptr, false);
            entry["status"] = status.is_discarded() ? Json(last.body) : status;
        } else {
            entry["detail"] = failureOf(last).detail;
        }
        text += server + "\n" + entry[last.isSuccess() ? "status" : "detail"].dump(2) + "\n";
        servers.push_back(std::move(entry));
    }
    if (!reachableCount)
        return m_reporter.failure(Failure { FailureCode::TargetUnreachable, RunState::NotRun, failureOf(last).detail });
    return m_reporter.success(text, { { "servers", servers } });
}

ExitCode HostCommands::drain()
{
    if (m_servers.servers().size() != 1)
        return m_reporter.failure(Failure { FailureCode::MalformedRequest, RunState::NotRun,
            "drain --host needs exactly one --server: the host to drain" });
    const auto& server = m_servers.servers().front();
    const auto exchange = m_servers.sendTo(server, { "POST", "", "/v1/drain", {}, "" });
    if (!exchange.isSuccess())
        return m_reporter.failure(exchange);
    return m_reporter.success(server + " is draining", { { "server", server }, { "draining", true } });
}

}
