#pragma once

#include "rattanroad/commands/CommandContext.h"

#include <vector>

namespace rattanroad::command {

/** Prints the way of one request from the logs of entry hosts. */
class ExplainCommand {
public:
    ExplainCommand(const Reporter& reporter, CommandContext& context);

    /** Prints the lines about @p job in @p files ("-" for the input) in the order of their time. Text before the JSON
        object of a line is ignored, as log collectors add it. Fails when no line is about the job.
    */
    ExitCode explain(const std::string& job, const std::vector<std::string>& files);

private:
    const Reporter& m_reporter;
    CommandContext& m_context;
};

}
