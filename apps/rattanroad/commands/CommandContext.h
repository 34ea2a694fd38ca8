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

/** What a command needs from its surroundings; replaced in tests. */
struct CommandContext {
    HttpTransport transport;
    ServerPool::Sleep sleep;
    const Clock& clock;
    RandomSource& random;
    std::istream& input;
    std::ostream& output;
    std::ostream& errors;
};

/** Prints results and failures, as text for people or as one JSON object a command. */
class Reporter {
public:
    Reporter(CommandContext& context, bool isJson)
        : m_context(context)
        , m_isJson(isJson)
    {
    }

    bool isJson() const { return m_isJson; }

    /** Prints @p text, or @p json when JSON was asked for. */
    ExitCode success(const std::string& text, const nlohmann::json& json) const;
    /** Prints a failure and returns its exit status. */
    ExitCode failure(const Failure& failure) const;
    ExitCode failure(const HttpExchange& exchange) const;

private:
    CommandContext& m_context;
    bool m_isJson;
};

/** Reads a file, or the input when @p name is "-". Fails with FailureCode::MalformedRequest. */
Result<std::string> readFile(const std::string& name, CommandContext& context);

}
