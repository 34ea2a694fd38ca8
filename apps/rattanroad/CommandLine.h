#pragma once

#include "rattanroad/commands/CommandContext.h"

namespace rattanroad::command {

/** Parses the arguments, runs the subcommand they name and returns its exit status (see ExitCode). */
int runCommandLine(int argumentCount, const char* const* arguments, CommandContext& context);

}
