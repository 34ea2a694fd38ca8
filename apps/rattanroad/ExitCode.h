#pragma once

namespace rattanroad::command {

/** Exit statuses of the command. Scripts depend on the values, so they must not change. */
enum class ExitCode {
    Success = 0,
    /** The job or the change failed. */
    Failed = 1,
    /** Wrong usage, or a document or job that is not valid. */
    InvalidInput = 2,
    /** Another change was accepted first. */
    Conflict = 3,
    /** No server answered; nothing was changed. */
    Unreachable = 4,
    /** It is not known whether the job ran or the change was applied. */
    OutcomeUnknown = 5,
};

}
