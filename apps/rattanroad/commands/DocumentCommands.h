#pragma once

#include "rattanroad/commands/CommandContext.h"
#include "rattanroad_inventory/rattanroad_inventory.h"

namespace rattanroad::command {

/** Subcommands on local inventory documents: check and import. */
class DocumentCommands {
public:
    struct ImportFiles {
        std::string workers;
        std::string targets;
        /** JSON documents with the other parts of the inventory: failure domains, teams, rules and entry hosts. */
        std::vector<std::string> documents;
        bool areUnknownColumnsIgnored { false };
        /** File to write; standard output when empty. */
        std::string output;
    };

    DocumentCommands(CommandContext& context, const Reporter& reporter);

    ExitCode check(const std::string& file);
    ExitCode import(const ImportFiles& files);

    /** Reads and validates an inventory document. Errors name the file, line and column. */
    Result<std::shared_ptr<const Inventory>> load(const std::string& file);

private:
    Result<SourceFile> read(const std::string& name);
    ExitCode write(const Inventory& inventory, const std::string& output);

    CommandContext& m_context;
    const Reporter& m_reporter;
};

}
