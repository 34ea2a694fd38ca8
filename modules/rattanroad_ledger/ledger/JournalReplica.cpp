#include "rattanroad_ledger/ledger/JournalReplica.h"

#include "rattanroad_ledger/ledger/LedgerGuards.h"

#include <algorithm>

namespace rattanroad {

JournalReplica::JournalReplica(LedgerContext& context, SegmentKey key, std::vector<HostId> members)
    : m_context(context)
    , m_key(std::move(key))
    , m_table(SubmissionTable::Content::Complete)
    , m_lastHeard(context.clock.now())
    , m_viewChange(context.effects, context.settings.viewChangeRetryInterval)
{
    m_view.owner = m_key.owner;
    m_view.members = std::move(members);
    std::copy_if(m_view.members.begin(), m_view.members.end(), std::back_inserter(m_namedBackups),
        [this](const HostId& member) { return member != m_key.owner; });
}

void JournalReplica::append(protocol::JournalAppend&& append)
{
    const Epoch epoch(append.epoch());
    const bool isFenced = m_state != State::Holding && isGuarded(Guard::Fencing);
    const bool isOldEpoch = epoch < m_view.epoch && isGuarded(Guard::RecordEpoch);
    if (isFenced || isOldEpoch) {
        sendAcknowledgement(epoch, true);
        return;
    }
    if (append.first_position() == 0)
        return; // positions count from 1
    m_lastHeard = m_context.clock.now();
    if (epoch > m_view.epoch) {
        // The owner dropped another backup; it numbers its records from 1 again.
        m_view.epoch = epoch;
        m_position = 0;
    }
    m_table.raiseLowWater(SequenceNumber(append.low_water_sequence()));
    m_isAcknowledgementDue = true;
    const bool isGap = append.first_position() > m_position + 1;
    if (isGap && isGuarded(Guard::RecordOrder))
        return;
    applyRecords(append, isGap);
    if (!append.release())
        return;
    // The owner starts nothing any more and has no other backup, so the ownership needs no decision of the store.
    m_state = State::Won;
    m_view.owner = m_context.settings.self;
    m_view.members = { m_context.settings.self };
    sendAcknowledgement(epoch, true);
}

void JournalReplica::applyRecords(protocol::JournalAppend& append, bool isGap)
{
    const auto known = isGap ? 0 : m_position + 1 - append.first_position();
    const auto count = static_cast<std::uint64_t>(append.records_size());
    for (auto index = known; index < count; ++index)
        m_table.apply(std::move(*append.mutable_records(static_cast<int>(index))), m_lastHeard);
    m_position = std::max(m_position, append.first_position() - 1 + count);
}

void JournalReplica::flush()
{
    if (!m_isAcknowledgementDue || (m_state != State::Holding && isGuarded(Guard::Fencing)))
        return;
    m_isAcknowledgementDue = false;
    sendAcknowledgement(m_view.epoch, false);
}

void JournalReplica::sendAcknowledgement(Epoch epoch, bool isRefused)
{
    protocol::Envelope envelope;
    auto& acknowledgement = *envelope.mutable_journal_acknowledgement();
    *acknowledgement.mutable_segment() = protocol::toMessage(m_key);
    acknowledgement.set_epoch(epoch.value());
    acknowledgement.set_position(isRefused ? 0 : m_position);
    acknowledgement.set_refused(isRefused);
    acknowledgement.set_known_epoch(reportedEpoch().value());
    m_context.effects.send(m_key.owner, std::move(envelope));
}

Epoch JournalReplica::reportedEpoch() const
{
    // A higher epoch tells the owner that it lost the segment. When the owner itself is in force there, because its
    // write took effect while the answer was lost, it must learn that from the store instead.
    return m_view.owner == m_key.owner ? Epoch() : m_view.epoch;
}

void JournalReplica::beginTakeover()
{
    if (m_state != State::Holding)
        return;
    m_state = State::TakingOver;
    requestOwnership();
    m_context.effects.standingChanged(m_key);
}

void JournalReplica::requestOwnership()
{
    const auto& self = m_context.settings.self;
    m_viewChange.begin({ m_key, m_view.epoch, { Epoch(m_view.epoch.value() + 1), self, { self } } });
}

void JournalReplica::viewChangeResult(const ViewChangeResult& result)
{
    const auto requested = m_viewChange.request();
    const auto resolution = m_viewChange.resolve(result, m_context.clock.now());
    if (m_state != State::TakingOver || resolution == ViewChangeAttempt::Resolution::Open)
        return;
    if (resolution == ViewChangeAttempt::Resolution::Won && !isOutdated()) {
        m_view = requested->next;
        m_state = State::Won;
        return;
    }
    const auto& members = result.current.members;
    const bool isMember = std::find(members.begin(), members.end(), m_context.settings.self) != members.end();
    const bool isOwnerInForce = result.current.owner == m_key.owner;
    if (isMember && isOwnerInForce && result.current.epoch > m_view.epoch) {
        // The owner dropped another backup. It permitted nothing since that this host did not acknowledge before it
        // fenced the owner, so the copy is still complete.
        m_view = result.current;
        requestOwnership();
        return;
    }
    lose(result.current);
}

void JournalReplica::lose(const SegmentView& current)
{
    m_state = State::Lost;
    m_view = current;
    m_table.clear();
    ++m_context.statistics.viewChangesLost;
    m_context.effects.standingChanged(m_key);
}

void JournalReplica::tick()
{
    m_viewChange.tick(m_context.clock.now());
    m_table.expire(m_context.clock.now() - m_context.settings.retention);
}

bool JournalReplica::isOutdated() const { return m_context.clock.now() - m_lastHeard >= m_context.replicaLifetime(); }

}
