#pragma once

#include "rattanroad_core/identifiers/StrongType.h"

namespace rattanroad {

/** Name of an entry host, unique in the deployment; lower-case letters, digits and '-'. */
using HostId = StrongType<std::string, struct HostIdTag>;
/** Name of a failure domain. */
using FailureDomainId = StrongType<std::string, struct FailureDomainIdTag>;
/** Name of a region, a group of failure domains. */
using RegionId = StrongType<std::string, struct RegionIdTag>;
/** Name of a rack inside a failure domain. */
using RackId = StrongType<std::string, struct RackIdTag>;
/** Name of a worker, the machine that runs targets. */
using WorkerId = StrongType<std::string, struct WorkerIdTag>;
/** Name of a target, the runner that tasks are sent to. */
using TargetId = StrongType<std::string, struct TargetIdTag>;
/** Name of a team, a group of callers that shares a quota. */
using TeamId = StrongType<std::string, struct TeamIdTag>;
/** Name of a kind of work, for example "quote" or "blocking-run". */
using WorkKind = StrongType<std::string, struct WorkKindTag>;
/** Name of a placement or repetition rule. */
using RuleId = StrongType<std::string, struct RuleIdTag>;
/** Identifies one configuration change; chosen by the operator's client. */
using ChangeId = StrongType<std::string, struct ChangeIdTag>;

/** Identifies one process start of an entry host; a restarted host has a different one. */
using Incarnation = StrongType<std::uint64_t, struct IncarnationTag>;
/** Number of a segment within one incarnation, counted from 1. */
using SegmentNumber = StrongType<std::uint32_t, struct SegmentNumberTag>;
/** Number of a submission within a segment, counted from 1. */
using SequenceNumber = StrongType<std::uint64_t, struct SequenceNumberTag>;
/** Version of a segment's view (its owner and journal members); 0 is the view that the submission id names. */
using Epoch = StrongType<std::uint32_t, struct EpochTag>;
/** Configuration revision, raised by one with each accepted change; 0 means that none is installed. */
using Revision = StrongType<std::uint64_t, struct RevisionTag>;
/** Position of a task within its job, counted from 0. */
using TaskIndex = StrongType<std::uint32_t, struct TaskIndexTag>;
/** Number of an attempt at one task, counted from 1. */
using AttemptNumber = StrongType<std::uint32_t, struct AttemptNumberTag>;

}
