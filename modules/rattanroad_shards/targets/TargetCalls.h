#pragma once

#include "rattanroad_shards/types/ShardTypes.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace rattanroad::shards {

/** Result of a call to a target. */
enum class TargetCallResult {
    Done,
    NoCapacity, ///< The target refused a start because it has no room.
    LeaseExpired, ///< The lease in the request had expired when it arrived.
    StaleAttempt, ///< The target has seen this attempt or a later one.
    Fenced, ///< The target has seen a higher fencing token.
    Malformed, ///< The target cannot parse the request.
    Refused, ///< The target is overloaded or unhealthy; nothing was done.
    WrongTarget, ///< Another target answers at the address; nothing was done.
    NotSent, ///< No connection could be opened.
    Unknown, ///< No answer: the request may have been carried out, or may be later.
};

struct StartRequest {
    TargetId target;
    std::string address;
    TaskId task;
    std::uint32_t attempt { 0 };
    std::string payload;
    /** End of the lease on the target's clock, in milliseconds. */
    std::uint64_t leaseEndMs { 0 };
    FencingToken token;
    /** Saved progress to continue from; empty for none. */
    std::string savedProgress;
    /** Limit for the reply. */
    std::chrono::milliseconds timeout { 0 };
};

struct StopRequest {
    TargetId target;
    std::string address;
    TaskId task;
    std::uint32_t attempt { 0 };
    FencingToken token;
    /** Limit for the reply. */
    std::chrono::milliseconds timeout { 0 };
};

/** Long poll of a target (its path is /hold): renews the lease of all its runs and returns the active runs and the
    run completions that are not acknowledged yet.
*/
struct PollRequest {
    TargetId target;
    std::string address;
    FencingToken token;
    /** Completions up to this number need not be reported again. */
    std::uint64_t acknowledgedCompletions { 0 };
    /** End of the lease on the target's clock; absent to poll without renewing. */
    std::optional<std::uint64_t> leaseEndMs;
    /** Time that the target waits for a new completion before it answers. */
    std::chrono::milliseconds wait { 0 };
    /** Limit for the reply, counted from the end of the wait. */
    std::chrono::milliseconds timeout { 0 };
};

struct RunningTask {
    TaskId task;
    std::uint32_t attempt { 0 };
    std::string savedProgress;
};

struct RunCompletion {
    /** Counts the completions of one incarnation of the target from 1. */
    std::uint64_t number { 0 };
    TaskId task;
    std::uint32_t attempt { 0 };
    RunOutcome outcome { RunOutcome::Interrupted };
    std::string savedProgress;
};

/** A run whose target fell silent or restarted before it reported the completion. */
struct RunLoss {
    TaskId task;
    /** Start time of the target incarnation that had the run. */
    std::uint64_t incarnationMs { 0 };
    /** The target has confirmed the start; otherwise the run may never have begun. */
    bool isStartConfirmed { false };
    /** A later incarnation has answered. Otherwise the target may also have been cut off. */
    bool hasRestarted { false };
    /** The target had no other run. */
    bool wasAlone { false };
};

struct TargetReply {
    TargetCallResult result { TargetCallResult::Unknown };
    /** The target's clock when it answered, in milliseconds; absent without a body. */
    std::optional<std::uint64_t> clockMs;
    /** Start time of the target's process in milliseconds, which identifies its incarnation; 0 when the reply does not
        name it. Replies to polls name it. */
    std::uint64_t incarnationMs { 0 };
};

struct PollReply : TargetReply {
    std::vector<RunningTask> running;
    std::vector<RunCompletion> completions;
    /** The target lists no more completions at a time and may have others. */
    bool mayHaveMoreCompletions { false };
};

/** Asynchronous calls to targets. Each callback is called exactly once, never inside the call. */
struct TargetCalls {
    std::function<void(const StartRequest&, std::function<void(const TargetReply&)>)> start;
    std::function<void(const StopRequest&, std::function<void(const TargetReply&)>)> stop;
    std::function<void(const PollRequest&, std::function<void(const PollReply&)>)> poll;
};

}
