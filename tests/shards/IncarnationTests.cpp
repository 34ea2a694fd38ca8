#include "rattanroad_shards/holding/TokenRaise.h"
#include "rattanroad_shards/targets/IncarnationGuard.h"
#include "shards/FleetChecks.h"

#include <algorithm>

#include <catch2/catch.hpp>

using namespace rattanroad;
using namespace rattanroad::emulator;
using namespace rattanroad::shards;
using namespace std::chrono_literals;

namespace {

/** A fleet of one failure domain that has run for a while. */
class RestartingFleet {
public:
    explicit RestartingFleet(int targets)
        : m_fleet(settings(targets))
    {
        m_fleet.startAll();
        m_fleet.run(5s);
        m_fleet.setCallerWait(8s);
    }

    EmulatedFleet& fleet() { return m_fleet; }
    EmulatedFleet::Call& submit(const std::string& job, std::chrono::milliseconds duration, bool isBestEffort)
    {
        return m_fleet.submit(m_fleet.hosts().front(), job, 1, duration, isBestEffort);
    }
    /** Restarts all targets but one. */
    void restartTargets(const TargetId& spared = TargetId())
    {
        for (const auto& report : std::map<TargetId, TargetReport>(m_fleet.targets().reports())) {
            if (report.first != spared)
                m_fleet.targets().restart(report.first);
        }
    }
    TargetId targetWithRun() const
    {
        for (const auto& task : m_fleet.targets().runs()) {
            for (const auto& run : task.second) {
                if (run.endedAt == TimePoint::max())
                    return run.target;
            }
        }
        return TargetId();
    }
    /** Returns the number of lines in the log that contain @p text. */
    std::size_t logCount(const std::string& text) const
    {
        return static_cast<std::size_t>(std::count_if(m_fleet.log().begin(), m_fleet.log().end(),
            [&text](const std::string& line) { return line.find(text) != std::string::npos; }));
    }

private:
    static EmulatedFleet::Settings settings(int targets)
    {
        EmulatedFleet::Settings settings;
        settings.domains = { "north" };
        settings.targetsPerDomain = targets;
        return settings;
    }

    mutable EmulatedFleet m_fleet;
};

}

TEST_CASE("a new incarnation is exposed to the calls that earlier ones left unanswered")
{
    VirtualClock clock;
    IncarnationGuard guard(15s, clock);
    guard.callEnded(guard.callSent(), true);
    guard.beginIncarnation(FencingToken(1));
    CHECK_FALSE(guard.isBlocked());
    guard.callEnded(guard.callSent(), false);
    clock.advanceTo(clock.now() + 2s);
    const std::uint64_t late = guard.callSent();
    guard.beginIncarnation(FencingToken(1));
    CHECK(guard.isBlocked());
    CHECK(guard.exposedUntil() == clock.now() + 15s);
    // The call was sent to the earlier incarnation and is counted already.
    clock.advanceTo(clock.now() + 1s);
    guard.callEnded(late, false);
    clock.advanceTo(clock.now() + 14s);
    CHECK_FALSE(guard.isBlocked());
    CHECK_FALSE(guard.exposedUntil());
    guard.beginIncarnation(FencingToken(1));
    CHECK_FALSE(guard.isBlocked());
}

// The lease of a run on such a target may be extended until the last late poll has arrived.
TEST_CASE("a task on a lost target that accepts old tokens starts elsewhere once no late poll can extend its lease")
{
    RestartingFleet restarting(2);
    EmulatedFleet& fleet = restarting.fleet();
    auto& faults = fleet.targets().faults;
    faults.areOldTokensAccepted = true;
    faults.lateBy = GENERATE(2000ms, 2300ms, 2600ms);
    faults.delayEvery = 1;
    fleet.run(420ms);
    faults.delayEvery = 0;
    restarting.restartTargets();
    fleet.run(500ms);
    restarting.submit("a", 4s, false);
    fleet.run(800ms);
    REQUIRE(fleet.targets().running() == 1);
    faults.unreachableTargets.insert(restarting.targetWithRun());
    fleet.run(8s);
    CHECK(fleet.startCount("a") == 1);
    fleet.run(14s);
    CHECK(fleet.startCount("a") == 2);
    requireNoViolations(fleet);
}

TEST_CASE("targets that restart together cause one raise of the token, and the others go on undisturbed")
{
    RestartingFleet restarting(3);
    EmulatedFleet& fleet = restarting.fleet();
    restarting.submit("a", 1500ms, true);
    fleet.run(300ms);
    REQUIRE(fleet.targets().running() == 1);
    restarting.restartTargets(restarting.targetWithRun());
    fleet.run(900ms);
    CHECK(restarting.logCount("shard_token_raised") == 1);
    const auto& call = restarting.submit("b", 100ms, true);
    fleet.run(1s);
    CHECK(call.verdicts.size() == 1);
    CHECK(fleet.startCount("a") == 1);
    CHECK(restarting.logCount("shard_lost") == 0);
    requireNoViolations(fleet);
}

TEST_CASE("nothing starts on a restarted target while the token cannot be raised")
{
    RestartingFleet restarting(2);
    EmulatedFleet& fleet = restarting.fleet();
    for (const char* const job : { "a", "b", "c", "d" })
        restarting.submit(job, 4s, false);
    fleet.run(300ms);
    REQUIRE(fleet.targets().running() == 4);
    restarting.restartTargets(fleet.targets().reports().begin()->first);
    fleet.store().faults.isDown = true;
    fleet.run(1300ms);
    CHECK(fleet.targets().running() == 2);
    fleet.store().faults.isDown = false;
    fleet.run(1s);
    CHECK(fleet.targets().running() > 2);
    CHECK(restarting.logCount("shard_token_raised") == 1);
    requireNoViolations(fleet);
}

// The store limits the writes of all hosts together.
TEST_CASE("the token is raised at most every 250 ms, however often this is requested")
{
    VirtualClock clock;
    EventQueue queue(clock);
    FencingToken token(1);
    int writes = 0;
    KeyValueStore store;
    store.transact = [&](const KeyTransaction&, const std::function<void(const TransactionReply&)>& callback) {
        ++writes;
        TransactionReply reply;
        reply.status = StoreStatus::Done;
        reply.revision = KeyRevision(token.value() + 1);
        queue.after(4ms, [callback, reply] { callback(reply); });
    };
    TokenRaise::Hooks hooks;
    hooks.key = [&token] { return TokenRaise::HolderKey { token, StoreLeaseId(1), "holder" }; };
    hooks.raised = [&token](FencingToken raised) { token = raised; };
    hooks.keyLost = [] {};
    const Timers timers { [&queue](Duration delay, std::function<void()> action) {
        queue.after(delay, std::move(action));
    } };
    TokenRaise raise({ "shard" }, store, timers, clock, hooks);
    for (int i = 0; i < 200; ++i) {
        raise.request();
        queue.runUntil(clock.now() + 10ms);
    }
    CHECK(writes >= 7);
    CHECK(writes <= 8);
}

// A target that was back with less room got tasks by the entry of its earlier incarnation.
TEST_CASE("nothing starts on a target that is back as another kind until its entry is current")
{
    RestartingFleet restarting(2);
    EmulatedFleet& fleet = restarting.fleet();
    const TargetId spared = fleet.targets().reports().begin()->first;
    const TargetId changed = fleet.targets().reports().rbegin()->first;
    fleet.targets().faults.entryDelay = 2s;
    fleet.targets().setNextCapacity(changed, { 20000, 65536, 0 });
    restarting.restartTargets(spared);
    fleet.run(900ms);
    // The earlier incarnation had room for two runs, the spared target has room for two.
    for (const char* const job : { "a", "b", "c", "d" })
        restarting.submit(job, 3s, true);
    fleet.run(900ms);
    CHECK(fleet.targets().running() == 2);
    fleet.run(800ms);
    CHECK(fleet.targets().running() == 3);
    requireNoViolations(fleet);
}

// The store executes the write without a reply, at once or 3 s later. The holder took its own write for that of another
// host, or gave its lease up.
TEST_CASE("a holder keeps its shard when the reply to a raise of the token is lost")
{
    const bool isLate = GENERATE(false, true);
    RestartingFleet restarting(3);
    EmulatedFleet& fleet = restarting.fleet();
    restarting.restartTargets();
    (isLate ? fleet.store().faults.lateTransactions : fleet.store().faults.repliesToLose) = 1;
    fleet.run(2s);
    CHECK(restarting.logCount("shard_token_raised") == 1);
    for (int i = 0; i < 20; ++i) {
        const auto& call = restarting.submit("job-" + std::to_string(i), 50ms, false);
        fleet.run(200ms);
        REQUIRE(call.verdicts == std::vector<EntranceVerdict> { EntranceVerdict::Accepted });
    }
    CHECK(restarting.logCount("shard_lost") == 0);
    CHECK(restarting.logCount("lease_lost") == 0);
    requireNoViolations(fleet);
}

// Records are stored under the condition that the shard's key has the token as its revision.
TEST_CASE("stored jobs are accepted and run while the token is raised again and again")
{
    RestartingFleet restarting(4);
    EmulatedFleet& fleet = restarting.fleet();
    const TargetId spared = fleet.targets().reports().begin()->first;
    const std::size_t raisesBefore = restarting.logCount("shard_token_raised");
    std::vector<EmulatedFleet::Call*> calls;
    for (int i = 0; i < 300; ++i) {
        if (i % 20 == 0)
            restarting.restartTargets(spared);
        calls.push_back(&restarting.submit("job-" + std::to_string(i), 20ms, false));
        fleet.run(20ms);
    }
    fleet.run(5s);
    for (const EmulatedFleet::Call* const call : calls)
        REQUIRE(call->verdicts == std::vector<EntranceVerdict> { EntranceVerdict::Accepted });
    const std::size_t raises = restarting.logCount("shard_token_raised") - raisesBefore;
    CHECK(raises >= 5);
    CHECK(raises <= 6s / 250ms);
    CHECK(restarting.logCount("shard_lost") == 0);
    CHECK(restarting.logCount("lease_lost") == 0);
    requireNoViolations(fleet);
}
