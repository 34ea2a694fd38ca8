#pragma once

namespace rattanroad::command {

/** Exit statuses of the command; part of its interface, since scripts act on them. */
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
    /** The work or the change may or may not have been carried out. */
    OutcomeUnknown = 5,
};

}
