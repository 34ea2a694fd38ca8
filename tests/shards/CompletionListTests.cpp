#include "shards/FleetChecks.h"

using namespace rattanroad;
using namespace rattanroad::emulator;
using namespace rattanroad::shards;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t taskCount = 60;

/** Returns the number of starts of tasks of the job after a run of the same task has succeeded. */
std::size_t startsAfterSuccess(EmulatedFleet& fleet, const std::string& job)
{
    std::size_t count = 0;
    for (const auto& task : fleet.targets().runs()) {
        if (task.first.job.value() != job)
            continue;
        TimePoint doneAt = TimePoint::max();
        for (const auto& run : task.second) {
            count += run.startedAt >= doneAt ? 1 : 0;
            if (run.ending == "done")
                doneAt = std::min(doneAt, run.endedAt);
        }
    }
    return count;
}

}

// While the store is down no completion is acknowledged, so a target soon has more of them than it lists at a time.
// Runs whose completions were not listed counted as interrupted, and their tasks started again although they had
// succeeded.
TEST_CASE("tasks whose completions do not fit into the lists of their targets do not start again")
{
    EmulatedFleet fleet;
    fleet.startAll();
    fleet.targets().faults.completionsPerReply = 3;
    const HostId host = fleet.hosts().front();
    fleet.submit(host, "a", taskCount, 200ms, false);
    fleet.run(100ms);
    fleet.store().faults.isDown = true;
    fleet.run(4500ms);
    fleet.store().faults.isDown = false;
    fleet.run(20s);
    showLog(fleet);
    CHECK(startsAfterSuccess(fleet, "a") == 0);
    CHECK(stateOf(fleet, host, "a") == JobState::Done);
    requireNoViolations(fleet);
}

// A new holder must not take the first list of a target for all of its completions.
TEST_CASE("a new holder starts no task again whose completion does not fit into the first list of its target")
{
    EmulatedFleet fleet;
    fleet.startAll();
    // From now on a new holder need not wait until no earlier one can be active.
    fleet.run(14s);
    fleet.targets().faults.completionsPerReply = 3;
    const HostId host = fleet.hosts().front();
    fleet.submit(host, "a", taskCount, 200ms, false);
    // No completion is acknowledged yet.
    fleet.run(600ms);
    const TargetId target = fleet.targets().runs().begin()->second.front().target;
    const HostId holder = fleet.holderOf(fleet.targets().reports().at(target).failureDomain.value());
    fleet.kill(holder);
    fleet.run(5s);
    fleet.start(holder);
    fleet.run(20s);
    showLog(fleet);
    CHECK(startsAfterSuccess(fleet, "a") == 0);
    CHECK(stateOf(fleet, host, "a") == JobState::Done);
    requireNoViolations(fleet);
}
