#pragma once

#include "rattanroad/ExitCode.h"
#include "rattanroad/http/HttpTypes.h"
#include "rattanroad/http/ServerPool.h"
#include "rattanroad_core/failure/Result.h"
#include "rattanroad_core/random/RandomSource.h"
#include "rattanroad_core/time/Clock.h"

#include <nlohmann/json.hpp>

#include <istream>
#include <ostream>

namespace rattanroad::command {

/** External dependencies of the commands, which tests replace. Must outlive the commands that use it. */
struct CommandContext {
    HttpTransport transport;
    ServerPool::Sleep sleep;
    const Clock& clock;
    RandomSource& random;
    std::istream& input;
    std::ostream& output;
    std::ostream& errors;
};

/** Prints the result or failure of a command, as text or as a single JSON object. */
class Reporter {
public:
    Reporter(CommandContext& context, bool isJson)
        : m_context(context)
        , m_isJson(isJson)
    {
    }

    bool isJson() const { return m_isJson; }

    /** Prints @p text, or @p json in JSON mode, and returns ExitCode::Success. */
    ExitCode success(const std::string& text, const nlohmann::json& json) const;
    /** Prints the failure, to the error stream in text mode and to the output in JSON mode, and returns its exit
        status.
    */
    ExitCode failure(const Failure& failure) const;
    ExitCode failure(const HttpExchange& exchange) const;

private:
    CommandContext& m_context;
    bool m_isJson;
};

/** Reads a file, or CommandContext::input when @p name is "-". Fails with FailureCode::MalformedRequest. */
Result<std::string> readFile(const std::string& name, CommandContext& context);

}
