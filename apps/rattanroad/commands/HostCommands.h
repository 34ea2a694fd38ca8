#pragma once

#include "rattanroad/commands/CommandContext.h"

namespace rattanroad::command {

/** Subcommands on individual entry hosts: status and drain. */
class HostCommands {
public:
    HostCommands(const Reporter& reporter, ServerPool& servers);

    /** Prints the status of every given server. Fails when none of them returns its status. */
    ExitCode status();
    /** Drains the given server. Fails when several are given, since a drain must not fall back to another host. */
    ExitCode drain();

private:
    const Reporter& m_reporter;
    ServerPool& m_servers;
};

}
