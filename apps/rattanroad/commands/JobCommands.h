#pragma once

#include "rattanroad/commands/CommandContext.h"

namespace rattanroad::command {

/** Subcommands for callers: ids, submit, query and cancel. */
class JobCommands {
public:
    struct Submission {
        /** The job as JSON text. */
        std::string job;
        /** Submission id; the job's own submission_id when empty. Without either and without a key, an id is fetched
            before the job is sent, so that the same submission can be resent after a lost connection.
        */
        std::string id;
        /** Idempotency key chosen by the caller, sent instead of a submission id. */
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
