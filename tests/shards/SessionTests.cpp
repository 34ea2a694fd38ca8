#include "emulator/EmulatedTargets.h"
#include "rattanroad_shards/targets/TargetSession.h"

#include <catch2/catch.hpp>

using namespace rattanroad;
using namespace rattanroad::emulator;
using namespace rattanroad::shards;
using namespace std::chrono_literals;

namespace {

/** A single session with a single emulated target. */
class SessionFixture {
public:
    SessionFixture()
        : m_queue(m_clock)
        , m_targets(m_queue)
        , m_calls(m_targets.callsFrom(HostId("host")))
    {
        m_calls.stop = [this, stop = m_calls.stop](const StopRequest& request, auto callback) {
            ++m_stopRequests;
            stop(request, std::move(callback));
        };
        m_calls.start = [this, start = m_calls.start](const StartRequest& request, auto callback) {
            start(request, [this, callback](const TargetReply& reply) {
                m_queue.after(m_startReplyDelay, [callback, reply] { callback(reply); });
            });
        };
        m_calls.poll = [this, poll = m_calls.poll](const PollRequest& request, auto callback) {
            poll(request,
                [this, callback](const PollReply& reply) { callback(m_arePollRepliesLost ? PollReply() : reply); });
        };
        TargetReport report;
        report.id = TargetId("target");
        report.capacity = { 32000, 65536, 0 };
        report.bornMs = 1;
        m_targets.add(report);
        TargetSession::Hooks hooks;
        hooks.ready = [](TargetSession&) {};
        hooks.ended = [this](TargetSession&, const RunCompletion& completion) { m_completions.push_back(completion); };
        hooks.lost = [this](TargetSession&, const RunLoss& loss) { m_losses.push_back(loss); };
        hooks.foundRun = [](TargetSession&, const RunningTask&) { return std::nullopt; };
        hooks.rejected = [](TargetSession&, const TaskId&, std::uint32_t, TargetCallResult) {};
        hooks.roomChanged = [] {};
        hooks.fenced = [] {};
        Timers timers { [this](Duration delay, std::function<void()> action) {
            m_queue.after(delay, std::move(action));
        } };
        m_session = std::make_unique<TargetSession>(
            TargetSession::Settings(), report, FencingToken(1), m_calls, std::move(timers), m_clock, std::move(hooks));
        m_session->open();
        run(50ms);
        REQUIRE(m_session->canStart());
    }

    void run(Duration duration) { m_queue.runUntil(m_clock.now() + duration); }

    void setPollRepliesLost(bool areLost) { m_arePollRepliesLost = areLost; }
    void setStartRepliesDelayed(Duration delay) { m_startReplyDelay = delay; }
    std::size_t stopRequests() const { return m_stopRequests; }
    const std::vector<RunCompletion>& completions() const { return m_completions; }
    const std::vector<RunLoss>& losses() const { return m_losses; }
    EmulatedTargets& targets() { return m_targets; }
    TargetSession& session() { return *m_session; }

private:
    VirtualClock m_clock;
    EventQueue m_queue;
    EmulatedTargets m_targets;
    TargetCalls m_calls;
    std::unique_ptr<TargetSession> m_session;
    /** Replies to polls are lost. */
    bool m_arePollRepliesLost { false };
    Duration m_startReplyDelay { 0 };
    std::size_t m_stopRequests { 0 };
    std::vector<RunCompletion> m_completions;
    std::vector<RunLoss> m_losses;
};

const TaskId task { JobId("a"), 0, 0 };
const Resources resources { 14000, 1024, 0 };

}

// When a process gets no CPU time between the choice of a target and the start, the target may exceed the silence
// timeout in between. An assertion on that timeout in start() ended the process.
TEST_CASE("a task starts on a target that became silent after it was chosen")
{
    SessionFixture fixture;
    fixture.targets().faults.unreachableTargets = { TargetId("target") };
    while (fixture.session().canStart())
        fixture.run(1ms);
    fixture.targets().faults.unreachableTargets.clear();
    fixture.session().start(task, 1, taskPayload(40ms, resources), resources, 40ms, "");
    fixture.run(20ms);
    REQUIRE(fixture.targets().running() == 1);
    fixture.run(1s);
    REQUIRE(fixture.session().runs().empty());
    REQUIRE(fixture.targets().runs().at(task).front().ending == "done");
}

// The reply to the first start is lost and the run completes before the second start, which is refused as stale.
TEST_CASE("a run that completed after an unanswered start is not stopped")
{
    SessionFixture fixture;
    fixture.targets().faults.startRepliesToLose = 1;
    fixture.setPollRepliesLost(true);
    fixture.session().start(task, 1, taskPayload(30ms, resources), resources, 30ms, "");
    fixture.run(300ms);
    REQUIRE(fixture.session().runs().size() == 1);
    fixture.setPollRepliesLost(false);
    fixture.run(1s);
    REQUIRE(fixture.session().runs().empty());
    REQUIRE(fixture.stopRequests() == 0);
    REQUIRE(fixture.targets().runs().at(task).size() == 1);
}

// The reply to a start names no incarnation. The run stayed in state Starting until a poll listed it, and nothing ended
// it when the target restarted before that: its task never started again.
TEST_CASE("a run is lost when its target restarts before a poll has listed it")
{
    SessionFixture fixture;
    fixture.session().start(task, 1, taskPayload(900ms, resources), resources, 900ms, "");
    fixture.run(20ms);
    REQUIRE(fixture.targets().running() == 1);
    fixture.targets().restart(TargetId("target"));
    fixture.run(1s);
    CHECK(fixture.session().runs().empty());
    REQUIRE(fixture.completions().size() == 1);
    CHECK(fixture.completions().front().outcome == RunOutcome::Interrupted);
    REQUIRE(fixture.losses().size() == 1);
    CHECK(fixture.losses().front().incarnationMs == 1);
    CHECK(fixture.losses().front().isStartConfirmed);
    CHECK(fixture.losses().front().hasRestarted);
}

// The same reply may come from an incarnation that no poll has shown yet. Its run is neither ended nor counted as lost.
TEST_CASE("a run goes on when an incarnation that is not known yet has confirmed its start")
{
    SessionFixture fixture;
    fixture.run(1ms);
    fixture.targets().restart(TargetId("target"));
    fixture.session().start(task, 1, taskPayload(900ms, resources), resources, 900ms, "");
    fixture.run(700ms);
    CHECK(fixture.session().incarnationMs() == 2);
    CHECK(fixture.targets().running() == 1);
    CHECK(fixture.session().runs().size() == 1);
    CHECK(fixture.losses().empty());
    CHECK(fixture.stopRequests() == 0);
    fixture.run(1s);
    REQUIRE(fixture.completions().size() == 1);
    CHECK(fixture.completions().front().outcome == RunOutcome::Done);
}

// The reply to the start arrives after a poll has shown the next incarnation.
TEST_CASE("a run is lost when the confirmation of its start arrives after its target has restarted")
{
    SessionFixture fixture;
    fixture.setStartRepliesDelayed(700ms);
    fixture.session().start(task, 1, taskPayload(900ms, resources), resources, 900ms, "");
    fixture.run(20ms);
    REQUIRE(fixture.targets().running() == 1);
    fixture.targets().restart(TargetId("target"));
    fixture.run(680ms);
    REQUIRE(fixture.session().incarnationMs() == 2);
    REQUIRE(fixture.session().runs().size() == 1);
    fixture.run(1s);
    CHECK(fixture.session().runs().empty());
    CHECK(fixture.completions().size() == 1);
}

// A target lists a limited number of completions at a time. A run that is not listed may have a completion beyond them.
TEST_CASE("a run whose completion does not fit into the list of its target has not ended yet")
{
    SessionFixture fixture;
    fixture.targets().faults.completionsPerReply = 1;
    const TaskId later { JobId("a"), 0, 1 };
    fixture.session().start(task, 1, taskPayload(20ms, resources), resources, 20ms, "");
    fixture.session().start(later, 1, taskPayload(40ms, resources), resources, 40ms, "");
    fixture.run(500ms);
    REQUIRE(fixture.completions().size() == 1);
    CHECK(fixture.session().runs().count(later) == 1);
    fixture.session().acknowledgeCompletion(1, 1);
    fixture.run(500ms);
    REQUIRE(fixture.completions().size() == 2);
    CHECK(fixture.completions().back().outcome == RunOutcome::Done);
    CHECK(fixture.session().runs().empty());
}

// While the shard is not held, nothing is sent. The run kept its state, so it went on, and kept its room, for ever.
TEST_CASE("a stop that was unanswered when the shard was lost is sent again when the shard is held again")
{
    SessionFixture fixture;
    fixture.session().start(task, 1, taskPayload(60000ms, resources), resources, 60000ms, "");
    fixture.run(500ms);
    fixture.targets().faults.unreachableTargets = { TargetId("target") };
    fixture.session().stop(task);
    fixture.run(20ms);
    fixture.session().close();
    fixture.run(300ms);
    fixture.targets().faults.unreachableTargets.clear();
    fixture.session().setToken(FencingToken(2));
    fixture.run(1s);
    CHECK(fixture.targets().runs().at(task).front().ending == "stopped");
    CHECK(fixture.session().runs().empty());
}

// The number of the last acknowledged completion was sent to a new incarnation, which counts from 1 and forgot the
// completion of the run. The run counted as lost by a crash, and the task started again although it had succeeded.
TEST_CASE("a completion of a new incarnation is not acknowledged by the number of an earlier one")
{
    SessionFixture fixture;
    for (std::uint32_t i = 0; i < 3; ++i) {
        fixture.session().start({ JobId("a"), 0, i }, 1, taskPayload(10ms, resources), resources, 10ms, "");
        fixture.run(100ms);
        fixture.session().acknowledgeCompletion(1, i + 1);
    }
    REQUIRE(fixture.completions().size() == 3);
    fixture.run(100ms);
    fixture.targets().restart(TargetId("target"));
    // The poll that is under way is lost with the earlier incarnation.
    const TaskId later { JobId("a"), 0, 3 };
    fixture.session().start(later, 1, taskPayload(10ms, resources), resources, 10ms, "");
    fixture.run(2s);
    REQUIRE(fixture.session().incarnationMs() == 2);
    REQUIRE(fixture.completions().size() == 4);
    CHECK(fixture.completions().back().outcome == RunOutcome::Done);
    CHECK(fixture.losses().empty());
}

// Calls to the earlier incarnation that were left unanswered may extend the lease of a run on the next one.
TEST_CASE("nothing starts on a restarted target before it has refused the earlier token")
{
    SessionFixture fixture;
    fixture.targets().restart(TargetId("target"));
    fixture.run(700ms);
    REQUIRE(fixture.session().incarnationMs() == 2);
    fixture.session().setReport(fixture.targets().reports().at(TargetId("target")));
    CHECK_FALSE(fixture.session().canStart());
    fixture.session().raiseToken(FencingToken(2));
    fixture.run(50ms);
    CHECK(fixture.session().canStart());
}
