#include "fakes/EventQueue.h"
#include "rattanroad_core/time/VirtualClock.h"
#include "rattanroad_shards/entrance/JobHomes.h"

#include <catch2/catch.hpp>
#include <ctime>
#include <utility>

using namespace rattanroad;
using namespace rattanroad::shards;
using namespace std::chrono_literals;

namespace {

double processorMilliseconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_nsec) / 1e6;
}

/** The homes of a host among three shards. Holders answer only when the test says so. */
struct HomesFixture {
    struct Question {
        ShardId shard;
        std::function<void(JobHomes::Presence)> answer;
    };
    struct Location {
        ShardId shard;
        bool mayBeSubmittedBefore;

        friend bool operator==(const Location& left, const Location& right)
        {
            return left.shard == right.shard && left.mayBeSubmittedBefore == right.mayBeSubmittedBefore;
        }
    };

    const JobId job { "5c0e7a21d94b36f8" };
    const ShardId north { "north" };
    const ShardId south { "south" };
    VirtualClock clock;
    EventQueue queue { clock };
    std::vector<Question> questions;
    std::vector<Location> locations;
    bool isPaused { false };
    std::vector<std::function<void()>> overdueTimers;
    JobHomes homes { settings(), { [this](Duration delay, auto action) { addTimer(delay, std::move(action)); } }, clock,
        hooks() };
    const ShardId home { homes.homesOf(job).front() };
    const ShardId standIn { homes.homesOf(job)[1] };

    static JobHomes::Settings settings()
    {
        JobHomes::Settings settings;
        settings.shards = { ShardId("north"), ShardId("south"), ShardId("west") };
        return settings;
    }
    JobHomes::Hooks hooks()
    {
        JobHomes::Hooks hooks;
        hooks.ask = [this](const ShardId& shard, const JobId&, std::function<void(JobHomes::Presence)> answer) {
            questions.push_back({ shard, std::move(answer) });
        };
        hooks.log = [](const char*, const JobId&, const std::string&) {};
        return hooks;
    }
    void addTimer(Duration delay, std::function<void()> action)
    {
        queue.after(delay, [this, action = std::move(action)] {
            if (isPaused)
                overdueTimers.push_back(action);
            else
                action();
        });
    }
    /** Pauses the process; its timers fire with runOverdueTimers(). */
    void pauseFor(Duration duration)
    {
        isPaused = true;
        queue.runUntil(clock.now() + duration);
        isPaused = false;
    }
    void runOverdueTimers()
    {
        for (const auto& action : std::exchange(overdueTimers, {}))
            action();
    }
    static JobHomes::Submission from(const std::string& origin, bool wasDeclined = true)
    {
        return { origin, Incarnation(1), 1, wasDeclined };
    }
    /** Returns an attempt of a submission that its origin repeats in @p repetition. */
    JobHomes::Submission attempt(bool isResent, Duration repetition = 300ms) const
    {
        JobHomes::Submission submission = from("a", !isResent);
        submission.isResent = isResent;
        submission.validUntil = clock.now() + repetition;
        return submission;
    }
    void locate(const ShardId& at, const ShardId& preferred, const JobHomes::Submission& submission)
    {
        homes.locate(at, job, preferred, submission, [this](const ShardId& shard, bool isResent) {
            locations.push_back({ shard, isResent });
        });
    }
    void answer(const ShardId& shard, JobHomes::Presence presence)
    {
        for (const Question& question : std::vector<Question>(questions)) {
            if (question.shard == shard)
                question.answer(presence);
        }
    }
    void answer(const ShardId& shard, bool isKnown)
    {
        answer(shard, isKnown ? JobHomes::Presence::Present : JobHomes::Presence::None);
    }
};

}

TEST_CASE_METHOD(HomesFixture, "a job that is submitted to two hosts is in one shard, whichever they prefer")
{
    homes.begin(home, true);
    locate(home, north, from("a"));
    locate(home, south, from("b"));
    CHECK(locations == std::vector<Location> { { north, false }, { north, true } });
    CHECK(questions.empty());
}

TEST_CASE_METHOD(HomesFixture, "a new holder of a home asks where a job is before it counts as new")
{
    homes.begin(home, false);
    locate(home, north, from("a"));
    REQUIRE(questions.size() == 3);
    CHECK(locations.empty());
    SECTION("a holder has it")
    {
        answer(ShardId("west"), true);
        CHECK(locations == std::vector<Location> { { ShardId("west"), true } });
    }
    SECTION("no holder has it")
    {
        for (const char* const shard : { "north", "south", "west" })
            answer(ShardId(shard), false);
        CHECK(locations == std::vector<Location> { { north, false } });
    }
    SECTION("a holder does not answer")
    {
        answer(north, false);
        answer(south, false);
        CHECK(locations.empty());
        queue.runUntil(clock.now() + 100ms);
        // The run of which nobody can tell has ended by its lease, so the job need not wait, but it is not new.
        CHECK(locations == std::vector<Location> { { north, false } });
        locate(home, south, from("a"));
        CHECK(locations.back().shard == north);
    }
    SECTION("another host submits it meanwhile")
    {
        locate(home, south, from("b"));
        CHECK(questions.size() == 3);
        for (const char* const shard : { "north", "south", "west" })
            answer(ShardId(shard), false);
        CHECK(locations == std::vector<Location> { { north, false }, { north, true } });
    }
}

TEST_CASE_METHOD(
    HomesFixture, "a holder that stands in for a home asks where a job is, however long it has held its shard")
{
    homes.begin(standIn, true);
    locate(standIn, north, from("a"));
    CHECK(questions.size() == 3);
}

TEST_CASE_METHOD(HomesFixture, "a home that was held anew does not rely on what it knew before")
{
    homes.begin(home, true);
    locate(home, north, from("a"));
    homes.end(home);
    homes.begin(home, false);
    locate(home, south, from("b"));
    CHECK(questions.size() == 3);
    answer(north, true);
    CHECK(locations.back() == Location { north, true });
}

TEST_CASE_METHOD(HomesFixture, "a job that its shard has declined may move, unless another submission is there")
{
    homes.begin(home, true);
    locate(home, north, from("a"));
    SECTION("declined")
    {
        locate(home, south, from("a"));
        CHECK(locations.back() == Location { south, false });
    }
    SECTION("not answered")
    {
        locate(home, south, from("a", false));
        CHECK(locations.back() == Location { north, false });
    }
    SECTION("submitted by another host too")
    {
        locate(home, north, from("b"));
        locate(home, south, from("a"));
        CHECK(locations.back() == Location { north, true });
    }
}

// Guards against two shards that run a job at once: its home has passed the first attempt on, and fell silent before
// the reply.
TEST_CASE_METHOD(HomesFixture, "an attempt after an unanswered one waits until no other shard can run the job")
{
    homes.begin(standIn, true);
    JobHomes::Submission resent = from("a", false);
    resent.isResent = true;
    const auto attempt = [&] {
        questions.clear();
        locate(standIn, north, resent);
        answer(north, false);
        answer(south, false);
    };
    SECTION("the shard stays unknown")
    {
        const TimePoint first = clock.now();
        for (; clock.now() < first + JobHomes::Settings().maximumRunAfterAttempt; queue.runUntil(clock.now() + 300ms)) {
            attempt();
            CHECK(locations.empty());
        }
        attempt();
        queue.runUntil(clock.now() + 100ms);
        CHECK(locations == std::vector<Location> { { north, false } });
    }
    SECTION("the shard answers to a later attempt")
    {
        attempt();
        queue.runUntil(clock.now() + 300ms);
        attempt();
        answer(ShardId("west"), true);
        CHECK(locations == std::vector<Location> { { ShardId("west"), true } });
    }
    SECTION("another host submits the job for the first time")
    {
        locate(standIn, south, from("b"));
        queue.runUntil(clock.now() + 100ms);
        CHECK(locations == std::vector<Location> { { south, false } });
    }
}

// Guards against a second run beside one that an attempt of the new submission has just started through another home.
TEST_CASE_METHOD(HomesFixture, "the wait for a shard that does not answer begins anew with each submission")
{
    homes.begin(standIn, true);
    locate(standIn, north, attempt(true));
    queue.runUntil(clock.now() + JobHomes::Settings().maximumRunAfterAttempt + 300ms);
    JobHomes::Submission later = attempt(true);
    later.number = 2;
    locate(standIn, north, later);
    queue.runUntil(clock.now() + 100ms);
    CHECK(locations.empty());
}

// Guards against a search that ends with what is left of an earlier submission, while another shard runs the job.
TEST_CASE_METHOD(HomesFixture, "a shard that is stopping a job counts only when the others do not have the job")
{
    homes.begin(standIn, true);
    SECTION("another one has it")
    {
        locate(standIn, north, attempt(true));
        answer(north, JobHomes::Presence::Stopping);
        answer(south, true);
        CHECK(locations == std::vector<Location> { { south, true } });
    }
    SECTION("the others do not have it")
    {
        locate(standIn, north, attempt(true));
        answer(south, JobHomes::Presence::Stopping);
        answer(north, false);
        answer(ShardId("west"), false);
        CHECK(locations == std::vector<Location> { { south, true } });
    }
    SECTION("another one does not answer, and may have an earlier attempt")
    {
        locate(standIn, north, attempt(true));
        answer(south, JobHomes::Presence::Stopping);
        queue.runUntil(clock.now() + 100ms);
        CHECK(locations.empty());
    }
    SECTION("another one does not answer")
    {
        locate(standIn, north, attempt(false));
        answer(south, JobHomes::Presence::Stopping);
        queue.runUntil(clock.now() + 100ms);
        CHECK(locations == std::vector<Location> { { south, true } });
    }
}

// Guards against a stand-in that sends a job to the shard of an earlier submission, while its home has located it anew.
TEST_CASE_METHOD(HomesFixture, "a stand-in asks again where a job is when it is submitted again")
{
    homes.begin(standIn, true);
    locate(standIn, north, from("a"));
    queue.runUntil(clock.now() + 100ms);
    REQUIRE(locations == std::vector<Location> { { north, false } });
    questions.clear();
    locate(standIn, north, from("b"));
    REQUIRE(questions.size() == 3);
    answer(south, true);
    CHECK(locations.back() == Location { south, true });
}

// Guards against two shards that run a job at once: during the pause its origin has sent it through another home.
TEST_CASE_METHOD(HomesFixture, "a home that is paused during a search does not place a job that was repeated meanwhile")
{
    homes.begin(standIn, true);
    locate(standIn, north, attempt(false));
    answer(north, false);
    pauseFor(600ms);
    SECTION("the timer of the search fires") { runOverdueTimers(); }
    SECTION("the last answers arrive first")
    {
        answer(south, false);
        answer(ShardId("west"), false);
        runOverdueTimers();
    }
    SECTION("a later attempt arrives first")
    {
        questions.clear();
        locate(standIn, north, attempt(true));
        runOverdueTimers();
        REQUIRE(questions.size() == 3);
        CHECK(locations.empty());
        answer(south, true);
        CHECK(locations == std::vector<Location> { { south, true } });
        return;
    }
    CHECK(locations.empty());
    CHECK_FALSE(homes.find(standIn, job));
}

// Guards against a search that counts the answer of one holder twice and does not wait for that of another.
TEST_CASE_METHOD(HomesFixture, "an answer to an earlier search for a job does not count in a later one")
{
    homes.begin(standIn, true);
    locate(standIn, north, attempt(true));
    const std::vector<Question> earlier = std::exchange(questions, {});
    queue.runUntil(clock.now() + 300ms);
    REQUIRE(locations.empty());
    locate(standIn, north, attempt(true));
    for (const Question& question : earlier)
        question.answer(JobHomes::Presence::None);
    CHECK(locations.empty());
    answer(south, true);
    CHECK(locations == std::vector<Location> { { south, true } });
}

// Guards against a home that relies on the shard of an earlier submission, while another home has located the job anew.
TEST_CASE_METHOD(HomesFixture, "a home asks again where a job is when an earlier attempt may have gone to another home")
{
    homes.begin(home, true);
    locate(home, north, from("b"));
    REQUIRE(locations == std::vector<Location> { { north, false } });
    locate(home, south, attempt(true));
    REQUIRE(questions.size() == 3);
    CHECK(locations.size() == 1);
    answer(south, true);
    CHECK(locations.back() == Location { south, true });
}

// A home knows a fifth of the jobs of five shards; control may take 3.3 % of a core.
TEST_CASE_METHOD(HomesFixture, "a home is not slowed down by the jobs that it has forgotten")
{
    homes.begin(home, true);
    std::vector<JobId> jobs;
    for (int i = 0; jobs.size() < 32000; ++i) {
        const JobId candidate("job-" + std::to_string(i));
        if (homes.homesOf(candidate).front() == home)
            jobs.push_back(candidate);
    }
    std::size_t located = 0;
    const auto locateForSeconds = [&](int seconds) {
        for (int i = 0; i < seconds * 800; ++i) {
            clock.advance(1250us);
            homes.locate(home, jobs[located++], north, from("a"), [](const ShardId&, bool) {});
        }
    };
    locateForSeconds(30);
    const double before = processorMilliseconds();
    locateForSeconds(10);
    CHECK((processorMilliseconds() - before) / 10 < 33);
    CHECK_FALSE(homes.find(home, jobs.front()));
    CHECK(homes.find(home, jobs.back()) == north);
}
