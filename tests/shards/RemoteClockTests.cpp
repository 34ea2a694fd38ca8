#include "rattanroad_shards/entrance/RemoteClock.h"

#include <catch2/catch.hpp>

using namespace rattanroad;
using namespace rattanroad::shards;
using namespace std::chrono_literals;

// Guards against taking a submission for newer than it is, which would start a job that runs elsewhere.
TEST_CASE("the estimate of another host's clock is never ahead of it and ignores delayed messages")
{
    constexpr std::int64_t offset = 777000;
    const TimePoint start { 500s };
    RemoteClock clock;
    CHECK_FALSE(clock.estimate(start));
    const auto receive = [&](TimePoint sentAt, Duration transit) {
        clock.update(toMilliseconds(sentAt) + offset, sentAt + transit);
        const std::uint64_t actual = toMilliseconds(sentAt + transit) + offset;
        CHECK(*clock.estimate(sentAt + transit) <= actual);
        return actual - *clock.estimate(sentAt + transit);
    };
    CHECK(receive(start, 80ms) == 80);
    CHECK(receive(start + 100ms, 2ms) == 2);
    CHECK(receive(start + 200ms, 900ms) <= 3);
    CHECK(receive(start + 60s, 2ms) == 2);
}
