#include "configuration/ConfigurationFleet.h"

#include <catch2/catch.hpp>

using namespace rattanroad;
using namespace std::chrono_literals;

namespace {

/** One operator's change, applied through the virtual store. */
class OperatorChange {
public:
    OperatorChange(VirtualStore& store, VirtualClock& clock, RandomSource& random, std::uint64_t base,
        const std::string& changeId, const std::string& author, SlotCount quota = SlotCount(6))
    {
        const auto value = exampleConfigurationValue(base + 1, changeId, quota);
        ApplyOperation::Hooks hooks;
        hooks.get = [&](const StoreGet& get) {
            store.get(get, [this](const auto& answer) { operation->handleGetAnswer(answer); });
        };
        hooks.putIf = [&](const StorePutIf& put) {
            store.putIf(put, [this](const auto& answer) { operation->handlePutIfAnswer(answer); });
        };
        hooks.finished = [this](const ApplyOperation::Outcome& result) {
            REQUIRE_FALSE(outcome);
            outcome = result;
        };
        operation = std::make_unique<ApplyOperation>(
            ConfigurationChange { Revision(base), value.changeId, author, value.time, value.inventory },
            ApplyOperation::Settings(), clock, random, hooks);
    }

    std::unique_ptr<ApplyOperation> operation;
    std::optional<ApplyOperation::Outcome> outcome;
};

struct Fixture {
    VirtualClock clock;
    PcgRandomSource random { 1 };
    VirtualStore store { clock };

    std::unique_ptr<OperatorChange> change(std::uint64_t base, const std::string& changeId,
        const std::string& author = "amina", SlotCount quota = SlotCount(6))
    {
        return std::make_unique<OperatorChange>(store, clock, random, base, changeId, author, quota);
    }

    void run(const std::vector<OperatorChange*>& operators)
    {
        for (auto* each : operators)
            each->operation->start();
        const auto isDone = [](const OperatorChange* each) { return each->operation->isFinished(); };
        for (int step = 0; step < 10000 && !std::all_of(operators.begin(), operators.end(), isDone); ++step) {
            auto next = store.nextEvent();
            for (const auto* each : operators)
                next = std::min(next, each->operation->nextWakeup());
            REQUIRE(next != TimePoint::max());
            clock.advanceTo(std::max(next, clock.now()));
            store.runDue();
            for (auto* each : operators)
                each->operation->tick();
        }
        for (const auto* each : operators)
            REQUIRE(each->outcome);
    }

    std::uint64_t storedRevision() const
    {
        return ConfigurationValue::parse(store.find(ConfigurationKeys::current())->value)->revision.value();
    }
};

}

// Guards against an accepted change that has no history entry.
TEST_CASE("a change is written together with its history")
{
    Fixture fixture;
    auto first = fixture.change(0, "c-1");
    fixture.run({ first.get() });
    REQUIRE(*first->outcome);
    CHECK((**first->outcome).revision == Revision(1));
    const auto* entry = fixture.store.find(ConfigurationKeys::history(Revision(1)));
    REQUIRE(entry);
    CHECK(HistoryEntry::parse(entry->value)->author == "amina");
}

// Guards against a lost update when two operators change the same base revision.
TEST_CASE("one of two concurrent changes wins and the other reports the conflicting revision and author")
{
    Fixture fixture;
    auto first = fixture.change(0, "c-1", "amina", SlotCount(5));
    auto second = fixture.change(0, "c-2", "bello", SlotCount(7));
    fixture.run({ first.get(), second.get() });
    CHECK(bool(*first->outcome) != bool(*second->outcome));
    const auto& loser = *first->outcome ? *second->outcome : *first->outcome;
    CHECK(loser.lastReason().code == FailureCode::ConfigurationConflict);
    CHECK(loser.lastReason().detail.find("revision 1 by amina (change c-1)") != std::string::npos);
    CHECK(fixture.storedRevision() == 1);
}

// Guards against a change that is applied twice or reported as failed because the store's reply was lost.
TEST_CASE("after a lost reply the operation reads back that its write took effect")
{
    Fixture fixture;
    fixture.store.repliesToLose = 1;
    auto change = fixture.change(0, "c-1");
    fixture.run({ change.get() });
    REQUIRE(*change->outcome);
    CHECK((**change->outcome).revision == Revision(1));
    CHECK(fixture.store.writes == 1);
}

// Guards against a change that fails, or conflicts with itself, because its first write never reached the store.
TEST_CASE("a write that never arrived is sent again")
{
    Fixture fixture;
    fixture.store.writesToLose = 1;
    auto change = fixture.change(0, "c-1");
    fixture.run({ change.get() });
    REQUIRE(*change->outcome);
    CHECK(fixture.store.writes == 2);
    CHECK(fixture.storedRevision() == 1);
}

// Guards against a change that is repeated after a lost reply and reported as a conflict because another change
// followed it, and against a change id that is reused for a different document.
TEST_CASE("a repeated change is recognized after a later change")
{
    Fixture fixture;
    auto first = fixture.change(0, "c-1");
    fixture.run({ first.get() });
    auto second = fixture.change(1, "c-2", "bello", SlotCount(7));
    fixture.run({ second.get() });
    auto repeated = fixture.change(0, "c-1");
    fixture.run({ repeated.get() });
    REQUIRE(*repeated->outcome);
    CHECK((**repeated->outcome).revision == Revision(1));
    CHECK((**repeated->outcome).wasAppliedBefore);
    CHECK(fixture.storedRevision() == 2);

    auto reused = fixture.change(2, "c-1", "amina", SlotCount(9));
    fixture.run({ reused.get() });
    CHECK(reused->outcome->lastReason().code == FailureCode::ConfigurationConflict);
}

// Guards against a change that is applied twice when its first write reaches the store after the timeout.
TEST_CASE("a write that arrives after its timeout is applied once")
{
    Fixture fixture;
    fixture.store.writeDelay = 2500ms;
    auto change = fixture.change(0, "c-1");
    fixture.run({ change.get() });
    REQUIRE(*change->outcome);
    CHECK((**change->outcome).revision == Revision(1));
    fixture.clock.advance(10s);
    fixture.store.runDue();
    CHECK(fixture.storedRevision() == 1);
}

// Guards against a change that may have been applied being reported as not applied.
TEST_CASE("an unreachable store is reported as unavailable, or as an unknown outcome after a write")
{
    Fixture fixture;
    auto unsent = fixture.change(0, "c-1");
    fixture.store.stop();
    fixture.run({ unsent.get() });
    CHECK(unsent->outcome->lastReason().code == FailureCode::StoreUnavailable);
    CHECK(unsent->outcome->lastReason().runState == RunState::NotRun);

    fixture.store.start();
    fixture.store.repliesToLose = 1000;
    fixture.store.writeDelay = 11s;
    auto sent = fixture.change(0, "c-2");
    fixture.run({ sent.get() });
    CHECK(sent->outcome->lastReason().code == FailureCode::OutcomeUnknown);
    CHECK(sent->outcome->lastReason().runState == RunState::OutcomeUnknown);
}

// Guards against a conflict that is missed because a read returned the state before the concurrent change.
TEST_CASE("a stale read neither hides nor overwrites a concurrent change")
{
    Fixture fixture;
    auto first = fixture.change(0, "c-1");
    fixture.run({ first.get() });
    fixture.store.isStale = true;
    auto second = fixture.change(0, "c-2", "bello", SlotCount(7));
    fixture.run({ second.get() });
    CHECK_FALSE(*second->outcome);
    CHECK(fixture.storedRevision() == 1);
}

// Guards against more than one of several concurrent changes succeeding when replies are lost.
TEST_CASE("at most one concurrent change succeeds per revision when replies are lost")
{
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        Fixture fixture;
        PcgRandomSource chance(seed);
        fixture.store.repliesToLose = static_cast<int>(chance.below(4));
        fixture.store.writeDelay = std::chrono::milliseconds(chance.below(3000));
        std::vector<std::unique_ptr<OperatorChange>> operators;
        std::vector<OperatorChange*> all;
        for (std::uint32_t index = 0; index < 3; ++index) {
            operators.push_back(fixture.change(0, "c-" + std::to_string(index), "operator", SlotCount(index + 1)));
            all.push_back(operators.back().get());
        }
        fixture.run(all);
        size_t successes = 0;
        for (const auto* each : all)
            successes += bool(*each->outcome);
        INFO("seed " << seed);
        CHECK(successes <= 1);
        CHECK(fixture.storedRevision() == 1);
    }
}
