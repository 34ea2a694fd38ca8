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
        hooks.ended = [](TargetSession&, const RunCompletion&) {};
        hooks.lost = [](TargetSession&, const RunLoss&) {};
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
    std::size_t stopRequests() const { return m_stopRequests; }
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
    std::size_t m_stopRequests { 0 };
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
