#include "rattanroad_core/rattanroad_core.h"
#include "rattanroad_ledger/rattanroad_ledger.h"

#include <catch2/catch.hpp>

using namespace rattanroad;
using namespace std::chrono_literals;
using Registration = KeyDirectory::Registration;

namespace {

const TeamId team("ingofero");

SubmissionId numbered(std::uint64_t sequence)
{
    return { { FailureDomainId("remera"), HostId("a"), Incarnation(1), SegmentNumber(1) }, {},
        SequenceNumber(sequence) };
}

}

// Guards against a resubmitted key that runs again, and against one team that reaches the request of another.
TEST_CASE("a key keeps its first submission id within its team")
{
    VirtualClock clock;
    KeyDirectory keys({}, clock);
    keys.setRegistration(Registration::NoEarlierProcess);
    CHECK(keys.bind(team, "k", numbered(1))->isNew);
    clock.advance(9min);
    CHECK(keys.bind(team, "k", numbered(2))->id == numbered(1));
    CHECK(keys.bind(TeamId("calabash"), "k", numbered(3))->isNew);
    // The use after 9 minutes renewed the binding.
    clock.advance(9min);
    CHECK_FALSE(keys.bind(team, "k", numbered(4))->isNew);
    clock.advance(11min);
    keys.tick();
    CHECK(keys.size() == 0);
}

// Guards against a restarted key home that binds a key again which its previous process had bound.
TEST_CASE("a key home refuses keys while an earlier binding cannot be excluded")
{
    VirtualClock clock;
    KeyDirectory keys({}, clock);
    CHECK(keys.bind(team, "k", numbered(1)).lastReason().code == FailureCode::NotDecidedHere);
    CHECK(keys.bind(team, "k", numbered(1)).lastReason().runState == RunState::NotRun);
    const auto registration = GENERATE(Registration::EarlierProcess, Registration::StoreUnavailable);
    keys.setRegistration(registration);
    clock.advance(10min - 1ms);
    CHECK_FALSE(keys.bind(team, "k", numbered(1)));
    clock.advance(1ms);
    CHECK(keys.bind(team, "k", numbered(1)));
}

// Guards against a key home that stays closed after the store is back, and against a new home that binds a key which
// the previous home of that key had bound.
TEST_CASE("a late registration opens the key home, a change of the homes closes it for new keys")
{
    VirtualClock clock;
    KeyDirectory keys({}, clock);
    keys.setRegistration(Registration::StoreUnavailable);
    keys.setRegistration(Registration::NoEarlierProcess);
    CHECK(keys.bind(team, "k", numbered(1)));
    keys.setHomesChanged();
    CHECK(keys.bind(team, "k", numbered(2)));
    CHECK_FALSE(keys.bind(team, "other", numbered(3)));
    clock.advance(10min);
    CHECK(keys.bind(team, "other", numbered(3)));
}
