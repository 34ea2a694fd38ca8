#include "rattanroad/http/Problem.h"

#include <nlohmann/json.hpp>

namespace rattanroad::command {

namespace {

    using Json = nlohmann::json;

    std::string stringField(const Json& problem, const char* key)
    {
        const auto found = problem.find(key);
        return found != problem.end() && found->is_string() ? found->get<std::string>() : "";
    }

    RunState runStateOf(const Json& problem)
    {
        const auto state = stringField(problem, "run_state");
        if (state == name(RunState::NotRun))
            return RunState::NotRun;
        return state == name(RunState::RanAndFailed) ? RunState::RanAndFailed : RunState::OutcomeUnknown;
    }

    FailureCode codeOfStatus(int status)
    {
        if (status == 404)
            return FailureCode::NotFound;
        if (status == 409 || status == 412)
            return FailureCode::ConfigurationConflict;
        if (status == 413)
            return FailureCode::RequestTooLarge;
        return status >= 400 && status < 500 ? FailureCode::MalformedRequest : FailureCode::Internal;
    }

    Failure transportFailure(const HttpExchange& exchange)
    {
        if (exchange.outcome == HttpExchange::Outcome::NotSent)
            return { FailureCode::TargetUnreachable, RunState::NotRun, exchange.detail };
        return { FailureCode::OutcomeUnknown, RunState::OutcomeUnknown, exchange.detail };
    }

}

Failure failureOf(const HttpExchange& exchange)
{
    if (exchange.outcome != HttpExchange::Outcome::ResponseReceived)
        return transportFailure(exchange);
    const auto status = std::to_string(exchange.status);
    const auto problem = Json::parse(exchange.body, nullptr, false);
    if (!problem.is_object() || stringField(problem, "type").empty()) {
        const bool isRefused = exchange.status >= 400 && exchange.status < 500;
        return { codeOfStatus(exchange.status), isRefused ? RunState::NotRun : RunState::OutcomeUnknown,
            "the server returned HTTP status " + status };
    }
    // The type may be a URI whose last segment is the failure code.
    const auto type = stringField(problem, "type");
    const auto begin = type.find_last_of("/:#");
    const auto code = failureCodeFromName(type.substr(begin == std::string::npos ? 0 : begin + 1));
    const auto detail = stringField(problem, "detail");
    return { code, runStateOf(problem), detail.empty() ? stringField(problem, "title") : detail };
}

Failure readFailureOf(const HttpExchange& exchange)
{
    auto failure = failureOf(exchange);
    if (exchange.outcome != HttpExchange::Outcome::ResponseReceived)
        failure = { FailureCode::TargetUnreachable, RunState::NotRun, exchange.detail };
    return failure;
}

ExitCode exitCodeOf(const Failure& failure)
{
    switch (failure.code) {
    case FailureCode::MalformedRequest:
    case FailureCode::RequestTooLarge:
    case FailureCode::InvalidSubmissionId:
    case FailureCode::ConfigurationInvalid:
    case FailureCode::SettingsInvalid:
        return ExitCode::InvalidInput;
    case FailureCode::ConfigurationConflict:
        return ExitCode::Conflict;
    case FailureCode::TargetUnreachable:
        return failure.runState == RunState::NotRun ? ExitCode::Unreachable : ExitCode::OutcomeUnknown;
    default:
        return failure.runState == RunState::OutcomeUnknown ? ExitCode::OutcomeUnknown : ExitCode::Failed;
    }
}

}
