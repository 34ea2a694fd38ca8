#include "rattanroad/commands/ExplainCommand.h"

#include <algorithm>
#include <sstream>

namespace rattanroad::command {

using Json = nlohmann::json;

namespace {
    /** Returns the JSON object at the end of a log line, or a JSON value of another type when there is none. */
    Json parseLine(const std::string& line)
    {
        const std::size_t begin = line.find('{');
        return begin == std::string::npos ? Json() : Json::parse(line.substr(begin), nullptr, false);
    }

    std::string stringField(const Json& line, const char* name)
    {
        const auto found = line.find(name);
        return found != line.end() && found->is_string() ? found->get<std::string>() : std::string();
    }
}

ExplainCommand::ExplainCommand(const Reporter& reporter, CommandContext& context)
    : m_reporter(reporter)
    , m_context(context)
{
}

ExitCode ExplainCommand::explain(const std::string& job, const std::vector<std::string>& files)
{
    std::vector<Json> lines;
    for (const std::string& file : files) {
        const auto text = readFile(file, m_context);
        if (!text)
            return m_reporter.failure(text.lastReason());
        std::istringstream stream(*text);
        for (std::string line; std::getline(stream, line);) {
            Json parsed = parseLine(line);
            if (parsed.is_object() && stringField(parsed, "job") == job)
                lines.push_back(std::move(parsed));
        }
    }
    if (lines.empty())
        return m_reporter.failure(
            Failure { FailureCode::NotFound, RunState::NotRun, "no log line mentions job " + job });
    std::stable_sort(lines.begin(), lines.end(),
        [](const Json& left, const Json& right) { return stringField(left, "time") < stringField(right, "time"); });
    std::string text;
    for (const Json& line : lines)
        text += stringField(line, "time") + " " + stringField(line, "host") + " " + stringField(line, "event") + ": "
            + stringField(line, "detail") + "\n";
    return m_reporter.success(text, { { "job", job }, { "lines", lines } });
}

}
