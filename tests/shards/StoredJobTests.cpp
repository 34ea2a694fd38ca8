#include "shards/FleetChecks.h"

using namespace rattanroad;
using namespace rattanroad::emulator;
using namespace rattanroad::shards;
using namespace std::chrono_literals;

namespace {

bool isAccepted(const EmulatedFleet::Call& call)
{
    return !call.verdicts.empty() && call.verdicts.back() == EntranceVerdict::Accepted;
}

}

// Guards against a holder that refuses all stored jobs for good after the store has refused its transactions once: no
// record was left to be written again, and only a written record showed that the store was back.
TEST_CASE("stored jobs are accepted again after the store has refused calls for a second")
{
    EmulatedFleet fleet;
    fleet.startAll();
    for (const HostId& host : fleet.hosts())
        fleet.store().faults.refusedHosts.insert(host);
    auto& refused = fleet.submit(fleet.hosts().front(), "a", 1, 50ms, false);
    fleet.run(1s);
    REQUIRE(refused.verdicts.front() == EntranceVerdict::Refused);
    fleet.store().faults.refusedHosts.clear();
    fleet.run(200ms);
    std::vector<EmulatedFleet::Call*> calls;
    for (int i = 0; i < 8; ++i)
        calls.push_back(&fleet.submit(fleet.hosts().front(), "b" + std::to_string(i), 1, 50ms, false));
    fleet.run(1s);
    for (const EmulatedFleet::Call* const call : calls)
        REQUIRE(isAccepted(*call));
    REQUIRE(fleet.startCount("a") == 0);
    requireNoViolations(fleet);
}
