#pragma once

#include "rattanroad/commands/CommandContext.h"
#include "rattanroad_inventory/rattanroad_inventory.h"

namespace rattanroad::command {

/** Commands on local documents: check and import. */
class DocumentCommands {
public:
    struct ImportFiles {
        std::string workers;
        std::string targets;
        std::vector<std::string> documents;
        bool areUnknownColumnsIgnored { false };
        /** Empty for the standard output. */
        std::string output;
    };

    DocumentCommands(CommandContext& context, const Reporter& reporter);

    ExitCode check(const std::string& file);
    ExitCode import(const ImportFiles& files);

    /** Reads and checks a document; faults name file, line and column. */
    Result<std::shared_ptr<const Inventory>> load(const std::string& file);

private:
    Result<SourceFile> read(const std::string& name);
    ExitCode write(const Inventory& inventory, const std::string& output);

    CommandContext& m_context;
    const Reporter& m_reporter;
};

}
