#include "api/ProblemResponse.h"

#include <nlohmann/json.hpp>

namespace rattanroad::daemon {

int httpStatus(FailureCode code)
{
    switch (code) {
    case FailureCode::MalformedRequest:
    case FailureCode::InvalidSubmissionId:
        return 400;
    case FailureCode::TeamUnknown:
        return 403;
    case FailureCode::NotFound:
        return 404;
    case FailureCode::SubmissionMismatch:
    case FailureCode::Cancelled:
    case FailureCode::ConfigurationConflict:
        return 409;
    case FailureCode::SubmissionExpired:
        return 410;
    case FailureCode::RequestTooLarge:
        return 413;
    case FailureCode::NoEligibleTarget:
    case FailureCode::ConfigurationInvalid:
        return 422;
    case FailureCode::QuotaExceeded:
        return 429;
    case FailureCode::TaskFailed:
    case FailureCode::TargetUnreachable:
        return 502;
    case FailureCode::NotDecidedHere:
    case FailureCode::DeadlineUnreachable:
    case FailureCode::Overloaded:
    case FailureCode::Draining:
    case FailureCode::ConfigurationMissing:
    case FailureCode::StoreUnavailable:
        return 503;
    case FailureCode::OutcomeUnknown:
    case FailureCode::DeadlineExceeded:
        return 504;
    case FailureCode::SettingsInvalid:
    case FailureCode::Internal:
        return 500;
    }
    return 500;
}

HttpResponse problemResponse(const Failure& failure, const std::optional<SubmissionId>& id)
{
    const int status = httpStatus(failure.code);
    std::string title = name(failure.code);
    for (char& character : title)
        character = character == '-' ? ' ' : character;
    nlohmann::json body { { "type", std::string("https://rattanroad.example/problems/") + name(failure.code) },
        { "title", title }, { "status", status }, { "detail", failure.detail },
        { "run_state", name(failure.runState) } };
    if (id)
        body["submission_id"] = id->text();
    // A detail may quote what a caller or a target sent, in any encoding.
    const auto replace = nlohmann::json::error_handler_t::replace;
    return { status, "application/problem+json", {}, body.dump(-1, ' ', false, replace) };
}

}
