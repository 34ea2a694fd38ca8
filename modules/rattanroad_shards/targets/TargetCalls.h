#pragma once

#include "rattanroad_shards/types/ShardTypes.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace rattanroad::shards {

/** How a call to a target ended. */
enum class TargetEnding {
    Done,
    NoRoom, ///< The target refused a start because it has no room.
    TooLate, ///< The lease of the order had ended when it arrived.
    Outdated, ///< The target has seen this attempt or a later one.
    Fenced, ///< The target has seen a higher fencing token.
    Malformed, ///< The target cannot read the order.
    Refused, ///< The target is unhealthy; nothing was done.
    OtherLife, ///< Another target lives at the address.
    NotSent, ///< No connection came to be.
    Unknown, ///< The order may have been carried out, or may be later.
};

struct StartOrder {
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
    /** Limit of the answer. */
    std::chrono::milliseconds timeout { 0 };
};

struct StopOrder {
    TargetId target;
    std::string address;
    TaskId task;
    std::uint32_t attempt { 0 };
    FencingToken token;
    /** Limit of the answer. */
    std::chrono::milliseconds timeout { 0 };
};

/** Renews the lease of everything that runs on a target and asks for what runs and what has ended. */
struct HoldOrder {
    TargetId target;
    std::string address;
    FencingToken token;
    /** Ends up to this number need not be reported again. */
    std::uint64_t acknowledgedEnds { 0 };
    /** End of the lease on the target's clock; absent to look without renewing. */
    std::optional<std::uint64_t> leaseEndMs;
    /** The target waits this long for a new end before it answers. */
    std::chrono::milliseconds wait { 0 };
    /** Limit of the answer after the wait. */
    std::chrono::milliseconds timeout { 0 };
};

struct RunningTask {
    TaskId task;
    std::uint32_t attempt { 0 };
    std::string savedProgress;
};

struct EndedTask {
    /** Counts the ends of one life of the target from 1. */
    std::uint64_t number { 0 };
    TaskId task;
    std::uint32_t attempt { 0 };
    RunOutcome ending { RunOutcome::Interrupted };
    std::string savedProgress;
};

struct TargetReply {
    TargetEnding ending { TargetEnding::Unknown };
    /** The target's clock when it answered; absent without a body. */
    std::optional<std::uint64_t> clockMs;
    /** Start of the target's present life; 0 when it does not say. */
    std::uint64_t bornMs { 0 };
};

struct HoldReply : TargetReply {
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended;
};

/** Calls of a target. Each callback is called exactly once, never inside the call. */
struct TargetCalls {
    std::function<void(const StartOrder&, std::function<void(const TargetReply&)>)> start;
    std::function<void(const StopOrder&, std::function<void(const TargetReply&)>)> stop;
    std::function<void(const HoldOrder&, std::function<void(const HoldReply&)>)> hold;
};

}
