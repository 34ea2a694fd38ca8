#pragma once

#include <string>
#include <string_view>

namespace rattanroad {

/** What is known about the execution of failed work. */
enum class RunState {
    NotRun,
    RanAndFailed,
    OutcomeUnknown,
};

/** Type of a failure that rattanroad reports. Its name is part of the HTTP interface and never changes. */
enum class FailureCode {
    MalformedRequest,
    RequestTooLarge,
    InvalidSubmissionId,
    SubmissionMismatch,
    NotDecidedHere,
    OutcomeUnknown,
    SubmissionExpired,
    NoEligibleTarget,
    DeadlineUnreachable,
    DeadlineExceeded,
    TeamUnknown,
    QuotaExceeded,
    Overloaded,
    Draining,
    Cancelled,
    TaskFailed,
    TargetUnreachable,
    ConfigurationInvalid,
    ConfigurationConflict,
    ConfigurationMissing,
    StoreUnavailable,
    SettingsInvalid,
    NotFound,
    Internal, // must stay last: failureCodeFromName() searches the values before it
};

/** Returns the stable name of @p code, for example "outcome-unknown". */
const char* name(FailureCode code);
/** Returns the code with the stable name @p text, or FailureCode::Internal when there is none. */
FailureCode failureCodeFromName(std::string_view text);
/** Returns the stable name of @p state: "not_run", "ran_and_failed" or "outcome_unknown". */
const char* name(RunState state);

/** A failure with its type, what is known about the execution of the work, and a human-readable detail. */
struct Failure {
    FailureCode code { FailureCode::Internal };
    RunState runState { RunState::NotRun };
    std::string detail;
};

}
