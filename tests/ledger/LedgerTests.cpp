#include "rattanroad_core/rattanroad_core.h"
#include "rattanroad_ledger/rattanroad_ledger.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace rattanroad;
using namespace std::chrono_literals;
using Verdict = SubmissionLedger::StartVerdict;

namespace {

/** One ledger with everything it did to the outside. */
struct Host {
    Host(VirtualClock& clock, const std::string& name, std::uint64_t incarnation, std::size_t backupCount = 1)
        : id(name)
        , incarnation(incarnation)
        , random(incarnation)
    {
        SubmissionLedger::Settings settings;
        settings.self = id;
        settings.failureDomain = FailureDomainId("remera");
        settings.incarnation = this->incarnation;
        settings.backupCount = backupCount;
        SubmissionLedger::Hooks hooks;
        hooks.sendToPeer = [this](const HostId& to, protocol::Envelope&& envelope) { sent.emplace_back(to, envelope); };
        hooks.changeView = [this](const ViewChange& change) { changes.push_back(change); };
        hooks.recovered = [this](RecoveredSubmission&& submission) { recovered.push_back(std::move(submission)); };
        hooks.superseded = [this](const SegmentKey&, const SegmentView& view) { superseded.push_back(view); };
        ledger = std::make_unique<SubmissionLedger>(settings, clock, random, hooks);
    }

    void answer(ViewChangeResult::Kind kind, const SegmentView& current = {})
    {
        ledger->viewChangeResult({ changes.back().segment, kind, current });
    }

    /** Requests a start and returns where its verdict will appear. */
    std::shared_ptr<std::optional<Verdict>> start(const SubmissionId& submission, std::uint32_t attempt = 1)
    {
        auto verdict = std::make_shared<std::optional<Verdict>>();
        ledger->requestStart(submission, TaskIndex(0), AttemptNumber(attempt), TargetId("t"),
            [verdict](Verdict value) { *verdict = value; });
        return verdict;
    }

    std::shared_ptr<std::optional<bool>> seal(const SubmissionId& submission)
    {
        auto result = std::make_shared<std::optional<bool>>();
        ledger->seal(submission, false, Failure {}, [result](bool value) { *result = value; });
        return result;
    }

    SubmissionId accept()
    {
        auto submission = ledger->mintIds(1).front();
        ledger->accept(submission, job());
        return submission;
    }

    static protocol::JobDescription job()
    {
        protocol::JobDescription job;
        job.set_team("ingofero");
        job.add_tasks()->set_payload("felt");
        return job;
    }

    HostId id;
    Incarnation incarnation;
    PcgRandomSource random;
    std::deque<std::pair<HostId, protocol::Envelope>> sent;
    std::vector<ViewChange> changes;
    std::vector<RecoveredSubmission> recovered;
    std::vector<SegmentView> superseded;
    std::unique_ptr<SubmissionLedger> ledger;
};

/** Two hosts that see each other. */
struct Pair {
    Pair()
        : a(clock, "a", 11)
        , b(clock, "b", 22)
    {
        a.ledger->setLivePeers({ { b.id, b.incarnation } });
        b.ledger->setLivePeers({ { a.id, a.incarnation } });
    }

    void deliver(Host& from, Host& to)
    {
        from.ledger->flush();
        for (auto messages = std::exchange(from.sent, {}); !messages.empty(); messages.pop_front())
            to.ledger->peerMessage(from.id, from.incarnation, messages.front().second);
    }

    void exchange()
    {
        for (int round = 0; round < 4; ++round) {
            deliver(a, b);
            deliver(b, a);
        }
    }

    VirtualClock clock;
    Host a;
    Host b;
};

}

// Guards against a start whose record the backup does not hold: a takeover would run the task again.
TEST_CASE("a start waits for the acknowledgement of the backup")
{
    Pair pair;
    const auto id = pair.a.accept();
    CHECK(id.backups == std::vector<HostId> { pair.b.id });
    const auto verdict = pair.a.start(id);
    pair.deliver(pair.a, pair.b);
    CHECK_FALSE(*verdict);
    pair.exchange();
    CHECK(*verdict == Verdict::Permitted);
    CHECK(*pair.a.start(id, 2) == Verdict::Refused);
}

// Guards against a host without peers that waits forever.
TEST_CASE("a host without live peers starts at once")
{
    VirtualClock clock;
    Host host(clock, "a", 11);
    const auto id = host.accept();
    CHECK(id.backups.empty());
    CHECK(*host.start(id) == Verdict::Permitted);
    CHECK(*host.seal(id) == true);
    CHECK(host.ledger->standing(id).kind == Standing::Kind::Sealed);
}

// Guards against records that are lost or applied twice when messages are lost, repeated or reordered.
TEST_CASE("lost, repeated and reordered batches are applied once and in order")
{
    Pair pair;
    const auto id = pair.a.accept();
    pair.exchange();
    pair.a.sent.clear();
    const auto first = pair.a.start(id);
    pair.a.ledger->flush();
    const auto lost = pair.a.sent;
    pair.a.ledger->recordOutcome(id, TaskIndex(0), AttemptNumber(1), true, {});
    const auto second = pair.a.start(id, 2);
    pair.a.ledger->flush();
    pair.a.sent.pop_front();
    pair.deliver(pair.a, pair.b);
    pair.deliver(pair.b, pair.a);
    CHECK_FALSE(*first);
    pair.clock.advance(100ms);
    pair.exchange();
    CHECK(*first == Verdict::Permitted);
    CHECK(*second == Verdict::Permitted);
    for (const auto& message : lost)
        pair.b.ledger->peerMessage(pair.a.id, pair.a.incarnation, message.second);
    pair.b.ledger->setLivePeers({});
    pair.b.answer(ViewChangeResult::Kind::Won);
    REQUIRE(pair.b.recovered.size() == 1);
    CHECK(pair.b.recovered[0].tasks[0].state == RecoveredTask::State::StartedOutcomeUnknown);
    CHECK(pair.b.recovered[0].tasks[0].attempts == AttemptNumber(2));
}

// Guards against an owner that continues after its backup took over while it was paused.
TEST_CASE("a backup that took over refuses the owner, which then gives up the segment")
{
    Pair pair;
    const auto id = pair.a.accept();
    pair.exchange();
    pair.b.ledger->setLivePeers({});
    CHECK(pair.b.ledger->standing(id).kind == Standing::Kind::Pending);
    pair.b.answer(ViewChangeResult::Kind::Unavailable);
    CHECK(pair.b.ledger->standing(id).kind == Standing::Kind::Pending);
    pair.clock.advance(500ms);
    pair.b.ledger->tick();
    REQUIRE(pair.b.changes.size() == 2);
    // The first write took effect; only its answer was lost.
    pair.b.answer(ViewChangeResult::Kind::Lost, pair.b.changes.front().next);
    REQUIRE(pair.b.recovered.size() == 1);
    CHECK(pair.b.recovered[0].job.tasks(0).payload() == "felt");
    CHECK(pair.b.ledger->standing(id).kind == Standing::Kind::Active);

    const auto verdict = pair.a.start(id);
    const auto sealed = pair.a.seal(pair.a.ledger->mintIds(1).front());
    CHECK(*sealed == true);
    pair.exchange();
    CHECK(*verdict == Verdict::Refused);
    REQUIRE(pair.a.superseded.size() == 1);
    CHECK(pair.a.superseded[0].owner == pair.b.id);
    CHECK(pair.a.ledger->standing(id).host == pair.b.id);
    CHECK(*pair.b.start(id) == Verdict::Permitted);

    // Guards against a request that two hosts without the journal pass back and forth.
    pair.a.ledger->setLivePeers({ { pair.b.id, Incarnation(23) } });
    CHECK(pair.a.ledger->standing(id).reason.code == FailureCode::OutcomeUnknown);
}

// Guards against an owner that waits for a dead backup, and against one that starts before the store agreed.
TEST_CASE("an owner drops a dead backup through the store")
{
    Pair pair;
    const auto id = pair.a.accept();
    const auto verdict = pair.a.start(id);
    pair.a.ledger->setLivePeers({});
    REQUIRE(pair.a.changes.size() == 1);
    CHECK(pair.a.changes[0].next.members == std::vector<HostId> { pair.a.id });
    CHECK_FALSE(*verdict);
    CHECK(pair.a.ledger->mintIds(1).front().segment.segment > id.segment.segment);
    SECTION("won")
    {
        pair.a.answer(ViewChangeResult::Kind::Won);
        CHECK(*verdict == Verdict::Permitted);
    }
    SECTION("lost")
    {
        pair.a.answer(ViewChangeResult::Kind::Lost, { Epoch(1), pair.b.id, { pair.b.id } });
        CHECK(*verdict == Verdict::Refused);
        CHECK(pair.a.superseded.size() == 1);
    }
}

// Guards against a queued message that opens an empty copy on a restarted backup, which would run everything again.
TEST_CASE("a restarted backup neither holds the segment nor takes over")
{
    Pair pair;
    const auto id = pair.a.accept();
    pair.a.ledger->flush();
    const auto opened = pair.a.sent.front().second;
    Host restarted(pair.clock, "b", 23);
    restarted.ledger->setLivePeers({ { pair.a.id, pair.a.incarnation } });
    restarted.ledger->peerMessage(pair.a.id, pair.a.incarnation, opened);
    restarted.ledger->setLivePeers({});
    CHECK(restarted.changes.empty());
    const auto standing = restarted.ledger->standing(id);
    CHECK(standing.kind == Standing::Kind::Undecided);
    CHECK(standing.reason.code == FailureCode::OutcomeUnknown);
}

// Guards against an owner that opens its segment again at a restarted backup: the earlier process may have taken over
// and started tasks (found by model/segment.pml, macro NO_SINGLE_OPENING).
TEST_CASE("a segment is not opened at a second process of the backup")
{
    Pair pair;
    const auto id = pair.a.accept();
    pair.a.ledger->flush();
    pair.a.sent.clear();
    pair.a.ledger->setLivePeers({ { pair.b.id, Incarnation(23) } });
    pair.clock.advance(200ms);
    pair.a.ledger->flush();
    for (const auto& message : pair.a.sent)
        CHECK(protocol::fromMessage(message.second.segment_open().segment()).segment > id.segment.segment);
    REQUIRE(pair.a.changes.size() == 1);
    CHECK(pair.a.changes[0].segment == id.segment);
}

// Guards against a restarted owner that treats its earlier ids as new.
TEST_CASE("a restarted owner points to the backup named in the id")
{
    Pair pair;
    const auto id = pair.a.accept();
    Host restarted(pair.clock, "a", 12);
    CHECK(restarted.ledger->standing(id).reason.code == FailureCode::OutcomeUnknown);
    restarted.ledger->setLivePeers({ { pair.b.id, pair.b.incarnation } });
    CHECK(restarted.ledger->standing(id).kind == Standing::Kind::Elsewhere);
    CHECK(restarted.ledger->standing(id).host == pair.b.id);
}

// Guards against a graceful shutdown that needs the store, and against starts after it.
TEST_CASE("a release hands the segment to the backup without the store")
{
    Pair pair;
    const auto id = pair.a.accept();
    const auto verdict = pair.a.start(id);
    pair.exchange();
    protocol::TaskOutcome outcome;
    outcome.set_result("quote");
    outcome.set_succeeded(true);
    pair.a.ledger->recordOutcome(id, TaskIndex(0), AttemptNumber(1), false, outcome);
    pair.a.seal(id);
    pair.a.ledger->releaseAll();
    CHECK(pair.a.ledger->statistics().segmentsOwned == 1);
    pair.exchange();
    CHECK(pair.a.ledger->statistics().segmentsOwned == 0);
    CHECK(pair.b.changes.empty());
    REQUIRE(pair.b.recovered.size() == 1);
    CHECK(pair.b.recovered[0].isSealed);
    CHECK(pair.b.recovered[0].seal.has_failure());
    CHECK(pair.b.recovered[0].job.tasks_size() == 1);
    REQUIRE(pair.b.recovered[0].tasks.size() == 1);
    CHECK(pair.b.recovered[0].tasks[0].state == RecoveredTask::State::Ended);
    CHECK(pair.b.recovered[0].tasks[0].outcome.result() == "quote");
    CHECK(pair.b.ledger->standing(id).kind == Standing::Kind::Sealed);
    CHECK(pair.a.ledger->standing(id).host == pair.b.id);
    CHECK(*pair.a.start(id) == Verdict::Refused);
}

// Guards against a refusal that waits for the network although nothing was accepted.
TEST_CASE("a submission that was never accepted is sealed at once")
{
    Pair pair;
    const auto id = pair.a.ledger->mintIds(1).front();
    CHECK(*pair.a.seal(id) == true);
    CHECK(pair.a.ledger->standing(id).kind == Standing::Kind::Sealed);
    pair.exchange();
    pair.b.ledger->setLivePeers({});
    pair.b.answer(ViewChangeResult::Kind::Won);
    CHECK(pair.b.ledger->standing(id).kind == Standing::Kind::Sealed);
}

// Guards against "not run" about a task that the backup starts after a takeover.
TEST_CASE("the seal of an accepted submission waits for the backup and refuses its starts")
{
    Pair pair;
    const auto id = pair.a.accept();
    const auto verdict = pair.a.start(id);
    const auto isSealed = pair.a.seal(id);
    CHECK(*verdict == Verdict::Refused);
    CHECK_FALSE(*isSealed);
    pair.exchange();
    CHECK(*isSealed == true);
    CHECK(*pair.a.start(id, 2) == Verdict::Refused);
}

// Guards against memory that grows without bound, and against an expired id that runs again.
TEST_CASE("ids that were used and are past the retention time stay expired")
{
    Pair pair;
    const auto ids = pair.a.ledger->mintIds(3);
    pair.a.ledger->accept(ids[1], Host::job());
    pair.exchange();
    pair.a.seal(ids[1]);
    pair.exchange();
    CHECK(pair.a.ledger->statistics().submissionsRetained == 1);
    pair.clock.advance(11min);
    pair.a.ledger->tick();
    pair.b.ledger->tick();
    CHECK(pair.a.ledger->statistics().submissionsRetained == 0);
    CHECK(pair.b.ledger->statistics().submissionsRetained == 0);
    CHECK(pair.a.ledger->standing(ids[0]).kind == Standing::Kind::Expired);
    CHECK(pair.a.ledger->standing(ids[1]).kind == Standing::Kind::Expired);
}

// Guards against a made-up id that is accepted as a submission.
TEST_CASE("an id of the current segment that was never minted is invalid")
{
    Pair pair;
    auto id = pair.a.accept();
    id.sequence = SequenceNumber(2);
    CHECK(pair.a.ledger->standing(id).reason.code == FailureCode::InvalidSubmissionId);
    CHECK(pair.b.ledger->standing(id).kind == Standing::Kind::Elsewhere);
}
