#pragma once

#include "rattanroad/commands/CommandContext.h"
#include "rattanroad_configuration/rattanroad_configuration.h"
#include "rattanroad_inventory/rattanroad_inventory.h"

#include <optional>

namespace rattanroad::command {

/** Subcommands on the configuration in force: diff, apply, drain of targets, and history. */
class ConfigurationCommands {
public:
    struct Change {
        /** Revision that the change is based on; the revision in force when not set. */
        std::optional<std::uint64_t> baseRevision;
        /** Idempotency key of the change; a random one is generated when empty. */
        std::string changeId;
        std::string author;
        /** How long to wait for the change to be in force on all given servers; 0 for no wait. */
        std::chrono::seconds wait { 0 };
    };

    ConfigurationCommands(CommandContext& context, const Reporter& reporter, ServerPool& servers);

    ExitCode diff(const Inventory& inventory);
    ExitCode apply(const Inventory& inventory, Change change);
    /** Applies a change that sets the state of @p targets to leaving. After a conflict with another
        change it retries on top of the newer revision.
    */
    ExitCode drain(const std::vector<std::string>& targets, Change change);
    ExitCode history(std::size_t limit);

private:
    /** Fetches the configuration in force; the optional is empty when there is none. */
    Result<std::optional<ConfigurationValue>> fetchConfiguration();
    ExitCode sendAndReport(const Inventory& inventory, const Change& change, std::uint64_t baseRevision);
    HttpExchange sendChange(const Inventory& inventory, const Change& change, std::uint64_t baseRevision);
    ExitCode reportChange(const HttpExchange& exchange, const Change& change, std::uint64_t baseRevision);
    bool waitUntilInForce(std::uint64_t revision, std::chrono::seconds timeLimit);
    void ensureChangeId(Change& change);

    CommandContext& m_context;
    const Reporter& m_reporter;
    ServerPool& m_servers;
};

}
