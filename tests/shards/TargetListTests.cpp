#include "emulator/EmulatedTargets.h"
#include "rattanroad_shards/targets/ShardTargets.h"

#include <catch2/catch.hpp>

using namespace rattanroad;
using namespace rattanroad::emulator;
using namespace rattanroad::shards;
using namespace std::chrono_literals;

namespace {

constexpr auto earlierHolderExpiry = ShardTargets::Settings().earlierHolderExpiry;

/** The targets "a" and "b" of one shard, both listed, without sessions. */
class TargetListFixture {
public:
    TargetListFixture()
        : m_queue(m_clock)
        , m_emulated(m_queue)
        , m_calls(m_emulated.callsFrom(HostId("host")))
        , m_targets({}, m_calls,
              { [this](Duration delay, std::function<void()> action) { m_queue.after(delay, std::move(action)); } },
              m_clock, hooks(), {})
    {
        for (const char* const id : { "a", "b" }) {
            TargetReport report;
            report.id = TargetId(id);
            report.service = ServiceId("quotes");
            report.address = id;
            report.capacity = { 32000, 65536, 0 };
            report.bornMs = 1;
            m_emulated.add(report);
            m_targets.listed(report);
        }
    }

    /** Opens the sessions as a host does that acquires the shard. */
    void acquire(std::uint64_t token)
    {
        m_targets.clear();
        m_targets.open(FencingToken(token));
        m_targets.listRead();
        run(100ms);
    }
    void run(Duration duration) { m_queue.runUntil(m_clock.now() + duration); }
    ShardTargets& targets() { return m_targets; }

private:
    static TargetSession::Hooks hooks()
    {
        TargetSession::Hooks hooks;
        hooks.ready = [](TargetSession&) {};
        hooks.ended = [](TargetSession&, const RunCompletion&) {};
        hooks.lost = [](TargetSession&, const RunLoss&) {};
        hooks.foundRun = [](TargetSession&, const RunningTask&) { return std::nullopt; };
        hooks.rejected = [](TargetSession&, const TaskId&, std::uint32_t, TargetCallResult) {};
        hooks.roomChanged = [] {};
        hooks.fenced = [] {};
        return hooks;
    }

    VirtualClock m_clock;
    EventQueue m_queue;
    EmulatedTargets m_emulated;
    TargetCalls m_calls;
    ShardTargets m_targets;
};

}

TEST_CASE("the target list is not complete while an earlier holder may use a target that it lost in an interruption")
{
    TargetListFixture fixture;
    fixture.acquire(1);
    fixture.run(earlierHolderExpiry);
    REQUIRE(fixture.targets().areReconciled());
    fixture.targets().listInterrupted();
    fixture.run(earlierHolderExpiry - 100ms);
    REQUIRE(!fixture.targets().areReconciled());
    fixture.run(100ms);
    REQUIRE(fixture.targets().areReconciled());
}

TEST_CASE("the target list has a gap when a target left it that never had a session")
{
    TargetListFixture fixture;
    fixture.run(earlierHolderExpiry);
    fixture.targets().unlisted(TargetId("b"));
    fixture.acquire(2);
    REQUIRE(!fixture.targets().areReconciled());
}

TEST_CASE("the target list has a gap when a target left it between two holdings")
{
    TargetListFixture fixture;
    fixture.acquire(1);
    fixture.run(earlierHolderExpiry);
    REQUIRE(fixture.targets().areReconciled());
    fixture.targets().close();
    fixture.run(earlierHolderExpiry);
    fixture.targets().unlisted(TargetId("b"));
    fixture.acquire(3);
    REQUIRE(!fixture.targets().areReconciled());
}
