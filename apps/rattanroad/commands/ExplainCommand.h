#pragma once

#include "rattanroad/commands/CommandContext.h"

#include <vector>

namespace rattanroad::command {

/** Subcommand that collects the log lines of one job from the logs of several entry hosts. */
class ExplainCommand {
public:
    ExplainCommand(const Reporter& reporter, CommandContext& context);

    /** Prints the log lines of @p job in @p files ("-" for standard input), sorted by time. Text before the JSON object
        of a line, which log collectors add, is ignored. Fails with FailureCode::NotFound when there is no such line.
    */
    ExitCode explain(const std::string& job, const std::vector<std::string>& files);

private:
    const Reporter& m_reporter;
    CommandContext& m_context;
};

}
