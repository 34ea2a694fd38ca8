#include "rattanroad_admission/rattanroad_admission.h"
#include "rattanroad_core/rattanroad_core.h"
#include "routing/support/KeeperFixture.h"

#include <catch2/catch.hpp>

using namespace rattanroad;
using namespace std::chrono_literals;

namespace {

protocol::JobDescription makeJob(int tasks, std::uint32_t deadlineMs = 1000, const std::string& kind = "quote")
{
    protocol::JobDescription job;
    job.set_team("buyers");
    job.set_deadline_left_ms(deadlineMs);
    for (int index = 0; index < tasks; ++index)
        job.add_tasks()->set_kind(kind);
    return job;
}

std::optional<FailureCode> codeOf(const std::optional<Failure>& failure)
{
    if (!failure)
        return std::nullopt;
    // A job is refused before any of its tasks starts, so no other run state can be true.
    CHECK(failure->runState == RunState::NotRun);
    return failure->code;
}

}

// Guards against admitting jobs that can only fail later, and against a refusal with the wrong reason.
TEST_CASE("a job is refused with the reason of the first check that fails")
{
    AdmissionControl::Settings settings;
    settings.maximumQueuedTasks = 100;
    settings.maximumTeamShare = 0.5;
    AdmissionControl admission(settings);
    const auto inventory = test::makeInventory(2, 8);
    AdmissionControl::Context idle;
    const auto refusalCode = [&](const protocol::JobDescription& job, const AdmissionControl::Context& context) {
        return codeOf(admission.checkAdmission(job, *inventory, context));
    };
    CHECK_FALSE(refusalCode(makeJob(10), idle));
    CHECK(refusalCode(makeJob(0), idle) == FailureCode::MalformedRequest);
    CHECK(refusalCode(makeJob(261), idle) == FailureCode::RequestTooLarge);
    auto large = makeJob(1);
    large.mutable_tasks(0)->set_payload(std::string((8U << 20U) + 1, 'x'));
    CHECK(refusalCode(large, idle) == FailureCode::RequestTooLarge);
    auto unknownTeam = makeJob(1);
    unknownTeam.set_team("strangers");
    CHECK(refusalCode(unknownTeam, idle) == FailureCode::TeamUnknown);
    CHECK(refusalCode(makeJob(1, 0), idle) == FailureCode::DeadlineUnreachable);
    CHECK(refusalCode(makeJob(1, 600001), idle) == FailureCode::MalformedRequest);
    AdmissionControl::Context draining;
    draining.isDraining = true;
    CHECK(refusalCode(makeJob(1, 1000, "unheard-of"), draining) == FailureCode::NoEligibleTarget);
    CHECK(refusalCode(makeJob(1), draining) == FailureCode::Draining);
    AdmissionControl::Context overloaded;
    overloaded.queueWait = 2s;
    overloaded.recentWait = 2s;
    // On an overloaded host, the expected wait may take at most a quarter of the deadline.
    CHECK(refusalCode(makeJob(1, 1500), overloaded) == FailureCode::DeadlineUnreachable);
    CHECK(refusalCode(makeJob(1, 7999), overloaded) == FailureCode::DeadlineUnreachable);
    CHECK_FALSE(refusalCode(makeJob(1, 8000), overloaded));
    overloaded.longestRunTime = 7s;
    CHECK(refusalCode(makeJob(1, 8000), overloaded) == FailureCode::DeadlineUnreachable);
    AdmissionControl::Context idleWithLongTask;
    idleWithLongTask.longestRunTime = 7s;
    CHECK_FALSE(refusalCode(makeJob(1, 5000), idleWithLongTask));
}

// Guards against a host that admits more than it can finish because no message reports the overload.
TEST_CASE("the expected wait follows the slots granted in the last second")
{
    VirtualClock clock;
    QueueWaitEstimator estimator(clock);
    CHECK_FALSE(estimator.expectedWait(100));
    CHECK(estimator.recentWait() == Duration(0));
    for (int slot = 0; slot < 100; ++slot) {
        estimator.record(30ms);
        clock.advance(10ms);
    }
    REQUIRE(estimator.expectedWait(200));
    CHECK(*estimator.expectedWait(200) >= 1900ms);
    CHECK(*estimator.expectedWait(200) <= 2300ms);
    CHECK(estimator.recentWait() == 30ms);
    clock.advance(2s);
    CHECK_FALSE(estimator.expectedWait(200));
}

// Guards against the refusal of a burst because the number of its first starts is divided by a full second although
// less time has passed.
TEST_CASE("the first starts after an idle time do not raise the expected wait")
{
    VirtualClock clock;
    QueueWaitEstimator estimator(clock);
    for (int slot = 0; slot < 1600; ++slot)
        estimator.record(1ms);
    CHECK_FALSE(estimator.expectedWait(10000));
    for (int slot = 0; slot < 3000; ++slot) {
        clock.advance(50us);
        estimator.record(1ms);
    }
    REQUIRE(estimator.expectedWait(10000));
    CHECK(*estimator.expectedWait(10000) < 500ms);
}

// Guards against admission decisions based on declared times that are wrong by a constant factor.
TEST_CASE("the expected run time follows the measured times of a kind")
{
    RunTimeEstimator estimate;
    const WorkKind kind("quote");
    CHECK(estimate.expectedRunTime(kind, 100ms) == Duration(0));
    for (int sample = 0; sample < 50; ++sample)
        estimate.record(kind, 100ms, 150ms, 2);
    CHECK(estimate.expectedRunTime(kind, 100ms) > 290ms);
    CHECK(estimate.expectedRunTime(kind, 100ms) < 310ms);
}

// Guards against one team filling the queue, and against a queue that grows without bound.
TEST_CASE("queue limits apply per team and per host")
{
    AdmissionControl::Settings settings;
    settings.maximumQueuedTasks = 100;
    settings.maximumTeamShare = 0.5;
    AdmissionControl admission(settings);
    const auto inventory = test::makeInventory(1, 8);
    admission.addQueuedTasks(TeamId("buyers"), 45);
    CHECK_FALSE(admission.checkAdmission(makeJob(5), *inventory, {}));
    CHECK(codeOf(admission.checkAdmission(makeJob(6), *inventory, {})) == FailureCode::QuotaExceeded);
    admission.addQueuedTasks(TeamId("sellers"), 54);
    CHECK(codeOf(admission.checkAdmission(makeJob(2), *inventory, {})) == FailureCode::Overloaded);
    admission.removeQueuedTasks(TeamId("sellers"), 54);
    admission.removeQueuedTasks(TeamId("buyers"), 45);
    CHECK(admission.queuedTasks() == 0);
    CHECK_FALSE(admission.checkAdmission(makeJob(50), *inventory, {}));
}

// Guards against a second execution of a task that may have run.
TEST_CASE("only attempts that did not start and failures that the caller allows to repeat are retried")
{
    PcgRandomSource random(1);
    RetryPolicy retry({}, random);
    const auto firstAttempt = AttemptNumber(1);
    for (const auto policy :
        { protocol::REPEAT_NEVER, protocol::REPEAT_IF_NOT_STARTED, protocol::REPEAT_AFTER_FAILURE }) {
        for (const bool isNeverRepeated : { false, true }) {
            const bool mayRepeatFailure = policy == protocol::REPEAT_AFTER_FAILURE && !isNeverRepeated;
            CHECK(retry.decide(SlotUse::Failed, policy, isNeverRepeated, firstAttempt).mayRetry == mayRepeatFailure);
            const auto unknown = retry.decide(SlotUse::Unknown, policy, isNeverRepeated, firstAttempt);
            CHECK_FALSE(unknown.mayRetry);
            CHECK(unknown.failure.runState == RunState::OutcomeUnknown);
            CHECK(retry.decide(SlotUse::Unreachable, policy, isNeverRepeated, firstAttempt).mayRetry);
            CHECK(retry.decide(SlotUse::Rejected, policy, isNeverRepeated, firstAttempt).mayRetry);
        }
    }
    const auto failed = retry.decide(SlotUse::Failed, protocol::REPEAT_NEVER, false, firstAttempt);
    CHECK(failed.failure.runState == RunState::RanAndFailed);
    const auto exhausted = retry.decide(SlotUse::Unreachable, protocol::REPEAT_NEVER, false, AttemptNumber(4));
    CHECK_FALSE(exhausted.mayRetry);
    CHECK(exhausted.failure.runState == RunState::NotRun);
}

// Guards against a retry storm when all targets fail.
TEST_CASE("retries stay within the initial budget and a tenth of the successes")
{
    PcgRandomSource random(1);
    RetryPolicy retry({}, random);
    const auto countRetries = [&](int failures) {
        int retries = 0;
        for (int index = 0; index < failures; ++index)
            retries += retry.decide(SlotUse::Unreachable, protocol::REPEAT_NEVER, false, AttemptNumber(1)).mayRetry;
        return retries;
    };
    CHECK(countRetries(10000) == 20);
    for (int index = 0; index < 100; ++index)
        retry.recordSuccess();
    const auto refilled = countRetries(1000);
    CHECK(refilled >= 9);
    CHECK(refilled <= 10);
    for (int index = 0; index < 1000000; ++index)
        retry.recordSuccess();
    CHECK(retry.budget() <= 200);
}

// Guards against retries that all happen at the same moment, and against backoffs that are too long.
TEST_CASE("backoff grows, is jittered and bounded")
{
    PcgRandomSource random(1);
    RetryPolicy::Settings settings;
    settings.maximumAttempts = 100;
    settings.initialBudget = 1000;
    RetryPolicy retry(settings, random);
    std::set<Duration> seen;
    for (std::uint32_t attempt = 1; attempt < 100; ++attempt) {
        const auto decision = retry.decide(SlotUse::Rejected, protocol::REPEAT_NEVER, false, AttemptNumber(attempt));
        REQUIRE(decision.mayRetry);
        CHECK(decision.backoff >= 1ms);
        CHECK(decision.backoff <= 200ms);
        seen.insert(decision.backoff);
    }
    CHECK(seen.size() > 90);
}
