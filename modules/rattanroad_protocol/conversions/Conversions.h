#pragma once

#include "rattanroad_core/failure/Failure.h"
#include "rattanroad_core/identifiers/SubmissionId.h"
#include "rattanroad_protocol/generated/rattanroad.pb.h"

namespace rattanroad::protocol {

/** Version of the messages between entry hosts, carried in each Envelope; receivers drop messages of another one. */
constexpr std::uint32_t protocolVersion = 1;

/** Conversions between the protobuf types and the value types of rattanroad_core. */
Segment toMessage(const SegmentKey& key);
SegmentKey fromMessage(const Segment& segment);

FailureDescription toMessage(const Failure& failure);
/** An unknown code becomes FailureCode::Internal, an unknown run state RunState::OutcomeUnknown; the detail is kept. */
Failure fromMessage(const FailureDescription& failure);

}
