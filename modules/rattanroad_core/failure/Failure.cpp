#include "rattanroad_core/failure/Failure.h"

namespace rattanroad {

const char* name(FailureCode code)
{
    switch (code) {
    case FailureCode::MalformedRequest:
        return "malformed-request";
    case FailureCode::RequestTooLarge:
        return "request-too-large";
    case FailureCode::InvalidSubmissionId:
        return "invalid-submission-id";
    case FailureCode::SubmissionMismatch:
        return "submission-mismatch";
    case FailureCode::NotDecidedHere:
        return "not-decided-here";
    case FailureCode::OutcomeUnknown:
        return "outcome-unknown";
    case FailureCode::SubmissionExpired:
        return "submission-expired";
    case FailureCode::NoEligibleTarget:
        return "no-eligible-target";
    case FailureCode::DeadlineUnreachable:
        return "deadline-unreachable";
    case FailureCode::DeadlineExceeded:
        return "deadline-exceeded";
    case FailureCode::TeamUnknown:
        return "team-unknown";
    case FailureCode::QuotaExceeded:
        return "quota-exceeded";
    case FailureCode::Overloaded:
        return "overloaded";
    case FailureCode::Draining:
        return "draining";
    case FailureCode::Cancelled:
        return "cancelled";
    case FailureCode::TaskFailed:
        return "task-failed";
    case FailureCode::TargetUnreachable:
        return "target-unreachable";
    case FailureCode::ConfigurationInvalid:
        return "configuration-invalid";
    case FailureCode::ConfigurationConflict:
        return "configuration-conflict";
    case FailureCode::ConfigurationMissing:
        return "configuration-missing";
    case FailureCode::StoreUnavailable:
        return "store-unavailable";
    case FailureCode::SettingsInvalid:
        return "settings-invalid";
    case FailureCode::NotFound:
        return "not-found";
    case FailureCode::Internal:
        break;
    }
    return "internal";
}

FailureCode failureCodeFromName(std::string_view text)
{
    for (int value = 0; value < static_cast<int>(FailureCode::Internal); ++value) {
        const auto code = static_cast<FailureCode>(value);
        if (text == name(code))
            return code;
    }
    return FailureCode::Internal;
}

const char* name(RunState state)
{
    switch (state) {
    case RunState::NotRun:
        return "not_run";
    case RunState::RanAndFailed:
        return "ran_and_failed";
    case RunState::OutcomeUnknown:
        break;
    }
    return "outcome_unknown";
}

}
