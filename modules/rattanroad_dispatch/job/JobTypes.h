#pragma once

#include "rattanroad_core/failure/Failure.h"
#include "rattanroad_core/identifiers/SubmissionId.h"
#include "rattanroad_core/time/Clock.h"
#include "rattanroad_inventory/inventory/InventoryTypes.h"
#include "rattanroad_protocol/rattanroad_protocol.h"
#include "rattanroad_routing/slots/SlotTypes.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace rattanroad {

/** A caller's request to run a job. */
struct JobRequest {
    /** Absent: this host mints an id. */
    std::optional<SubmissionId> submissionId;
    /** Team, priority, deadline, tasks; JobDescription::idempotency_key may be set. */
    protocol::JobDescription job;
};

/** The answer to a request about a job: complete, in progress (only for queries and asynchronous requests), or failed.
 */
struct JobAnswer {
    std::optional<SubmissionId> submissionId;
    bool isComplete { false };
    bool isInProgress { false };
    /** One result per task, in order; filled only when the job is complete. */
    std::vector<std::string> results;
    /** Why the job failed; its run state holds for the whole job: NotRun only if no task ran. */
    Failure failure;
    /** Hash of the job that the answer belongs to; 0 when it is not known. */
    std::uint64_t jobFingerprint { 0 };
};

/** Returns a hash of team and tasks, so that a reused submission id with another job is noticed. Never 0. */
std::uint64_t fingerprint(const protocol::JobDescription& job);

using AnswerCallback = std::function<void(const JobAnswer&)>;

/** Identifies one attempt at one task. */
struct TaskKey {
    SubmissionId submission;
    TaskIndex task;
    AttemptNumber attempt;
};

/** Request to run one task on its target; issued at most once per key. */
struct TaskStart {
    TaskKey key;
    TargetId target;
    /** IP address and port of the target. */
    std::string address;
    std::string path;
    WorkKind kind;
    std::string payload;
    std::string traceparent;
    std::chrono::milliseconds deadlineLeft;
    std::vector<int> notRunStatuses;
    ConnectionCount connections;
};

/** How one attempt ended, as seen by the sender of the HTTP request. */
struct TaskResult {
    TaskKey key;
    SlotUse use { SlotUse::Unknown };
    /** Response body of a success. */
    std::string result;
    /** Reason of a failure, for people. */
    std::string detail;
    /** Time from sending to the answer. */
    Duration ran { 0 };
};

}
