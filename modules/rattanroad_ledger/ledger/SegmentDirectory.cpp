#include "rattanroad_ledger/ledger/SegmentDirectory.h"

#include "rattanroad_ledger/ledger/LedgerGuards.h"

#include <algorithm>

namespace rattanroad {

namespace {

    // Cadence of retention and of the check for stalled backups; both work with limits of seconds and more.
    constexpr std::chrono::seconds sweepInterval { 1 };

}

SegmentDirectory::SegmentDirectory(LedgerContext& context)
    : m_context(context)
    , m_nextSweep(context.clock.now() + sweepInterval)
{
}

OwnedSegment& SegmentDirectory::current()
{
    if (!m_current || isCurrentStale())
        openSegment();
    return *m_current;
}

bool SegmentDirectory::isCurrentStale() const
{
    const auto now = m_context.clock.now();
    if (m_current->state() != OwnedSegment::State::Owning || m_current->hasUnusableBackup())
        return true;
    if (now >= m_current->createdAt() + m_context.settings.segmentLifetime)
        return true;
    return m_current->backupCount() < m_context.peers.chooseBackups(m_context.settings.backupCount, now).size();
}

void SegmentDirectory::openSegment()
{
    const auto& settings = m_context.settings;
    m_lastSegment = SegmentNumber(m_lastSegment.value() + 1);
    const SegmentKey key { settings.failureDomain, settings.self, settings.incarnation, m_lastSegment };
    const auto backups = m_context.peers.chooseBackups(settings.backupCount, m_context.clock.now());
    auto segment = std::make_unique<OwnedSegment>(m_context, key, backups);
    m_current = segment.get();
    m_owned.emplace(key, std::move(segment));
}

OwnedSegment* SegmentDirectory::owned(const SegmentKey& key)
{
    const auto entry = m_owned.find(key);
    return entry == m_owned.end() ? nullptr : entry->second.get();
}

bool SegmentDirectory::acceptsOpen(const SegmentKey& key, const protocol::SegmentOpen& open) const
{
    const bool isMeantForThisProcess = Incarnation(open.receiver_incarnation()) == m_context.settings.incarnation;
    if (!isMeantForThisProcess && isGuarded(Guard::ReceiverIncarnation))
        return false;
    const auto replica = m_replicas.find(key);
    if (replica != m_replicas.end())
        return replica->second->state() == JournalReplica::State::Holding;
    const auto closed = m_closed.find(key.owner);
    const bool isClosed
        = closed != m_closed.end() && closed->second.first == key.incarnation && closed->second.second >= key.segment;
    return !isClosed && !m_owned.count(key);
}

void SegmentDirectory::open(const HostId& from, Incarnation fromIncarnation, const protocol::SegmentOpen& open)
{
    const auto key = protocol::fromMessage(open.segment());
    if (key.owner != from || key.incarnation != fromIncarnation)
        return;
    // The owner repeats the message; answering before it is known to be alive would make this host take over at once.
    if (!m_context.peers.isAlive(from, fromIncarnation))
        return;
    const bool isAccepted = acceptsOpen(key, open);
    if (isAccepted && !m_replicas.count(key)) {
        std::vector<HostId> members;
        for (const auto& member : open.members())
            members.emplace_back(member);
        m_replicas.emplace(key, std::make_unique<JournalReplica>(m_context, key, std::move(members)));
    }
    replyToOpen(from, open, isAccepted);
}

void SegmentDirectory::replyToOpen(const HostId& host, const protocol::SegmentOpen& open, bool isAccepted)
{
    protocol::Envelope envelope;
    auto& reply = *envelope.mutable_segment_open_reply();
    *reply.mutable_segment() = open.segment();
    reply.set_accepted(isAccepted);
    m_context.effects.send(host, std::move(envelope));
}

void SegmentDirectory::append(const HostId& from, Incarnation fromIncarnation, const protocol::JournalAppend& append)
{
    const auto key = protocol::fromMessage(append.segment());
    if (key.owner != from || key.incarnation != fromIncarnation)
        return;
    const auto entry = m_replicas.find(key);
    if (entry == m_replicas.end()) {
        refuseAppend(from, append);
        return;
    }
    auto& replica = *entry->second;
    replica.append(protocol::JournalAppend(append));
    if (replica.state() == JournalReplica::State::Won)
        takeOver(replica);
    else
        m_acknowledgementsDue.push_back(key);
}

void SegmentDirectory::refuseAppend(const HostId& host, const protocol::JournalAppend& append)
{
    const auto* segment = owned(protocol::fromMessage(append.segment()));
    protocol::Envelope envelope;
    auto& acknowledgement = *envelope.mutable_journal_acknowledgement();
    *acknowledgement.mutable_segment() = append.segment();
    acknowledgement.set_epoch(append.epoch());
    acknowledgement.set_refused(true);
    acknowledgement.set_known_epoch(segment ? segment->view().epoch.value() : 0);
    m_context.effects.send(host, std::move(envelope));
}

void SegmentDirectory::takeOver(JournalReplica& replica)
{
    const auto key = replica.key();
    auto table = replica.takeSubmissions();
    auto recovered = table.recover(key, replica.namedBackups());
    m_owned.emplace(key, std::make_unique<OwnedSegment>(m_context, key, replica.view(), std::move(table)));
    m_replicas.erase(key);
    rememberClosed(key);
    ++m_context.statistics.takeovers;
    for (auto& submission : recovered)
        m_context.effects.recovered(std::move(submission));
    m_context.effects.standingChanged(key);
}

void SegmentDirectory::rememberClosed(const SegmentKey& key)
{
    auto& closed = m_closed[key.owner];
    if (closed.first == key.incarnation)
        closed.second = std::max(closed.second, key.segment);
    else
        closed = { key.incarnation, key.segment };
}

void SegmentDirectory::viewChangeResult(const ViewChangeResult& result)
{
    if (auto* segment = owned(result.segment))
        segment->viewChangeResult(result);
    const auto entry = m_replicas.find(result.segment);
    if (entry == m_replicas.end())
        return;
    entry->second->viewChangeResult(result);
    if (entry->second->state() == JournalReplica::State::Won)
        takeOver(*entry->second);
}

void SegmentDirectory::peersChanged()
{
    for (const auto& [key, replica] : m_replicas) {
        if (!m_context.peers.isAlive(key.owner, key.incarnation))
            replica->beginTakeover();
    }
    for (const auto& [key, segment] : m_owned)
        segment->checkBackups(segment.get() == m_current);
    if (m_current && isCurrentStale())
        openSegment();
}

void SegmentDirectory::releaseAll()
{
    m_current = nullptr;
    for (const auto& [key, segment] : m_owned)
        segment->release();
}

void SegmentDirectory::flush()
{
    for (const auto& [key, segment] : m_owned) {
        segment->checkBackups(segment.get() == m_current);
        segment->flush();
    }
    for (const auto& key : m_acknowledgementsDue) {
        const auto replica = m_replicas.find(key);
        if (replica != m_replicas.end())
            replica->second->flush();
    }
    m_acknowledgementsDue.clear();
}

void SegmentDirectory::tick()
{
    m_nextSweep = m_context.clock.now() + sweepInterval;
    for (const auto& [key, segment] : m_owned)
        segment->tick();
    for (const auto& [key, replica] : m_replicas)
        replica->tick();
    forgetOldSegments();
    if (m_current && isCurrentStale())
        openSegment();
    flush();
}

void SegmentDirectory::forgetOldSegments()
{
    for (auto entry = m_owned.begin(); entry != m_owned.end();) {
        const bool isKept = entry->second.get() == m_current || !entry->second->isDisposable();
        entry = isKept ? std::next(entry) : m_owned.erase(entry);
    }
    for (auto entry = m_replicas.begin(); entry != m_replicas.end();) {
        if (!entry->second->isOutdated()) {
            ++entry;
            continue;
        }
        rememberClosed(entry->first);
        m_context.effects.standingChanged(entry->first);
        entry = m_replicas.erase(entry);
    }
}

TimePoint SegmentDirectory::nextWakeup() const
{
    auto wakeup = m_nextSweep;
    if (m_current)
        wakeup = std::min(wakeup, m_current->createdAt() + m_context.settings.segmentLifetime);
    for (const auto& [key, segment] : m_owned)
        wakeup = std::min(wakeup, segment->nextWakeup());
    for (const auto& [key, replica] : m_replicas)
        wakeup = std::min(wakeup, replica->nextWakeup());
    return wakeup;
}

void SegmentDirectory::addSizes(SubmissionLedger::Statistics& statistics) const
{
    for (const auto& [key, segment] : m_owned) {
        const bool isOwned = segment->state() == OwnedSegment::State::Owning || segment->isHandoverPending();
        statistics.segmentsOwned += isOwned ? 1 : 0;
        statistics.submissionsRetained += segment->submissions().size();
    }
    statistics.segmentsHeldAsBackup = m_replicas.size();
    for (const auto& [key, replica] : m_replicas)
        statistics.submissionsRetained += replica->submissions().size();
}

}
