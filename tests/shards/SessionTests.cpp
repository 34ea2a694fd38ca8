#include "emulator/EmulatedTargets.h"
#include "rattanroad_shards/targets/TargetSession.h"

#include <catch2/catch.hpp>

using namespace rattanroad;
using namespace rattanroad::emulator;
using namespace rattanroad::shards;
using namespace std::chrono_literals;

namespace {

/** One session with one target. */
class LoneSession {
public:
    LoneSession()
        : m_queue(m_clock)
        , m_targets(m_queue)
        , m_calls(m_targets.callsFrom(HostId("host")))
    {
        m_calls.stop = [this, stop = m_calls.stop](const StopOrder& order, auto callback) {
            ++m_stops;
            stop(order, std::move(callback));
        };
        m_calls.hold = [this, hold = m_calls.hold](const HoldOrder& order, auto callback) {
            hold(order, [this, callback](const HoldReply& reply) { callback(m_areHoldsLost ? HoldReply() : reply); });
        };
        TargetReport report;
        report.id = TargetId("target");
        report.capacity = { 32000, 65536, 0 };
        report.bornMs = 1;
        m_targets.add(report);
        TargetSession::Hooks hooks;
        hooks.ready = [](TargetSession&) {};
        hooks.ended = [](TargetSession&, const EndedTask&) {};
        hooks.found = [](TargetSession&, const RunningTask&) { return std::nullopt; };
        hooks.rejected = [](TargetSession&, const TaskId&, std::uint32_t, TargetEnding) {};
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

    void setHoldsLost(bool areLost) { m_areHoldsLost = areLost; }
    std::size_t stops() const { return m_stops; }
    EmulatedTargets& targets() { return m_targets; }
    TargetSession& session() { return *m_session; }

private:
    VirtualClock m_clock;
    EventQueue m_queue;
    EmulatedTargets m_targets;
    TargetCalls m_calls;
    std::unique_ptr<TargetSession> m_session;
    /** Answers of holds do not arrive. */
    bool m_areHoldsLost { false };
    std::size_t m_stops { 0 };
};

const TaskId task { JobId("a"), 0, 0 };
const Resources resources { 14000, 1024, 0 };

}

// Found on the grown deployment: a process that got no processor time between the choice of a target and the start.
TEST_CASE("time may pass between the choice of a target and the start of a task on it")
{
    LoneSession lone;
    lone.targets().faults.unreachableTargets = { TargetId("target") };
    while (lone.session().canStart())
        lone.run(1ms);
    lone.targets().faults.unreachableTargets.clear();
    lone.session().start(task, 1, taskPayload(40ms, resources), resources, 40ms, "");
    lone.run(20ms);
    REQUIRE(lone.targets().running() == 1);
    lone.run(1s);
    REQUIRE(lone.session().runs().empty());
    REQUIRE(lone.targets().runs().at(task).front().ending == "done");
}

TEST_CASE("a start whose first sending has run to its end is not stopped")
{
    LoneSession lone;
    lone.targets().faults.startRepliesToLose = 1;
    lone.setHoldsLost(true);
    lone.session().start(task, 1, taskPayload(30ms, resources), resources, 30ms, "");
    lone.run(300ms);
    REQUIRE(lone.session().runs().size() == 1);
    lone.setHoldsLost(false);
    lone.run(1s);
    REQUIRE(lone.session().runs().empty());
    REQUIRE(lone.stops() == 0);
    REQUIRE(lone.targets().runs().at(task).size() == 1);
}
