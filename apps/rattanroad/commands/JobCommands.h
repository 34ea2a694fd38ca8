#pragma once

#include "rattanroad/commands/CommandContext.h"

namespace rattanroad::command {

/** Commands of callers: ids, submit, query and cancel. */
class JobCommands {
public:
    struct Submission {
        /** Text of the job. */
        std::string job;
        /** Empty: an id is fetched first, so that a broken connection can be followed by the same submission. */
        std::string id;
        /** The caller's own key; then no id is used. */
        std::string key;
        bool isAsynchronous { false };
    };

    JobCommands(const Reporter& reporter, ServerPool& servers);

    ExitCode ids(std::size_t count);
    ExitCode submit(const Submission& submission);
    ExitCode query(const std::string& id);
    ExitCode cancel(const std::string& id);

private:
    Result<std::vector<std::string>> fetchIds(std::size_t count);
    ExitCode reportJob(const HttpExchange& exchange, const std::string& id);

    const Reporter& m_reporter;
    ServerPool& m_servers;
};

}
