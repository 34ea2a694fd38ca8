#pragma once

#include "rattanroad/commands/CommandContext.h"

namespace rattanroad::command {

/** Parses the arguments and runs the command they name. Returns the exit status. */
int runCommandLine(int argumentCount, const char* const* arguments, CommandContext& context);

}
