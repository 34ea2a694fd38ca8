#include "rattanroad_shards/jobs/JobCodec.h"

#include <catch2/catch.hpp>

using namespace rattanroad;
using namespace rattanroad::shards;

namespace {

ShardJob jobWithTask()
{
    ShardJob job;
    job.id = JobId("a");
    job.phases.resize(1);
    job.phases.front().resize(1);
    return job;
}

ShardTask& onlyTask(ShardJob& job) { return job.phases.front().front(); }

std::optional<LostRun> noRun(const TaskId&) { return std::nullopt; }

const FailedRun first { TargetId("target-0"), 100, 1 };
const FailedRun second { TargetId("target-1"), 200, 1001 };

}

// A holder that knows only how often a task has failed counts the same runs again when their targets report them.
TEST_CASE("the record and the handover of a job name its failed runs")
{
    ShardJob job = jobWithTask();
    onlyTask(job).failedRuns = { first, second };
    ShardJob copy = jobWithTask();
    SECTION("record")
    {
        protocol::JobRecord record;
        REQUIRE(record.ParseFromString(encodeRecord(job, ShardId("north"), noRun)));
        applyProgress(record, copy, TimePoint());
    }
    SECTION("handover") { applyHandover(encodeHandover(job, TimePoint(), noRun), copy, TimePoint()); }
    CHECK(onlyTask(copy).failedRuns == onlyTask(job).failedRuns);
    CHECK(onlyTask(copy).failureCount() == 2);
}

// During a rolling update, records of both builds are in the store.
TEST_CASE("failed runs that an earlier build counted without naming them still count")
{
    ShardJob job = jobWithTask();
    onlyTask(job).failedRuns = { first, second };
    protocol::JobRecord record;
    REQUIRE(record.ParseFromString(encodeRecord(job, ShardId("north"), noRun)));
    CHECK(record.progress(0).failed_runs() == 2);
    record.mutable_progress(0)->set_failed_runs(3);
    record.mutable_progress(0)->mutable_failures()->RemoveLast();
    ShardJob copy = jobWithTask();
    applyProgress(record, copy, TimePoint());
    CHECK(onlyTask(copy).failureCount() == 3);
    CHECK(onlyTask(copy).failedRuns == std::vector<FailedRun> { first });
    // The count goes on to the next record.
    REQUIRE(record.ParseFromString(encodeRecord(copy, ShardId("north"), noRun)));
    CHECK(record.progress(0).failed_runs() == 3);
}
