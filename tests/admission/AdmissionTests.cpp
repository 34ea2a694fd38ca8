#include "rattanroad_admission/rattanroad_admission.h"
#include "rattanroad_core/rattanroad_core.h"
#include "routing/support/Fleet.h"

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
    // A refusal happens before anything starts, so any other run state would be a false statement.
    CHECK(failure->runState == RunState::NotRun);
    return failure->code;
}

}

// Guards against jobs entering that can only fail later, and against a wrong reason being told.
TEST_CASE("a job is refused with the first reason that holds")
{
    AdmissionControl::Settings settings;
    settings.maximumQueuedTasks = 100;
    settings.maximumTeamShare = 0.5;
    AdmissionControl admission(settings);
    const auto inventory = test::makeInventory(2, 8);
    AdmissionControl::Context idle;
    const auto refuse = [&](const protocol::JobDescription& job, const AdmissionControl::Context& situation) {
        return codeOf(admission.checkAdmission(job, *inventory, situation));
    };
    CHECK_FALSE(refuse(makeJob(10), idle));
    CHECK(refuse(makeJob(0), idle) == FailureCode::MalformedRequest);
    CHECK(refuse(makeJob(261), idle) == FailureCode::RequestTooLarge);
    auto large = makeJob(1);
    large.mutable_tasks(0)->set_payload(std::string((8U << 20U) + 1, 'x'));
    CHECK(refuse(large, idle) == FailureCode::RequestTooLarge);
    auto stranger = makeJob(1);
    stranger.set_team("strangers");
    CHECK(refuse(stranger, idle) == FailureCode::TeamUnknown);
    CHECK(refuse(makeJob(1, 0), idle) == FailureCode::DeadlineUnreachable);
    CHECK(refuse(makeJob(1, 600001), idle) == FailureCode::MalformedRequest);
    AdmissionControl::Context draining;
    draining.isDraining = true;
    CHECK(refuse(makeJob(1, 1000, "unheard-of"), draining) == FailureCode::NoEligibleTarget);
    CHECK(refuse(makeJob(1), draining) == FailureCode::Draining);
    AdmissionControl::Context busy;
    busy.queueWait = 2s;
    busy.recentWait = 2s;
    // A quarter of the deadline may be spent waiting.
    CHECK(refuse(makeJob(1, 1500), busy) == FailureCode::DeadlineUnreachable);
    CHECK(refuse(makeJob(1, 7999), busy) == FailureCode::DeadlineUnreachable);
    CHECK_FALSE(refuse(makeJob(1, 8000), busy));
    busy.longestRun = 7s;
    CHECK(refuse(makeJob(1, 8000), busy) == FailureCode::DeadlineUnreachable);
    AdmissionControl::Context idleButLong;
    idleButLong.longestRun = 7s;
    CHECK_FALSE(refuse(makeJob(1, 5000), idleButLong));
}

// Guards against an overload that admits more than can finish because no message tells of it.
TEST_CASE("the queue's wait follows the slots won in the last second")
{
    VirtualClock clock;
    QueueWaitEstimator rate(clock);
    CHECK_FALSE(rate.expectedWait(100));
    CHECK(rate.recentWait() == Duration(0));
    for (int slot = 0; slot < 100; ++slot) {
        rate.record(30ms);
        clock.advance(10ms);
    }
    REQUIRE(rate.expectedWait(200));
    CHECK(*rate.expectedWait(200) >= 1900ms);
    CHECK(*rate.expectedWait(200) <= 2300ms);
    CHECK(rate.recentWait() == 30ms);
    clock.advance(2s);
    CHECK_FALSE(rate.expectedWait(200));
}

// Guards against a burst that is refused because its first starts are divided by a second that had not passed.
TEST_CASE("the first starts after an idle time do not make the queue look slow")
{
    VirtualClock clock;
    QueueWaitEstimator rate(clock);
    for (int slot = 0; slot < 1600; ++slot)
        rate.record(1ms);
    CHECK_FALSE(rate.expectedWait(10000));
    for (int slot = 0; slot < 3000; ++slot) {
        clock.advance(50us);
        rate.record(1ms);
    }
    REQUIRE(rate.expectedWait(10000));
    CHECK(*rate.expectedWait(10000) < 500ms);
}

// Guards against declared times that are wrong by a constant factor deciding about admission.
TEST_CASE("the expected run follows the measured times of a kind")
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
TEST_CASE("queue limits hold per team and for the host")
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
TEST_CASE("only attempts that did not start, or failures the caller allows, are repeated")
{
    PcgRandomSource random(1);
    RetryPolicy retry({}, random);
    const auto first = AttemptNumber(1);
    for (const auto policy :
        { protocol::REPEAT_NEVER, protocol::REPEAT_IF_NOT_STARTED, protocol::REPEAT_AFTER_FAILURE }) {
        for (const bool isNeverRepeated : { false, true }) {
            const bool mayRepeatFailure = policy == protocol::REPEAT_AFTER_FAILURE && !isNeverRepeated;
            CHECK(retry.decide(SlotUse::Failed, policy, isNeverRepeated, first).mayRetry == mayRepeatFailure);
            const auto unknown = retry.decide(SlotUse::Unknown, policy, isNeverRepeated, first);
            CHECK_FALSE(unknown.mayRetry);
            CHECK(unknown.failure.runState == RunState::OutcomeUnknown);
            CHECK(retry.decide(SlotUse::Unreachable, policy, isNeverRepeated, first).mayRetry);
            CHECK(retry.decide(SlotUse::Rejected, policy, isNeverRepeated, first).mayRetry);
        }
    }
    const auto failed = retry.decide(SlotUse::Failed, protocol::REPEAT_NEVER, false, first);
    CHECK(failed.failure.runState == RunState::RanAndFailed);
    const auto exhausted = retry.decide(SlotUse::Unreachable, protocol::REPEAT_NEVER, false, AttemptNumber(4));
    CHECK_FALSE(exhausted.mayRetry);
    CHECK(exhausted.failure.runState == RunState::NotRun);
}

// Guards against a retry storm when a whole fleet fails.
TEST_CASE("retries stay within the reserve and a tenth of the successes")
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

// Guards against retries that come back all at the same moment or too late.
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
