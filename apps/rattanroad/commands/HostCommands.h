#pragma once

#include "rattanroad/commands/CommandContext.h"

namespace rattanroad::command {

/** Commands on single entry hosts: status and drain. */
class HostCommands {
public:
    HostCommands(const Reporter& reporter, ServerPool& servers);

    /** Prints the status of every given server; fails when none can be reached. */
    ExitCode status();
    /** Drains the only given server. There is no next server: draining another host would be a mistake. */
    ExitCode drain();

private:
    const Reporter& m_reporter;
    ServerPool& m_servers;
};

}
