#include "rattanroad/commands/ConfigurationCommands.h"

#include "rattanroad/http/Problem.h"

#include <algorithm>

namespace rattanroad::command {

namespace {

    using Json = nlohmann::json;

    constexpr const char* path = "/v1/configuration";
    constexpr std::chrono::seconds readTimeLimit { 10 };
    // A server stops waiting for the store after 10 s, so this leaves time to try a second server.
    constexpr std::chrono::seconds applyTimeLimit { 30 };
    constexpr std::chrono::milliseconds pollInterval { 500 };
    constexpr int maximumDrainAttempts = 5;

    std::uint64_t revisionOf(const HttpExchange& exchange, std::uint64_t fallback)
    {
        const auto value = Json::parse(exchange.body, nullptr, false);
        if (!value.is_object())
            return fallback;
        const auto found = value.find("revision");
        return found != value.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : fallback;
    }

    Json entriesOf(const Json& history)
    {
        if (history.is_object()) {
            for (const auto* key : { "entries", "history" }) {
                if (history.contains(key))
                    return history.at(key);
            }
        }
        return history;
    }

    std::string historyLine(const Json& entry)
    {
        std::string line;
        for (const auto* key : { "revision", "time", "author", "change_id" }) {
            const auto found = entry.find(key);
            if (found != entry.end())
                line += (line.empty() ? "" : "  ") + (found->is_string() ? found->get<std::string>() : found->dump());
        }
        return line + "\n";
    }

    Failure targetNotFound(const std::string& target)
    {
        return { FailureCode::ConfigurationInvalid, RunState::NotRun,
            "the configuration in force has no target \"" + target + "\"" };
    }

}

ConfigurationCommands::ConfigurationCommands(CommandContext& context, const Reporter& reporter, ServerPool& servers)
    : m_context(context)
    , m_reporter(reporter)
    , m_servers(servers)
{
}

Result<std::optional<ConfigurationValue>> ConfigurationCommands::fetchConfiguration()
{
    const auto exchange = m_servers.send({ "GET", "", path, {}, "" }, readTimeLimit);
    if (!exchange.isSuccess()) {
        const auto failure = readFailureOf(exchange);
        if (failure.code == FailureCode::ConfigurationMissing || failure.code == FailureCode::NotFound)
            return std::optional<ConfigurationValue>();
        return failure;
    }
    auto value = ConfigurationValue::parse(exchange.body);
    if (!value)
        return Failure { FailureCode::Internal, RunState::NotRun,
            "cannot parse the configuration returned by the server: " + value.lastReason().detail };
    return std::optional<ConfigurationValue>(std::move(*value));
}

ExitCode ConfigurationCommands::diff(const Inventory& inventory)
{
    const auto inForce = fetchConfiguration();
    if (!inForce)
        return m_reporter.failure(inForce.lastReason());
    const auto* before = *inForce ? (*inForce)->inventory.get() : nullptr;
    const auto difference = InventoryDifference::between(before, &inventory);
    const auto revision = *inForce ? (*inForce)->revision.value() : 0;
    const auto text = difference.isEmpty() ? "no difference" : difference.text();
    return m_reporter.success("revision in force: " + std::to_string(revision) + "\n" + text,
        { { "revision", revision }, { "differences", Json::parse(difference.json()) } });
}

void ConfigurationCommands::ensureChangeId(Change& change)
{
    if (change.changeId.empty())
        change.changeId = "change-" + std::to_string(m_context.random.next());
}

ExitCode ConfigurationCommands::apply(const Inventory& inventory, Change change)
{
    ensureChangeId(change);
    if (!change.baseRevision) {
        const auto inForce = fetchConfiguration();
        if (!inForce)
            return m_reporter.failure(inForce.lastReason());
        change.baseRevision = *inForce ? (*inForce)->revision.value() : 0;
    }
    return sendAndReport(inventory, change, *change.baseRevision);
}

HttpExchange ConfigurationCommands::sendChange(
    const Inventory& inventory, const Change& change, std::uint64_t baseRevision)
{
    // The change id makes the request idempotent, so it may be resent to another server after a lost connection.
    const HttpRequest request { "PUT", "", path,
        { { "Content-Type", "application/json" }, { "If-Match", "\"" + std::to_string(baseRevision) + "\"" },
            { "Change-Id", change.changeId }, { "Author", change.author } },
        inventory.json() };
    return m_servers.send(request, applyTimeLimit);
}

ExitCode ConfigurationCommands::sendAndReport(
    const Inventory& inventory, const Change& change, std::uint64_t baseRevision)
{
    return reportChange(sendChange(inventory, change, baseRevision), change, baseRevision);
}

ExitCode ConfigurationCommands::reportChange(
    const HttpExchange& exchange, const Change& change, std::uint64_t baseRevision)
{
    if (!exchange.isSuccess()) {
        auto failure = failureOf(exchange);
        if (failure.runState == RunState::OutcomeUnknown)
            failure.detail
                += "; repeat with --base " + std::to_string(baseRevision) + " --change-id " + change.changeId;
        return m_reporter.failure(failure);
    }
    const auto revision = revisionOf(exchange, baseRevision + 1);
    const bool isInForce = change.wait.count() > 0 && waitUntilInForce(revision, change.wait);
    if (change.wait.count() > 0 && !isInForce)
        return m_reporter.failure({ FailureCode::DeadlineExceeded, RunState::RanAndFailed,
            "revision " + std::to_string(revision) + " was accepted, but is not yet in force on every server" });
    return m_reporter.success("revision " + std::to_string(revision) + (isInForce ? " is in force" : " was accepted"),
        { { "revision", revision }, { "change_id", change.changeId }, { "in_force", isInForce } });
}

bool ConfigurationCommands::waitUntilInForce(std::uint64_t revision, std::chrono::seconds timeLimit)
{
    const auto deadline = m_context.clock.now() + timeLimit;
    const auto hasOlderRevision = [&](const std::string& server) {
        const auto exchange = m_servers.sendTo(server, { "GET", "", path, {}, "" });
        return !exchange.isSuccess() || revisionOf(exchange, 0) < revision;
    };
    while (std::any_of(m_servers.servers().begin(), m_servers.servers().end(), hasOlderRevision)) {
        if (m_context.clock.now() + pollInterval > deadline)
            return false;
        m_context.sleep(pollInterval);
    }
    return true;
}

ExitCode ConfigurationCommands::drain(const std::vector<std::string>& targets, Change change)
{
    ensureChangeId(change);
    for (int attempt = 1;; ++attempt) {
        const auto inForce = fetchConfiguration();
        if (!inForce)
            return m_reporter.failure(inForce.lastReason());
        if (!*inForce)
            return m_reporter.failure(targetNotFound(targets.front()));
        auto parts = (*inForce)->inventory->parts();
        for (const auto& id : targets) {
            const auto target = std::find_if(parts.targets.begin(), parts.targets.end(),
                [&](const Target& candidate) { return candidate.id == TargetId(id); });
            if (target == parts.targets.end())
                return m_reporter.failure(targetNotFound(id));
            target->state = TargetState::Leaving;
        }
        const auto changed = Inventory::create(std::move(parts));
        if (!changed)
            return m_reporter.failure(changed.lastReason());
        const auto baseRevision = (*inForce)->revision.value();
        const auto exchange = sendChange(**changed, change, baseRevision);
        const bool isConflict = !exchange.isSuccess() && failureOf(exchange).code == FailureCode::ConfigurationConflict;
        if (!isConflict || attempt == maximumDrainAttempts)
            return reportChange(exchange, change, baseRevision);
    }
}

ExitCode ConfigurationCommands::history(std::size_t limit)
{
    const auto exchange = m_servers.send({ "GET", "", std::string(path) + "/history", {}, "" }, readTimeLimit);
    if (!exchange.isSuccess())
        return m_reporter.failure(readFailureOf(exchange));
    auto entries = entriesOf(Json::parse(exchange.body, nullptr, false));
    if (!entries.is_array())
        return m_reporter.failure(
            { FailureCode::Internal, RunState::NotRun, "the history returned by the server is not a JSON array" });
    std::string text;
    auto printed = Json::array();
    for (const auto& entry : entries) {
        if (printed.size() == limit)
            break;
        printed.push_back(entry);
        text += entry.is_object() ? historyLine(entry) : entry.dump() + "\n";
    }
    return m_reporter.success(text, { { "entries", printed } });
}

}
