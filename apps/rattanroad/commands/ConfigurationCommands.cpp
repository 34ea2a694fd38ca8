#include "rattanroad/commands/ConfigurationCommands.h"

#include "rattanroad/http/Problem.h"

#include <algorithm>

namespace rattanroad::command {

namespace {

    using Json = nlohmann::json;

    constexpr const char* path = "/v1/configuration";
    constexpr std::chrono::seconds readLimit { 10 };
    // A server gives up on the store after 10 s; this leaves time to ask a second one.
    constexpr std::chrono::seconds applyLimit { 30 };
    constexpr std::chrono::milliseconds pollInterval { 500 };
    constexpr int maximumDrainAttempts = 5;

    std::uint64_t revisionOf(const HttpExchange& exchange, std::uint64_t otherwise)
    {
        const auto value = Json::parse(exchange.body, nullptr, false);
        if (!value.is_object())
            return otherwise;
        const auto found = value.find("revision");
        return found != value.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : otherwise;
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

    std::string lineOf(const Json& entry)
    {
        std::string line;
        for (const auto* key : { "revision", "time", "author", "change_id" }) {
            const auto found = entry.find(key);
            if (found != entry.end())
                line += (line.empty() ? "" : "  ") + (found->is_string() ? found->get<std::string>() : found->dump());
        }
        return line + "\n";
    }

    Failure noSuchTarget(const std::string& target)
    {
        return { FailureCode::ConfigurationInvalid, RunState::NotRun, "no target \"" + target + "\"" };
    }

}

ConfigurationCommands::ConfigurationCommands(CommandContext& context, const Reporter& reporter, ServerPool& servers)
    : m_context(context)
    , m_reporter(reporter)
    , m_servers(servers)
{
}

Result<std::optional<ConfigurationValue>> ConfigurationCommands::current()
{
    const auto exchange = m_servers.send({ "GET", "", path, {}, "" }, readLimit);
    if (!exchange.isSuccess()) {
        const auto failure = readFailureOf(exchange);
        if (failure.code == FailureCode::ConfigurationMissing || failure.code == FailureCode::NotFound)
            return std::optional<ConfigurationValue>();
        return failure;
    }
    auto value = ConfigurationValue::parse(exchange.body);
    if (!value)
        return Failure { FailureCode::Internal, RunState::NotRun,
            "the server's configuration is not readable: " + value.lastReason().detail };
    return std::optional<ConfigurationValue>(std::move(*value));
}

ExitCode ConfigurationCommands::diff(const Inventory& inventory)
{
    const auto inForce = current();
    if (!inForce)
        return m_reporter.failure(inForce.lastReason());
    const auto* before = *inForce ? (*inForce)->inventory.get() : nullptr;
    const auto difference = InventoryDifference::between(before, &inventory);
    const auto revision = *inForce ? (*inForce)->revision.value() : 0;
    const auto text = difference.isEmpty() ? "no difference" : difference.text();
    return m_reporter.success("revision in force: " + std::to_string(revision) + "\n" + text,
        { { "revision", revision }, { "differences", Json::parse(difference.json()) } });
}

void ConfigurationCommands::complete(Change& change)
{
    if (change.changeId.empty())
        change.changeId = "change-" + std::to_string(m_context.random.next());
}

ExitCode ConfigurationCommands::apply(const Inventory& inventory, Change change)
{
    complete(change);
    if (!change.base) {
        const auto inForce = current();
        if (!inForce)
            return m_reporter.failure(inForce.lastReason());
        change.base = *inForce ? (*inForce)->revision.value() : 0;
    }
    return put(inventory, change, *change.base);
}

HttpExchange ConfigurationCommands::sendPut(const Inventory& inventory, const Change& change, std::uint64_t base)
{
    // The change id makes the request idempotent, so it may go to another server after a broken connection.
    const HttpRequest request { "PUT", "", path,
        { { "Content-Type", "application/json" }, { "If-Match", "\"" + std::to_string(base) + "\"" },
            { "Change-Id", change.changeId }, { "Author", change.author } },
        inventory.json() };
    return m_servers.send(request, applyLimit);
}

ExitCode ConfigurationCommands::put(const Inventory& inventory, const Change& change, std::uint64_t base)
{
    return reportApplied(sendPut(inventory, change, base), change, base);
}

ExitCode ConfigurationCommands::reportApplied(const HttpExchange& exchange, const Change& change, std::uint64_t base)
{
    if (!exchange.isSuccess()) {
        auto failure = failureOf(exchange);
        if (failure.runState == RunState::OutcomeUnknown)
            failure.detail += "; repeat with --base " + std::to_string(base) + " --change-id " + change.changeId;
        return m_reporter.failure(failure);
    }
    const auto revision = revisionOf(exchange, base + 1);
    const bool isInForce = change.wait.count() > 0 && waitUntilInForce(revision, change.wait);
    if (change.wait.count() > 0 && !isInForce)
        return m_reporter.failure({ FailureCode::DeadlineExceeded, RunState::RanAndFailed,
            "revision " + std::to_string(revision) + " was accepted, but is not yet in force on every server" });
    return m_reporter.success("revision " + std::to_string(revision) + (isInForce ? " is in force" : " was accepted"),
        { { "revision", revision }, { "change_id", change.changeId }, { "in_force", isInForce } });
}

bool ConfigurationCommands::waitUntilInForce(std::uint64_t revision, std::chrono::seconds limit)
{
    const auto end = m_context.clock.now() + limit;
    const auto isBehind = [&](const std::string& server) {
        const auto exchange = m_servers.sendTo(server, { "GET", "", path, {}, "" });
        return !exchange.isSuccess() || revisionOf(exchange, 0) < revision;
    };
    while (std::any_of(m_servers.servers().begin(), m_servers.servers().end(), isBehind)) {
        if (m_context.clock.now() + pollInterval > end)
            return false;
        m_context.sleep(pollInterval);
    }
    return true;
}

ExitCode ConfigurationCommands::drain(const std::vector<std::string>& targets, Change change)
{
    complete(change);
    for (int attempt = 1;; ++attempt) {
        const auto inForce = current();
        if (!inForce)
            return m_reporter.failure(inForce.lastReason());
        if (!*inForce)
            return m_reporter.failure(noSuchTarget(targets.front()));
        auto parts = (*inForce)->inventory->parts();
        for (const auto& id : targets) {
            const auto target = std::find_if(parts.targets.begin(), parts.targets.end(),
                [&](const Target& candidate) { return candidate.id == TargetId(id); });
            if (target == parts.targets.end())
                return m_reporter.failure(noSuchTarget(id));
            target->state = TargetState::Leaving;
        }
        const auto changed = Inventory::create(std::move(parts));
        if (!changed)
            return m_reporter.failure(changed.lastReason());
        const auto base = (*inForce)->revision.value();
        const auto exchange = sendPut(**changed, change, base);
        const bool isConflict = !exchange.isSuccess() && failureOf(exchange).code == FailureCode::ConfigurationConflict;
        if (!isConflict || attempt == maximumDrainAttempts)
            return reportApplied(exchange, change, base);
    }
}

ExitCode ConfigurationCommands::history(std::size_t limit)
{
    const auto exchange = m_servers.send({ "GET", "", std::string(path) + "/history", {}, "" }, readLimit);
    if (!exchange.isSuccess())
        return m_reporter.failure(readFailureOf(exchange));
    auto entries = entriesOf(Json::parse(exchange.body, nullptr, false));
    if (!entries.is_array())
        return m_reporter.failure({ FailureCode::Internal, RunState::NotRun, "the server's history is not readable" });
    std::string text;
    auto printed = Json::array();
    for (const auto& entry : entries) {
        if (printed.size() == limit)
            break;
        printed.push_back(entry);
        text += entry.is_object() ? lineOf(entry) : entry.dump() + "\n";
    }
    return m_reporter.success(text, { { "entries", printed } });
}

}
