#include "rattanroad_ledger/ledger/SubmissionLedger.h"

#include "rattanroad_ledger/ledger/JournalReplica.h"
#include "rattanroad_ledger/ledger/OwnedSegment.h"
#include "rattanroad_ledger/ledger/SegmentDirectory.h"

#include <cassert>

namespace rattanroad {

/** Routes calls and messages to the segments; the rules are in OwnedSegment, JournalReplica and SegmentDirectory. */
class SubmissionLedger::Impl {
public:
    Impl(Settings settings, Clock& clock, Hooks hooks)
        : m_settings(std::move(settings))
        , m_effects(m_settings, std::move(hooks))
        , m_context { m_settings, clock, m_effects, m_peers, m_statistics }
        , m_segments(m_context)
    {
    }

    const Settings m_settings;
    Statistics m_statistics;
    PeerDirectory m_peers;
    LedgerEffects m_effects;
    LedgerContext m_context;
    SegmentDirectory m_segments;
};

SubmissionLedger::SubmissionLedger(Settings settings, Clock& clock, RandomSource& /*random*/, Hooks hooks)
    : m_impl(std::make_unique<Impl>(std::move(settings), clock, std::move(hooks)))
{
}

SubmissionLedger::~SubmissionLedger() = default;

void SubmissionLedger::setLivePeers(const std::vector<std::pair<HostId, Incarnation>>& ranked)
{
    std::vector<std::pair<HostId, Incarnation>> peers;
    for (const auto& peer : ranked) {
        if (peer.first != m_impl->m_settings.self)
            peers.push_back(peer);
    }
    m_impl->m_peers.set(peers);
    m_impl->m_segments.peersChanged();
    m_impl->m_effects.run();
}

std::vector<SubmissionId> SubmissionLedger::mintIds(std::size_t count)
{
    std::vector<SubmissionId> ids;
    ids.reserve(count);
    auto& segment = m_impl->m_segments.current();
    while (ids.size() < count)
        ids.push_back(segment.mint());
    return ids;
}

Standing SubmissionLedger::standing(const SubmissionId& id) const { return m_impl->m_segments.standing(id); }

void SubmissionLedger::accept(const SubmissionId& id, protocol::JobDescription job)
{
    assert(standing(id).kind == Standing::Kind::New); // a second acceptance would run the job twice
    auto* segment = m_impl->m_segments.owned(id.segment);
    if (segment)
        segment->accept(id.sequence, std::move(job));
}

void SubmissionLedger::requestStart(
    const SubmissionId& id, TaskIndex task, AttemptNumber attempt, const TargetId& target, StartCallback callback)
{
    auto* segment = m_impl->m_segments.owned(id.segment);
    if (!segment) {
        ++m_impl->m_statistics.startsRefused;
        callback(StartVerdict::Refused);
        return;
    }
    segment->requestStart(id.sequence, task, attempt, target, std::move(callback));
}

void SubmissionLedger::recordOutcome(const SubmissionId& id, TaskIndex task, AttemptNumber attempt,
    bool isProvablyNotStarted, protocol::TaskOutcome outcome)
{
    auto* segment = m_impl->m_segments.owned(id.segment);
    if (segment)
        segment->recordOutcome(id.sequence, task, attempt, isProvablyNotStarted, std::move(outcome));
}

void SubmissionLedger::seal(
    const SubmissionId& id, bool isComplete, std::optional<Failure> failure, SealCallback callback)
{
    auto* segment = m_impl->m_segments.owned(id.segment);
    if (segment)
        segment->seal(id.sequence, isComplete, std::move(failure), std::move(callback));
    else if (callback)
        callback(false);
    m_impl->m_effects.run();
}

void SubmissionLedger::peerMessage(const HostId& from, Incarnation fromIncarnation, const protocol::Envelope& envelope)
{
    auto& segments = m_impl->m_segments;
    switch (envelope.body_case()) {
    case protocol::Envelope::kSegmentOpen:
        segments.open(from, fromIncarnation, envelope.segment_open());
        break;
    case protocol::Envelope::kJournalAppend:
        segments.append(from, fromIncarnation, envelope.journal_append());
        break;
    case protocol::Envelope::kSegmentOpenReply: {
        const auto& reply = envelope.segment_open_reply();
        if (auto* segment = segments.owned(protocol::fromMessage(reply.segment())))
            segment->openReply(from, fromIncarnation, reply.accepted());
        break;
    }
    case protocol::Envelope::kJournalAcknowledgement: {
        const auto& acknowledgement = envelope.journal_acknowledgement();
        if (auto* segment = segments.owned(protocol::fromMessage(acknowledgement.segment())))
            segment->acknowledgement(from, fromIncarnation, acknowledgement);
        break;
    }
    default:
        break;
    }
    m_impl->m_effects.run();
}

void SubmissionLedger::viewChangeResult(const ViewChangeResult& result)
{
    m_impl->m_segments.viewChangeResult(result);
    m_impl->m_effects.run();
}

void SubmissionLedger::releaseAll()
{
    m_impl->m_segments.releaseAll();
    m_impl->m_effects.run();
}

void SubmissionLedger::flush()
{
    m_impl->m_segments.flush();
    m_impl->m_effects.run();
}

void SubmissionLedger::tick()
{
    m_impl->m_segments.tick();
    m_impl->m_effects.run();
}

TimePoint SubmissionLedger::nextWakeup() const { return m_impl->m_segments.nextWakeup(); }

SubmissionLedger::Statistics SubmissionLedger::statistics() const
{
    auto statistics = m_impl->m_statistics;
    m_impl->m_segments.addSizes(statistics);
    return statistics;
}

}
