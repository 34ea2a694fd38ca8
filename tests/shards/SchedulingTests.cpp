#include "rattanroad_shards/scheduling/Admission.h"
#include "rattanroad_shards/scheduling/ArrivalRates.h"
#include "rattanroad_shards/scheduling/CapacityModel.h"
#include "rattanroad_shards/scheduling/ScheduleOrder.h"

#include <catch2/catch.hpp>

#include <random>

using namespace rattanroad;
using namespace rattanroad::shards;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { std::chrono::hours(10) };

WaitingJob waitingJob(const std::string& id, std::uint32_t priority, std::chrono::milliseconds deadline,
    std::chrono::milliseconds runTime, std::uint64_t work = 1000)
{
    WaitingJob job;
    job.id = JobId(id);
    job.priority = priority;
    job.softDeadline = start + deadline;
    job.latestStart = job.softDeadline - runTime;
    job.lateAt = job.latestStart;
    job.work = work;
    job.smallestTask = 1000;
    return job;
}

std::string orderOf(const WorkQueue& queue, const GuaranteedShares* shares = nullptr)
{
    std::string ids;
    ScheduleOrder order(queue, shares);
    while (const WaitingJob* const job = order.next())
        ids += job->id.value();
    return ids;
}

}

// Guards against sums that go wrong at the borders of the tree's nodes: they decide about refusals.
TEST_CASE("the sum of work up to a deadline equals that of a list")
{
    std::mt19937 random(4);
    DeadlineSums sums;
    std::vector<std::pair<TimePoint, std::uint64_t>> list;
    for (int i = 0; i < 2000; ++i) {
        const bool isRemoval = !list.empty() && random() % 3 == 0;
        if (isRemoval) {
            sums.remove(list.back().first, list.back().second);
            list.pop_back();
        } else {
            list.emplace_back(start + std::chrono::milliseconds(random() % 100000), random() % 50);
            sums.add(list.back().first, list.back().second);
        }
        const TimePoint deadline = start + std::chrono::milliseconds(random() % 100000);
        std::uint64_t expected = 0;
        for (const auto& entry : list)
            expected += entry.first <= deadline ? entry.second : 0;
        REQUIRE(sums.upTo(deadline) == expected);
    }
}

// Guards against a late job that delays those that can still be in time.
TEST_CASE("waiting jobs are ordered by deadline, those that cannot be in time last")
{
    WorkQueue queue;
    queue.set(waitingJob("a", 0, 100ms, 80ms));
    queue.set(waitingJob("b", 0, 300ms, 50ms));
    queue.set(waitingJob("c", 0, 200ms, 50ms));
    CHECK(orderOf(queue) == "acb");
    const std::vector<JobId> late = queue.updateLate(start + 30ms);
    REQUIRE(late.size() == 1);
    CHECK(late.front() == JobId("a"));
    CHECK(orderOf(queue) == "cba");
    CHECK(queue.updateLate(start + 30ms).empty());
}

// Guards against the refusal of new jobs for work that would yield to them.
TEST_CASE("late jobs, lower priorities and later deadlines do not count as work before a job")
{
    WorkQueue queue;
    queue.set(waitingJob("late", 0, 20ms, 20ms, 1));
    queue.set(waitingJob("urgent", 0, 100ms, 50ms, 10));
    queue.set(waitingJob("same", 1, 200ms, 50ms, 100));
    queue.set(waitingJob("later", 1, 900ms, 50ms, 1000));
    queue.set(waitingJob("low", 2, 150ms, 50ms, 10000));
    queue.updateLate(start + 10ms);
    CHECK(queue.workBefore(1, start + 300ms) == 110);
    CHECK(queue.workOfPriority(1, start + 300ms) == 100);
    CHECK(queue.workBefore(0, start + 300ms) == 10);
    queue.remove(JobId("same"));
    CHECK(queue.workBefore(1, start + 300ms) == 10);
    CHECK(queue.workInTime() == 11010);
}

// Guards against sums that keep the work of tasks that have started.
TEST_CASE("a job whose tasks start counts with the rest of its work only")
{
    WorkQueue queue;
    WaitingJob job = waitingJob("a", 0, 100ms, 50ms, 30);
    queue.set(job);
    job.work = 10;
    queue.set(job);
    CHECK(queue.workBefore(0, start + 100ms) == 10);
    job.lateAt = start + 90ms;
    queue.set(job);
    CHECK(queue.workBefore(0, start + 100ms) == 10);
    queue.updateLate(start + 95ms);
    CHECK(queue.workInTime() == 0);
    CHECK(queue.size() == 1);
}

// Guards against promises by the sum of millicores, a part of which no task fits into.
TEST_CASE("the capacity is learned while tasks wait for room")
{
    CapacityModel capacity({});
    TimePoint now = start;
    CHECK(capacity.rate(now, 32000) == 32000);
    // 24 of 32 cores are used, by tasks that are estimated right.
    for (int i = 0; i < 300; ++i) {
        capacity.passEnded(now, { 240000, 32000, true });
        now += 10ms;
    }
    CHECK(capacity.rate(now, 32000) == Approx(24000).epsilon(0.05));
    // Half of the targets are lost.
    CHECK(capacity.rate(now, 16000) == Approx(12000).epsilon(0.05));
    // Starts while nothing waits show the demand, not the capacity.
    capacity.passEnded(now, { 240000, 32000, false });
    for (int i = 0; i < 50; ++i) {
        now += 10ms;
        capacity.passEnded(now, { 1000, 32000, false });
    }
    CHECK(capacity.rate(now, 32000) == Approx(24000).epsilon(0.05));
    now += 3s;
    CHECK(capacity.rate(now, 32000) == 32000);
}

// Guards against a host that refuses everything after a pause, in which nothing started.
TEST_CASE("a pause of the process is no sample of the capacity")
{
    CapacityModel capacity({});
    capacity.passEnded(start, { 0, 32000, true });
    capacity.passEnded(start + 5s, { 320, 32000, true });
    CHECK(capacity.rate(start + 5s, 32000) == 32000);
}

// Guards against jobs that are accepted and then answered late, and against refusals with room left.
TEST_CASE("a best-effort job is refused when the work before it leaves too little time")
{
    const Admission admission({});
    const Admission::Request request { 380ms, start + 380ms, 200ms, false };
    Admission::Figures figures;
    figures.rate = 1000;
    CHECK(admission.decide(request, figures, start).isAccepted);
    figures.workBefore = figures.workOfPriority = 100000;
    CHECK(admission.decide(request, figures, start).isAccepted);
    figures.workBefore = figures.workOfPriority = 300000;
    const Admission::Decision refused = admission.decide(request, figures, start);
    CHECK_FALSE(refused.isAccepted);
    CHECK(refused.wait == 300ms);
    CHECK(refused.maximumWait == 120ms);
    CHECK(refused.retryAfter == 180ms);
}

// Guards against a stored backlog without bound, as stored jobs are never given up.
TEST_CASE("late stored work counts for stored jobs")
{
    const Admission admission({});
    Admission::Figures figures;
    figures.rate = 1000;
    figures.lateStoredWork = 900000;
    CHECK_FALSE(admission.decide({ 380ms, start + 380ms, 200ms, true }, figures, start).isAccepted);
    CHECK(admission.decide({ 380ms, start + 380ms, 200ms, false }, figures, start).isAccepted);
}

// Guards against refusals for invalid figures: with nothing before it, each job may try.
TEST_CASE("jobs with invalid estimates and deadlines are accepted while nothing waits")
{
    const Admission admission({});
    Admission::Figures figures;
    CHECK(admission.decide({ 0ms, start, 0ms, false }, figures, start).isAccepted);
    CHECK(admission.decide({ 380ms, start - 1s, 200ms, false }, figures, start).isAccepted);
    CHECK(admission.decide({ 24h, start + 24h, 24h, false }, figures, start).isAccepted);
    figures.workBefore = figures.workOfPriority = 1;
    CHECK_FALSE(admission.decide({ 380ms, start - 1s, 200ms, false }, figures, start).isAccepted);
}

// Guards against the loss of urgent jobs to others when not all can be done in time.
TEST_CASE("jobs go by priority when not everything can be done in time, and by deadline otherwise")
{
    WorkQueue queue;
    queue.set(waitingJob("a", 1, 100ms, 50ms, 1000));
    queue.set(waitingJob("b", 0, 200ms, 50ms, 1000));
    CHECK_FALSE(ScheduleOrder::isRoomShort(queue, 10, start));
    CHECK(orderOf(queue) == "ab");
    // The second job has to wait for 200 ms and has 150 ms.
    CHECK(ScheduleOrder::isRoomShort(queue, 5, start));
    GuaranteedShares shares({});
    CHECK(orderOf(queue, &shares) == "ba");
    // The lower priority is owed a part of its share.
    shares.started(0, 1000, { 0, 1 }, 1000);
    CHECK(orderOf(queue, &shares) == "ab");
}

// Guards against a change for deployments that give all queues the same priority.
TEST_CASE("jobs of a single priority always go by deadline")
{
    WorkQueue queue;
    queue.set(waitingJob("a", 3, 100ms, 50ms, 100000));
    queue.set(waitingJob("b", 3, 90ms, 50ms, 100000));
    CHECK_FALSE(ScheduleOrder::isRoomShort(queue, 1, start));
}

// Guards against a lower priority that starves while higher ones take all they can.
TEST_CASE("each waiting priority gets its guaranteed share of the started work")
{
    GuaranteedShares shares({ 0.1, 50ms });
    const std::vector<std::uint32_t> waiting { 0, 1, 2 };
    std::map<std::uint32_t, int> started;
    for (int i = 0; i < 1000; ++i) {
        const std::uint32_t priority = shares.owed(waiting).value_or(0);
        ++started[priority];
        shares.started(priority, 1000, waiting, 1000);
    }
    CHECK(started[1] >= 95);
    CHECK(started[2] >= 95);
    CHECK(started[0] >= 780);
}

// Guards against a wait that counts no more arrivals of urgent jobs when they arrive, or still counts them afterwards.
TEST_CASE("the rate of higher priorities follows their arrivals")
{
    ArrivalRates arrivals;
    TimePoint now = start;
    for (int i = 0; i < 3000; ++i) {
        arrivals.accepted(0, 500, now);
        now += 1ms;
    }
    CHECK(arrivals.rateAbove(1, now) == Approx(500).epsilon(0.05));
    CHECK(arrivals.rateAbove(0, now) == 0);
    now += 3s;
    CHECK(arrivals.rateAbove(1, now) < 50);
}
