#include "shards/FleetChecks.h"

#include <algorithm>

using namespace rattanroad;
using namespace rattanroad::emulator;
using namespace rattanroad::shards;
using namespace std::chrono_literals;

namespace {

/** A new holder starts stored tasks again once no earlier one can be active, and the task works for 2 s. */
constexpr auto recoveryTime = 18s;

/** A fleet with a job whose only task fails twice, with three attempts allowed, and then succeeds after 2 s. */
class FailingTaskFleet {
public:
    explicit FailingTaskFleet(bool isBestEffort)
    {
        m_fleet.startAll();
        m_fleet.targets().faults.failuresBeforeSuccess = { { m_job, 2 } };
        m_fleet.setCallerWait(20s);
        m_call = &m_fleet.submit(hostWithoutShard(), m_job.value(), 1, 2000ms, isBestEffort);
    }

    EmulatedFleet& fleet() { return m_fleet; }
    const EmulatedFleet::Call& call() const { return *m_call; }
    /** Returns the failed runs that the record of the job counts. */
    std::uint32_t recordedFailures() const
    {
        protocol::JobRecord record;
        const auto value = m_fleet.store().value("rattanroad/job/" + m_job.value());
        if (!value || !record.ParseFromString(*value) || record.progress().empty())
            return 0;
        return record.progress(0).failed_runs();
    }
    std::size_t failures() const
    {
        const auto found = m_fleet.targets().runs().find(m_task);
        if (found == m_fleet.targets().runs().end())
            return 0;
        return static_cast<std::size_t>(std::count_if(
            found->second.begin(), found->second.end(), [](const auto& run) { return run.ending == "failed"; }));
    }
    /** Returns the target of the latest run. */
    TargetId lastTarget() const { return m_fleet.targets().runs().at(m_task).back().target; }
    /** Returns the holder of the shard of the latest run. */
    HostId holder() const
    {
        return m_fleet.holderOf(m_fleet.targets().reports().at(lastTarget()).failureDomain.value());
    }
    std::optional<JobState> state() { return stateOf(m_fleet, hostWithoutShard(), m_job.value()); }

private:
    HostId hostWithoutShard() const
    {
        for (const HostId& host : m_fleet.hosts()) {
            if (m_fleet.isUp(host) && host != m_fleet.holderOf("north") && host != m_fleet.holderOf("south"))
                return host;
        }
        return HostId();
    }

    const JobId m_job { "a" };
    const TaskId m_task { m_job, 0, 0 };
    mutable EmulatedFleet m_fleet;
    EmulatedFleet::Call* m_call { nullptr };
};

}

// The holder dies between the write of a record that counts the failed runs and the next poll, which would have
// acknowledged them. Its successor read the count, was told the same completions, and counted them again.
TEST_CASE("failed runs that a killed holder has recorded are not counted again")
{
    FailingTaskFleet failing(false);
    EmulatedFleet& fleet = failing.fleet();
    REQUIRE(fleet.runUntil([&] { return failing.recordedFailures() == 2; }, 4s));
    fleet.run(GENERATE(0ms, 2ms, 10ms));
    const HostId holder = failing.holder();
    fleet.kill(holder);
    fleet.run(3500ms);
    fleet.start(holder);
    fleet.run(recoveryTime);
    showLog(fleet);
    CHECK(failing.state() == JobState::Done);
    CHECK(failing.failures() == 2);
    requireNoViolations(fleet);
}

// The same at a planned end, between the report of a failure and its acknowledgement.
TEST_CASE("failed runs that a holder has handed over are not counted again")
{
    const bool isBestEffort = GENERATE(false, true);
    FailingTaskFleet failing(isBestEffort);
    EmulatedFleet& fleet = failing.fleet();
    if (isBestEffort)
        REQUIRE(fleet.runUntil([&] { return failing.failures() == 2; }, 4s));
    else
        REQUIRE(fleet.runUntil([&] { return failing.recordedFailures() == 2; }, 4s));
    fleet.run(GENERATE(0ms, 1ms, 2ms, 3ms, 4ms, 10ms));
    fleet.node(failing.holder()).drain();
    fleet.run(recoveryTime);
    showLog(fleet);
    if (isBestEffort)
        CHECK(failing.call().verdicts == std::vector<EntranceVerdict> { EntranceVerdict::Done });
    else
        CHECK(failing.state() == JobState::Done);
    CHECK(failing.failures() == 2);
    requireNoViolations(fleet);
}

// A further failure counts once, also after a change of the holder: the count must not grow too slowly either.
TEST_CASE("a task starts no more often than allowed after a killed holder has recorded its failed runs")
{
    FailingTaskFleet failing(false);
    EmulatedFleet& fleet = failing.fleet();
    REQUIRE(fleet.runUntil([&] { return failing.recordedFailures() == 2; }, 4s));
    fleet.targets().faults.failuresBeforeSuccess = { { JobId("a"), 100 } };
    const HostId holder = failing.holder();
    fleet.kill(holder);
    // The third run, which its killed holder had started, would succeed.
    fleet.targets().crash(failing.lastTarget());
    fleet.run(3500ms);
    fleet.start(holder);
    fleet.run(recoveryTime);
    showLog(fleet);
    CHECK(failing.state() == JobState::Failed);
    CHECK(failing.failures() == 3);
    requireNoViolations(fleet);
}
