#include "rattanroad_core/time/VirtualClock.h"
#include "rattanroad_shards/evacuation/EvacuationTable.h"
#include "rattanroad_shards/evacuation/ReturnedJobs.h"

#include <catch2/catch.hpp>

using namespace rattanroad;
using namespace rattanroad::shards;
using namespace std::chrono_literals;

namespace {

const FailureDomainId north("north");
const FailureDomainId south("south");

/** A table with the bound of a known deployment, whose host has just read the operator's keys. */
class TableOfHost {
public:
    TableOfHost() { table.readUntil(clock.now()); }
    bool mayStart() const { return table.mayStart(north, false); }

    VirtualClock clock;
    EvacuationTable table { { 5000ms }, clock };
};

}

TEST_CASE("accepted jobs start for two of the five seconds after an evacuation was read")
{
    // Guards against starts up to the bound, which leave no time for requests that are under way.
    TableOfHost host;
    REQUIRE(host.mayStart());
    host.table.written(north);
    REQUIRE(host.table.isEvacuated(north));
    host.clock.advance(1990ms);
    REQUIRE(host.mayStart());
    host.clock.advance(10ms);
    REQUIRE_FALSE(host.mayStart());
    REQUIRE(host.table.removed(north));
    host.table.readUntil(host.clock.now());
    REQUIRE(host.mayStart());
}

TEST_CASE("the age of what a host has read shortens the time for starts")
{
    // Guards against counting from the read: the key may have been written at any time since the read before.
    TableOfHost host;
    host.clock.advance(2900ms);
    host.table.written(north);
    REQUIRE(host.mayStart());
    host.clock.advance(100ms);
    REQUIRE_FALSE(host.mayStart());
}

TEST_CASE("an evacuation that is found at the first read stops starts at once")
{
    VirtualClock clock;
    EvacuationTable table { { 5000ms }, clock };
    // Nothing starts either while the keys of the operator are unknown.
    REQUIRE_FALSE(table.mayStart(south, false));
    table.written(north);
    table.readUntil(clock.now());
    REQUIRE_FALSE(table.mayStart(north, true));
    REQUIRE(table.mayStart(south, false));
}

TEST_CASE("without a bound an evacuation stops starts at once, and nothing else does")
{
    VirtualClock clock;
    EvacuationTable table { {}, clock };
    REQUIRE(table.mayStart(north, false));
    table.readUntil(clock.now());
    table.written(north);
    REQUIRE_FALSE(table.mayStart(north, false));
}

TEST_CASE("nothing starts while the operator's keys are old and the store is in reach")
{
    TableOfHost host;
    host.clock.advance(4s);
    REQUIRE_FALSE(host.mayStart());
    REQUIRE(host.table.mayStart(north, true));
}

TEST_CASE("a report of a peer counts for a second, and not on a host that has read the keys recently")
{
    // Guards against a host that has read the end of an evacuation and is told of it by one that has not.
    TableOfHost host;
    REQUIRE_FALSE(host.table.reportedByPeer(north));
    REQUIRE(host.mayStart());
    host.clock.advance(2s);
    REQUIRE(host.table.reportedByPeer(north));
    REQUIRE_FALSE(host.mayStart());
    host.clock.advance(900ms);
    REQUIRE_FALSE(host.table.reportedByPeer(north));
    host.clock.advance(900ms);
    REQUIRE(host.table.removeOutdatedReports().empty());
    REQUIRE(host.table.isEvacuated(north));
    host.clock.advance(100ms);
    REQUIRE(host.table.removeOutdatedReports() == std::vector<FailureDomainId> { north });
    REQUIRE_FALSE(host.table.isEvacuated(north));
}

TEST_CASE("an evacuation that a peer has reported gets no new time for starts when it is read")
{
    TableOfHost host;
    host.clock.advance(2s);
    REQUIRE(host.table.reportedByPeer(north));
    REQUIRE(host.table.written(north));
    REQUIRE_FALSE(host.mayStart());
    host.clock.advance(5s);
    REQUIRE(host.table.removeOutdatedReports().empty());
    REQUIRE(host.table.isEvacuated(north));
}

TEST_CASE("a submission that was sent before its origin knew of the return does not bring the job back")
{
    VirtualClock clock;
    ReturnedJobs returned({}, clock);
    const JobId job("a");
    returned.add(job, "origin");
    clock.advance(10ms);
    const TimePoint later = clock.now();
    REQUIRE(returned.origin(job, true, later) == std::string("origin"));
    REQUIRE(returned.origin(job, false, later - 10ms) == std::string("origin"));
    REQUIRE_FALSE(returned.origin(job, false, later));
    REQUIRE_FALSE(returned.origin(JobId("b"), true, later));
    clock.advance(6s);
    REQUIRE_FALSE(returned.origin(job, true, clock.now()));
}
