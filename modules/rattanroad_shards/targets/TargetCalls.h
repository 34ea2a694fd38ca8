#pragma once

#include "rattanroad_shards/types/ShardTypes.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace rattanroad::shards {

/** How a call to a target ended. */
enum class TargetCallResult {
    Done,
    NoCapacity, ///< The target refused a start because it has no room.
    LeaseExpired, ///< The lease of the order had ended when it arrived.
    StaleAttempt, ///< The target has seen this attempt or a later one.
    Fenced, ///< The target has seen a higher fencing token.
    Malformed, ///< The target cannot read the order.
    Refused, ///< The target is unhealthy; nothing was done.
    WrongIncarnation, ///< Another target lives at the address.
    NotSent, ///< No connection came to be.
    Unknown, ///< The order may have been carried out, or may be later.
};

struct StartRequest {
    TargetId target;
    std::string address;
    TaskName task;
    std::uint32_t attempt { 0 };
    std::string payload;
    /** End of the lease on the target's clock, in milliseconds. */
    std::uint64_t leaseEndMs { 0 };
    FencingToken token;
    /** Saved progress to continue from; empty for none. */
    std::string savedProgress;
    /** Limit of the answer. */
    std::chrono::milliseconds timeout { 0 };
};

struct StopRequest {
    TargetId target;
    std::string address;
    TaskName task;
    std::uint32_t attempt { 0 };
    FencingToken token;
    /** Limit of the answer. */
    std::chrono::milliseconds timeout { 0 };
};

/** Renews the lease of everything that runs on a target and asks for what runs and what has ended. */
struct PollRequest {
    TargetId target;
    std::string address;
    FencingToken token;
    /** Ends up to this number need not be reported again. */
    std::uint64_t acknowledgedCompletions { 0 };
    /** End of the lease on the target's clock; absent to look without renewing. */
    std::optional<std::uint64_t> leaseEndMs;
    /** The target waits this long for a new end before it answers. */
    std::chrono::milliseconds wait { 0 };
    /** Limit of the answer after the wait. */
    std::chrono::milliseconds timeout { 0 };
};

struct RunningTask {
    TaskName task;
    std::uint32_t attempt { 0 };
    std::string savedProgress;
};

struct RunCompletion {
    /** Counts the ends of one life of the target from 1. */
    std::uint64_t number { 0 };
    TaskName task;
    std::uint32_t attempt { 0 };
    RunEnding outcome { RunEnding::Interrupted };
    std::string savedProgress;
};

struct TargetReply {
    TargetCallResult result { TargetCallResult::Unknown };
    /** The target's clock when it answered; absent without a body. */
    std::optional<std::uint64_t> clockMs;
    /** Start of the target's present life; 0 when it does not say. */
    std::uint64_t incarnationMs { 0 };
};

struct PollReply : TargetReply {
    std::vector<RunningTask> running;
    std::vector<RunCompletion> completions;
};

/** Calls of a target. Each callback is called exactly once, never inside the call. */
struct TargetCalls {
    std::function<void(const StartRequest&, std::function<void(const TargetReply&)>)> start;
    std::function<void(const StopRequest&, std::function<void(const TargetReply&)>)> stop;
    std::function<void(const PollRequest&, std::function<void(const PollReply&)>)> poll;
};

}
