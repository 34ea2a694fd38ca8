#pragma once

#include "rattanroad/commands/CommandContext.h"
#include "rattanroad_configuration/rattanroad_configuration.h"
#include "rattanroad_inventory/rattanroad_inventory.h"

#include <optional>

namespace rattanroad::command {

/** Commands on the configuration in force: diff, apply, drain of targets, and history. */
class ConfigurationCommands {
public:
    struct Change {
        /** Absent: the revision in force. */
        std::optional<std::uint64_t> base;
        /** Empty: a random one. */
        std::string changeId;
        std::string author;
        /** Wait for the change to be in force on all given servers; 0 for no wait. */
        std::chrono::seconds wait { 0 };
    };

    ConfigurationCommands(CommandContext& context, const Reporter& reporter, ServerPool& servers);

    ExitCode diff(const Inventory& inventory);
    ExitCode apply(const Inventory& inventory, Change change);
    /** Applies a change that sets @p targets leaving; starts again from the newer revision after a conflict. */
    ExitCode drain(const std::vector<std::string>& targets, Change change);
    ExitCode history(std::size_t limit);

private:
    /** Nothing when no configuration is in force. */
    Result<std::optional<ConfigurationValue>> current();
    ExitCode put(const Inventory& inventory, const Change& change, std::uint64_t base);
    HttpExchange sendPut(const Inventory& inventory, const Change& change, std::uint64_t base);
    ExitCode reportApplied(const HttpExchange& exchange, const Change& change, std::uint64_t base);
    bool waitUntilInForce(std::uint64_t revision, std::chrono::seconds limit);
    void complete(Change& change);

    CommandContext& m_context;
    const Reporter& m_reporter;
    ServerPool& m_servers;
};

}
