#include "rattanroad/commands/CommandContext.h"

#include "rattanroad/http/Problem.h"

#include <fstream>
#include <iterator>

namespace rattanroad::command {

ExitCode Reporter::success(const std::string& text, const nlohmann::json& json) const
{
    if (m_isJson)
        m_context.output << json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
    else
        m_context.output << text << (text.empty() || text.back() == '\n' ? "" : "\n");
    return ExitCode::Success;
}

ExitCode Reporter::failure(const Failure& failure) const
{
    if (m_isJson) {
        const nlohmann::json object { { "error",
            { { "code", name(failure.code) }, { "run_state", name(failure.runState) },
                { "detail", failure.detail } } } };
        m_context.output << object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
    } else {
        m_context.errors << name(failure.code) << " (" << name(failure.runState) << ")\n" << failure.detail << "\n";
    }
    return exitCodeOf(failure);
}

ExitCode Reporter::failure(const HttpExchange& exchange) const { return failure(failureOf(exchange)); }

Result<std::string> readFile(const std::string& name, CommandContext& context)
{
    if (name == "-")
        return std::string(std::istreambuf_iterator<char>(context.input), {});
    std::ifstream file(name, std::ios::binary);
    std::string text(std::istreambuf_iterator<char>(file), {});
    if (!file)
        return Failure { FailureCode::MalformedRequest, RunState::NotRun, "cannot read " + name };
    return text;
}

}
