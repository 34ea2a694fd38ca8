#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace rattanroad {

/** One thing that a caller, a target, an operator or the driver of the faults saw. Nothing in a history is the system's
    own word about itself except its answers to callers.
*/
struct HistoryEvent {
    enum class Kind {
        Invoked, ///< A caller sent a request to the host in @p host.
        Answered, ///< The caller received the answer.
        ConnectionLost, ///< The caller's connection broke before the answer.
        Started, ///< A target began to run a task.
        Ended, ///< The target finished the task; @p isSuccess and @p result tell how.
        RevisionAccepted, ///< The store accepted the operator's change.
        RevisionSeen, ///< A host process reported the revision in force.
        TargetLeaving, ///< An operator or the platform told the target in @p target to leave.
        TargetActive, ///< The target serves again.
        ShutdownRequested, ///< An operator asked the host process for a graceful shutdown.
        ProcessStarted,
        ProcessEnded, ///< The host process exited or was killed.
        HostUnreachable, ///< The driver froze the host or cut it off from where configurations come from; may nest.
        HostReachable,
    };

    Kind kind { Kind::Invoked };
    std::int64_t timeUs { 0 };
    /** Host process, "name#start number"; set for host events and for Invoked. */
    std::string host;
    /** Caller's number of the request, unique in the history. */
    std::string request;
    /** Caller's own name of the submission. Requests that resubmit the same work carry the same name, and the payload
       of each task carries it to the target. */
    std::string submission;
    std::uint32_t task { 0 };
    std::string target;
    std::uint64_t revision { 0 };

    /** Invoked: tasks of the job, and the repeat policy: "never", "if-not-started" or "after-failure";
       "cancel" for a request to cancel the submission. */
    std::uint32_t taskCount { 0 };
    std::string repeat;

    /** Answered: complete, or failed with a run state and a code. A complete answer that is an acknowledgement only
       (in progress) is not recorded. */
    bool isComplete { false };
    std::string runState;
    std::string code;
    std::vector<std::string> results;

    /** Ended. */
    bool isSuccess { false };
    std::string result;
};

/** Returns the stable name of @p kind in the file format, for example "revision_seen". */
const char* name(HistoryEvent::Kind kind);

}
