#include "emulator/EmulatedStore.h"
#include "emulator/EmulatedTargets.h"
#include "rattanroad_shards/holding/StoreKeys.h"
#include "rattanroad_shards/jobs/JobCodec.h"
#include "rattanroad_shards/jobs/ShardDispatcher.h"

#include <catch2/catch.hpp>

using namespace rattanroad;
using namespace rattanroad::emulator;
using namespace rattanroad::shards;
using namespace std::chrono_literals;

namespace {

/** The dispatcher of a single shard with a store and one target, without an election. */
class DispatcherFixture {
public:
    DispatcherFixture()
        : m_queue(m_clock)
        , m_store(m_queue)
        , m_targets(m_queue)
        , m_storeCalls(m_store.callsFrom(host))
        , m_targetCalls(m_targets.callsFrom(host))
        , m_dispatcher(settings(), m_storeCalls, m_targetCalls,
              { [this](Duration delay, std::function<void()> action) { m_queue.after(delay, std::move(action)); } },
              m_clock, hooks())
    {
        TargetReport report;
        report.id = TargetId("target");
        report.service = ServiceId("quotes");
        report.failureDomain = FailureDomainId(shard.value());
        report.address = "target";
        report.capacity = { 32000, 65536, 0 };
        report.bornMs = 1;
        m_targets.add(report);
        m_dispatcher.targetListed(report);
    }

    static protocol::PlacedJob description(
        const std::string& job, std::chrono::milliseconds duration, bool isBestEffort)
    {
        protocol::PlacedJob description;
        description.set_id(job);
        description.set_best_effort(isBestEffort);
        description.set_payload(taskPayload(duration, { 14000, 1024, 0 }));
        description.mutable_rule()->set_service("quotes");
        description.mutable_rule()->set_maximum_attempts(3);
        description.mutable_rule()->set_target_duration_ms(1000);
        protocol::PhaseDescription* const phase = description.add_phases();
        phase->set_count(1);
        phase->set_millicores(14000);
        phase->set_memory_mb(1024);
        phase->set_estimated_ms(static_cast<std::uint32_t>(duration.count()));
        return description;
    }

    /** Writes the record of an open job with one task of 60 ms. */
    void storeRecord(const std::string& job, std::uint64_t generation)
    {
        protocol::JobRecord record;
        record.set_shard(shard.value());
        record.set_generation(generation);
        *record.mutable_job() = description(job, 60ms, false);
        m_store.put(storekeys::job(JobId(job)), record.SerializeAsString());
    }

    /** Submits a best-effort job with one task. */
    void submit(const std::string& job, std::chrono::milliseconds duration, bool isResent)
    {
        m_dispatcher.submit(description(job, duration, true), 0ms, isResent, { "entrance", m_clock.now() },
            [this](SubmitVerdict verdict, std::chrono::milliseconds) {
                m_refusals += verdict == SubmitVerdict::Refused ? 1 : 0;
            });
    }
    int refusals() const { return m_refusals; }

    /** Hands over a best-effort job with one task of 3 s that an earlier holder has started, and whose origin was
       silent for a while. */
    void handOver(const std::string& job, std::chrono::milliseconds silence = {})
    {
        protocol::ShardHandover handover;
        protocol::JobHandover* const handed = handover.add_jobs();
        *handed->mutable_job() = description(job, 3000ms, true);
        handed->add_tasks()->set_attempt(1);
        handed->set_silent_ms(static_cast<std::uint32_t>(silence.count()));
        m_dispatcher.handoverReceived(handover);
    }

    void targetListRead() { m_dispatcher.targetListRead(); }

    /** Acquires the shard as ShardElection does: the revision of its key is the token, without which no record can be
        written. */
    void begin(std::uint64_t generation)
    {
        m_store.put(storekeys::holder(shard), "host");
        m_storeCalls.read(storekeys::holder(shard),
            [this](const ReadReply& reply) { m_token = FencingToken(reply.items.front().revision.value()); });
        m_queue.runUntil(m_clock.now() + 10ms);
        m_dispatcher.begin({ m_token, Generation(generation), false });
        m_dispatcher.targetListRead();
        m_dispatcher.targetListUpdated(m_clock.now());
    }
    const Clock& clock() const { return m_clock; }
    void run(Duration duration)
    {
        const TimePoint end = m_clock.now() + duration;
        while (m_clock.now() < end) {
            m_dispatcher.targetListUpdated(m_clock.now());
            m_queue.runUntil(std::min(end, m_clock.now() + 1s));
        }
    }
    /** Runs until @p isDone returns true or 10 s have passed; returns whether it did. */
    bool runUntil(const std::function<bool()>& isDone)
    {
        const TimePoint end = m_clock.now() + 10s;
        while (!isDone() && m_clock.now() < end)
            run(1ms);
        return isDone();
    }

    ShardDispatcher& dispatcher() { return m_dispatcher; }
    EmulatedTargets& targets() { return m_targets; }
    EmulatedStore& store() { return m_store; }
    bool wasDisplaced() const { return m_wasDisplaced; }

private:
    static ShardDispatcher::Settings settings()
    {
        ShardDispatcher::Settings settings;
        settings.shard = shard;
        return settings;
    }

    ShardDispatcher::Hooks hooks()
    {
        ShardDispatcher::Hooks hooks;
        hooks.jobEnded = [](const ShardJob&) {};
        hooks.keyChanged = [] {};
        // Stops the dispatcher as ShardElection does.
        hooks.displaced = [this] {
            m_wasDisplaced = true;
            m_dispatcher.end();
        };
        hooks.log = [](const char*, const JobId&, const std::string&) {};
        return hooks;
    }

    static inline const HostId host { "host" };
    static inline const ShardId shard { "north" };
    VirtualClock m_clock;
    EventQueue m_queue;
    EmulatedStore m_store;
    EmulatedTargets m_targets;
    KeyValueStore m_storeCalls;
    TargetCalls m_targetCalls;
    ShardDispatcher m_dispatcher;
    FencingToken m_token;
    bool m_wasDisplaced { false };
    int m_refusals { 0 };
};

}

TEST_CASE("a holder continues the jobs of earlier generations")
{
    DispatcherFixture fixture;
    fixture.storeRecord("a", 1);
    fixture.begin(2);
    fixture.run(20s);
    REQUIRE(!fixture.wasDisplaced());
    REQUIRE(fixture.dispatcher().state(JobId("a")) == JobState::Done);
    REQUIRE(fixture.targets().runs().size() == 1);
}

// Guards against a record that ends each process that reads it, and with it the service of all other jobs of the shard.
TEST_CASE("a holder serves its jobs beside records that it cannot read")
{
    DispatcherFixture fixture;
    const auto put = [&fixture](const std::string& job, const std::function<void(protocol::JobRecord&)>& change) {
        protocol::JobRecord record;
        record.set_shard("north");
        record.set_generation(1);
        *record.mutable_job() = DispatcherFixture::description(job, 60ms, false);
        change(record);
        fixture.store().put(storekeys::job(JobId(job)), record.SerializeAsString());
    };
    put("a-later-phase",
        [](protocol::JobRecord& record) { record.mutable_job()->mutable_phases(0)->add_after(70000); });
    put("a-tasks",
        [](protocol::JobRecord& record) { record.mutable_job()->mutable_phases(0)->set_count(4000000000U); });
    put("a-no-tasks", [](protocol::JobRecord& record) { record.mutable_job()->clear_phases(); });
    put("a-state", [](protocol::JobRecord& record) { record.set_state(77); });
    fixture.store().put(storekeys::job(JobId("a-text")), "no record");
    fixture.storeRecord("b", 1);
    fixture.begin(2);
    fixture.run(20s);
    REQUIRE(fixture.dispatcher().state(JobId("b")) == JobState::Done);
    REQUIRE(fixture.targets().runs().size() == 1);
    REQUIRE(!fixture.wasDisplaced());
}

// The holder was paused between acquiring the shard and reading the records. The later holder may have starts in
// flight.
TEST_CASE("a holder that reads a record of a later generation starts no task and is displaced")
{
    DispatcherFixture fixture;
    fixture.storeRecord("a", 1);
    fixture.storeRecord("b", 3);
    fixture.storeRecord("c", 1);
    fixture.begin(2);
    fixture.run(20s);
    REQUIRE(fixture.targets().runs().empty());
    REQUIRE(!fixture.dispatcher().isHolding());
    REQUIRE(fixture.wasDisplaced());
}

TEST_CASE("a cancelled job that is resubmitted while its run is being stopped starts after that run has ended")
{
    DispatcherFixture fixture;
    fixture.begin(1);
    fixture.run(5s);
    fixture.submit("a", 3000ms, false);
    // Its origin does not repeat the submission.
    REQUIRE(fixture.runUntil([&] { return fixture.dispatcher().state(JobId("a")) == JobState::Cancelled; }));
    REQUIRE(fixture.targets().running() == 1);
    fixture.submit("a", 3000ms, true);
    fixture.run(500ms);
    REQUIRE(fixture.targets().violations().empty());
    REQUIRE(fixture.targets().running() == 1);
    REQUIRE(fixture.targets().runs().begin()->second.size() == 2);
}

TEST_CASE("a job that was handed over starts again only after the target list was read once more")
{
    DispatcherFixture fixture;
    fixture.run(14s);
    fixture.begin(2);
    fixture.run(5s);
    fixture.handOver("a");
    fixture.run(200ms);
    // The origin repeats the submission.
    fixture.submit("a", 3000ms, true);
    fixture.run(200ms);
    REQUIRE(fixture.targets().running() == 0);
    fixture.submit("a", 3000ms, true);
    fixture.targetListRead();
    REQUIRE(fixture.runUntil([&] { return fixture.targets().running() == 1; }));
}

// Its caller submits it to another host, which may not find this holder.
TEST_CASE("a job whose origin was silent before the handover is given up as soon as without the handover")
{
    DispatcherFixture fixture;
    fixture.begin(2);
    fixture.run(200ms);
    fixture.handOver("a", 900ms);
    fixture.run(250ms);
    REQUIRE(fixture.dispatcher().state(JobId("a")) == JobState::Cancelled);
}

TEST_CASE("a resubmitted job starts without a complete target list once no earlier holder can be active")
{
    DispatcherFixture fixture;
    fixture.begin(2);
    fixture.run(14s);
    fixture.dispatcher().targetListInterrupted();
    fixture.submit("a", 100ms, true);
    fixture.run(50ms);
    REQUIRE(fixture.targets().running() == 1);
}

TEST_CASE("a target retains the completion of a stored job's task until the job's record covers it")
{
    DispatcherFixture fixture;
    fixture.storeRecord("a", 1);
    fixture.begin(1);
    REQUIRE(fixture.runUntil([&] { return fixture.targets().running() != 0; }));
    fixture.store().faults.isDown = true;
    fixture.run(1s);
    REQUIRE(fixture.targets().running() == 0);
    // The next holder reads an open job from the record.
    fixture.dispatcher().end();
    fixture.store().faults.isDown = false;
    fixture.begin(2);
    fixture.run(20s);
    REQUIRE(fixture.dispatcher().state(JobId("a")) == JobState::Done);
    REQUIRE(fixture.targets().runs().begin()->second.size() == 1);
}

// The reply of the store arrives when the shard has another holder already, which reads the record.
TEST_CASE("a job whose record was stored before its shard was handed over is accepted")
{
    DispatcherFixture fixture;
    fixture.begin(2);
    fixture.run(1s);
    std::optional<SubmitVerdict> verdict;
    fixture.dispatcher().submit(DispatcherFixture::description("a", 60ms, false), 0ms, false,
        { "entrance", fixture.clock().now() },
        [&verdict](SubmitVerdict result, std::chrono::milliseconds) { verdict = result; });
    REQUIRE(fixture.runUntil([&] { return fixture.store().transactions() != 0; }));
    fixture.dispatcher().end();
    fixture.dispatcher().takeHandover();
    REQUIRE(!verdict);
    fixture.run(1s);
    REQUIRE(fixture.store().value(storekeys::job(JobId("a"))).has_value());
    REQUIRE(verdict == SubmitVerdict::Accepted);
}

// The jobs would start as soon as the targets have reported, 0.1 s later.
TEST_CASE("a new holder refuses no job because its targets have not reported yet")
{
    DispatcherFixture fixture;
    fixture.begin(2);
    fixture.run(10ms);
    for (const char* const job : { "a", "b", "c" })
        fixture.submit(job, 60ms, false);
    REQUIRE(fixture.refusals() == 0);
    fixture.run(1s);
    REQUIRE(fixture.targets().runs().size() == 3);
}

TEST_CASE("a holder whose targets do not report refuses jobs that would wait for too long")
{
    DispatcherFixture fixture;
    fixture.targets().faults.unreachableTargets.insert(TargetId("target"));
    fixture.begin(2);
    fixture.run(1s);
    for (const char* const job : { "a", "b" })
        fixture.submit(job, 60ms, false);
    REQUIRE(fixture.refusals() == 1);
}

// Guards against the refusal of new jobs because of late ones, which yield to them: a burst that was estimated too
// short kept the shard closed until all of it had run.
TEST_CASE("jobs that are late do not cause the refusal of new ones")
{
    DispatcherFixture fixture;
    fixture.begin(1);
    fixture.run(100ms);
    protocol::PlacedJob description = DispatcherFixture::description("", 3000ms, true);
    description.mutable_phases(0)->set_estimated_ms(100);
    const auto submit = [&](const std::string& id) {
        description.set_id(id);
        bool isAccepted = false;
        fixture.dispatcher().submit(description, 0ms, false, { "entrance", fixture.clock().now() },
            [&isAccepted](
                SubmitVerdict verdict, std::chrono::milliseconds) { isAccepted = verdict == SubmitVerdict::Accepted; });
        return isAccepted;
    };
    std::vector<std::string> accepted;
    for (int i = 0; i < 60; ++i) {
        const std::string id = "burst-" + std::to_string(i);
        if (submit(id))
            accepted.push_back(id);
    }
    CHECK(accepted.size() < 60);
    for (int i = 0; i < 3; ++i) {
        fixture.run(400ms);
        for (const std::string& id : accepted)
            submit(id);
    }
    CHECK(submit("new"));
}
