#include "rattanroad_core/time/VirtualClock.h"
#include "rattanroad_shards/entrance/JobShardMap.h"

#include <catch2/catch.hpp>
#include <ctime>

using namespace rattanroad;
using namespace rattanroad::shards;
using namespace std::chrono_literals;

namespace {

double processorMilliseconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_nsec) / 1e6;
}

}

// Every host inserts every job of the fleet; control may take 3.3 % of a core.
TEST_CASE("a host is not slowed down by the jobs that it has forgotten")
{
    VirtualClock clock;
    JobShardMap map({}, clock);
    const ShardId shard("north");
    int jobs = 0;
    const auto insertForSeconds = [&](int seconds) {
        for (int i = 0; i < seconds * 800; ++i) {
            clock.advance(1250us);
            map.insert(JobId("job-" + std::to_string(jobs++)), shard);
        }
    };
    insertForSeconds(30);
    const double before = processorMilliseconds();
    insertForSeconds(10);
    CHECK((processorMilliseconds() - before) / 10 < 33);
    CHECK_FALSE(map.shardOf(JobId("job-0")));
    CHECK(map.shardOf(JobId("job-" + std::to_string(jobs - 1))) == shard);
}
