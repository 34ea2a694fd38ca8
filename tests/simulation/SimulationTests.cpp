#include "simulation/run/SeedRange.h"

#include <catch2/catch.hpp>

using namespace rattanroad;

// Guards against broken guarantees, lost answers and missing recovery under combined faults: kills, freezes, cuts,
// store outages, operators racing, leaving and failing targets, cancellation waves and graceful shutdowns.
TEST_CASE("seeded failure runs keep all guarantees")
{
    std::size_t completed = 0;
    const std::vector<FailureRun::Outcome> failed = SeedRange::run(1, 100, 3, completed);
    for (const FailureRun::Outcome& outcome : failed)
        UNSCOPED_INFO(outcome.report());
    CHECK(failed.empty());
    CHECK(completed > 5000);
}

// Guards against runs that cannot be repeated: a failing seed would be worthless.
TEST_CASE("the same seed gives the same history")
{
    CHECK(FailureRun::run(7).history.events().size() == FailureRun::run(7).history.events().size());
}
