#include "rattanroad_core/rattanroad_core.h"
#include "rattanroad_protocol/rattanroad_protocol.h"

#include <catch2/catch.hpp>

using namespace rattanroad;

namespace {

SubmissionId exampleId()
{
    SubmissionId id;
    id.segment = { FailureDomainId("remera"), HostId("remera-1"), Incarnation(0x18c2f3a9b1d4e5f6), SegmentNumber(3) };
    id.backups = { HostId("remera-2"), HostId("kimironko-1") };
    id.sequence = SequenceNumber(77);
    return id;
}

}

// Guards against a part of an id being lost when a caller sends the text form back.
TEST_CASE("parsing the text form of a submission id returns the same id")
{
    const auto id = exampleId();
    const auto parsed = SubmissionId::parse(id.text());
    REQUIRE(parsed);
    CHECK(*parsed == id);
    CHECK(parsed->backups == id.backups);
    CHECK(parsed->segment.failureDomain == id.segment.failureDomain);
}

// Guards against a mistyped id being accepted as the id of another submission.
TEST_CASE("a changed character makes a submission id invalid")
{
    const auto text = exampleId().text();
    for (size_t position = 0; position < text.size(); ++position) {
        auto changed = text;
        changed[position] = changed[position] == '7' ? '8' : '7';
        INFO(changed);
        CHECK_FALSE(SubmissionId::parse(changed));
    }
    CHECK(SubmissionId::parse("").lastReason().code == FailureCode::InvalidSubmissionId);
}

// Guards against reading a run state that only a newer peer knows as "not run", which would allow a repetition.
TEST_CASE("an unknown run state is read as outcome unknown")
{
    protocol::FailureDescription description;
    description.set_code("from-the-future");
    description.set_run_state(static_cast<protocol::RunState>(9));
    const auto failure = protocol::fromMessage(description);
    CHECK(failure.runState == RunState::OutcomeUnknown);
    CHECK(failure.code == FailureCode::Internal);
}

TEST_CASE("every failure code has a unique name")
{
    for (int value = 0; value <= static_cast<int>(FailureCode::Internal); ++value) {
        const auto code = static_cast<FailureCode>(value);
        CHECK(failureCodeFromName(name(code)) == code);
    }
}
