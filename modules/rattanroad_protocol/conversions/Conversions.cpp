#include "rattanroad_protocol/conversions/Conversions.h"

namespace rattanroad::protocol {

namespace {

    RunState toMessage(rattanroad::RunState state)
    {
        switch (state) {
        case rattanroad::RunState::NotRun:
            return NOT_RUN;
        case rattanroad::RunState::RanAndFailed:
            return RAN_AND_FAILED;
        case rattanroad::RunState::OutcomeUnknown:
            break;
        }
        return OUTCOME_UNKNOWN;
    }

    rattanroad::RunState fromMessage(RunState state)
    {
        if (state == NOT_RUN)
            return rattanroad::RunState::NotRun;
        if (state == RAN_AND_FAILED)
            return rattanroad::RunState::RanAndFailed;
        // A state that this version does not know must not be read as "not run": the work may have run.
        return rattanroad::RunState::OutcomeUnknown;
    }

}

Segment toMessage(const SegmentKey& key)
{
    Segment segment;
    segment.set_failure_domain(key.failureDomain.value());
    segment.set_owner(key.owner.value());
    segment.set_incarnation(key.incarnation.value());
    segment.set_number(key.segment.value());
    return segment;
}

SegmentKey fromMessage(const Segment& segment)
{
    return { FailureDomainId(segment.failure_domain()), HostId(segment.owner()), Incarnation(segment.incarnation()),
        SegmentNumber(segment.number()) };
}

FailureDescription toMessage(const Failure& failure)
{
    FailureDescription description;
    description.set_code(name(failure.code));
    description.set_run_state(toMessage(failure.runState));
    description.set_detail(failure.detail);
    return description;
}

Failure fromMessage(const FailureDescription& description)
{
    Failure failure;
    failure.code = failureCodeFromName(description.code());
    failure.runState = fromMessage(description.run_state());
    failure.detail = description.detail();
    return failure;
}

}
