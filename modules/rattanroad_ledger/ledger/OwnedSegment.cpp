#include "rattanroad_ledger/ledger/OwnedSegment.h"

#include "rattanroad_ledger/ledger/LedgerGuards.h"

#include <algorithm>

namespace rattanroad {

namespace {

    // Retries without progress after which a backup that still looks alive counts as unreachable. With the default
    // interval this is 2 s, more than the 1.5 s in which the failure detector finds a dead host by itself.
    constexpr int stalledRetries = 20;
    // A backup that stalled is not chosen again for this many stall times, else each new segment would stall on it.
    constexpr int avoidedStalls = 5;

    Duration stallLimit(const SubmissionLedger::Settings& settings)
    {
        return stalledRetries * settings.appendRetryInterval;
    }

}

OwnedSegment::OwnedSegment(LedgerContext& context, SegmentKey key, const Backups& backups)
    : m_context(context)
    , m_key(std::move(key))
    , m_createdAt(context.clock.now())
    , m_isTakenOver(false)
    , m_table(SubmissionTable::Content::StatesOnly)
    , m_pending(context.effects)
    , m_viewChange(context.effects, context.settings.viewChangeRetryInterval)
{
    m_view.owner = context.settings.self;
    m_view.members.push_back(context.settings.self);
    for (const auto& [host, incarnation] : backups) {
        m_view.members.push_back(host);
        m_namedBackups.push_back(host);
        m_streams.emplace_back(host, incarnation, context.effects, context.settings.appendRetryInterval);
    }
}

OwnedSegment::OwnedSegment(LedgerContext& context, SegmentKey key, SegmentView view, SubmissionTable&& table)
    : m_context(context)
    , m_key(std::move(key))
    , m_view(std::move(view))
    , m_createdAt(context.clock.now())
    , m_isTakenOver(true)
    , m_table(std::move(table))
    , m_pending(context.effects)
    , m_viewChange(context.effects, context.settings.viewChangeRetryInterval)
{
}

bool OwnedSegment::isUsable(const BackupStream& stream) const
{
    return !stream.isRefused() && m_context.peers.isAlive(stream.host(), stream.incarnation());
}

bool OwnedSegment::hasUnusableBackup() const
{
    return std::any_of(
        m_streams.begin(), m_streams.end(), [this](const BackupStream& stream) { return !isUsable(stream); });
}

SubmissionId OwnedSegment::mint()
{
    m_lastMinted = SequenceNumber(m_lastMinted.value() + 1);
    return { m_key, m_namedBackups, m_lastMinted };
}

bool OwnedSegment::isMinted(SequenceNumber sequence) const
{
    return m_isTakenOver || (sequence.value() > 0 && sequence <= m_lastMinted);
}

std::uint64_t OwnedSegment::append(SequenceNumber sequence, protocol::JournalRecord&& record)
{
    record.set_submission_sequence(sequence.value());
    ++m_context.statistics.recordsAppended;
    const auto number = m_log.append(std::move(record));
    if (m_streams.empty())
        m_log.dropUpTo(number);
    return number;
}

void OwnedSegment::accept(SequenceNumber sequence, protocol::JobDescription&& job)
{
    if (m_state != State::Owning)
        return;
    m_table.accept(sequence, static_cast<std::size_t>(job.tasks_size()), nullptr, m_context.clock.now());
    protocol::JournalRecord record;
    *record.mutable_accept() = std::move(job);
    append(sequence, std::move(record));
}

void OwnedSegment::requestStart(SequenceNumber sequence, TaskIndex task, AttemptNumber attempt, const TargetId& target,
    SubmissionLedger::StartCallback&& callback)
{
    if (m_state != State::Owning || !m_table.start(sequence, task, attempt)) {
        ++m_context.statistics.startsRefused;
        callback(SubmissionLedger::StartVerdict::Refused);
        return;
    }
    protocol::JournalRecord record;
    auto& start = *record.mutable_start();
    start.set_task(task.value());
    start.set_attempt(attempt.value());
    start.set_target(target.value());
    const auto number = append(sequence, std::move(record));
    if (committed() >= number || !isGuarded(Guard::AcknowledgementBeforeStart))
        callback(SubmissionLedger::StartVerdict::Permitted);
    else
        m_pending.addStart(number, sequence, std::move(callback));
}

void OwnedSegment::recordOutcome(SequenceNumber sequence, TaskIndex task, AttemptNumber attempt,
    bool isProvablyNotStarted, protocol::TaskOutcome&& outcome)
{
    if (m_state != State::Owning)
        return;
    protocol::JournalRecord record;
    if (!m_streams.empty()) {
        auto& message = *record.mutable_outcome();
        message.set_task(task.value());
        message.set_attempt(attempt.value());
        message.set_not_started(isProvablyNotStarted);
        *message.mutable_outcome() = outcome;
    }
    if (m_table.recordOutcome(sequence, task, attempt, isProvablyNotStarted, std::move(outcome)))
        append(sequence, std::move(record));
}

void OwnedSegment::seal(SequenceNumber sequence, bool isComplete, std::optional<Failure>&& failure,
    SubmissionLedger::SealCallback&& callback)
{
    // Until a submission is accepted nothing of it can have started, so the owner decides alone.
    const bool isDecidedAlone = !m_table.find(sequence);
    if (m_state != State::Owning || !m_table.seal(sequence, nullptr, m_context.clock.now())) {
        if (callback)
            callback(false);
        return;
    }
    if (isGuarded(Guard::StartsRefusedBySeal))
        m_context.statistics.startsRefused += m_pending.refuseStarts(sequence);
    protocol::JournalRecord record;
    record.mutable_seal()->set_complete(isComplete);
    if (failure)
        *record.mutable_seal()->mutable_failure() = protocol::toMessage(*failure);
    const auto number = append(sequence, std::move(record));
    if (!callback)
        return;
    if (isDecidedAlone || committed() >= number || !isGuarded(Guard::AcknowledgementBeforeNotRun))
        callback(true);
    else
        m_pending.addSeal(number, sequence, std::move(callback));
}

BackupStream* OwnedSegment::stream(const HostId& host, Incarnation incarnation)
{
    for (auto& stream : m_streams) {
        if (stream.host() == host && stream.incarnation() == incarnation)
            return &stream;
    }
    return nullptr;
}

void OwnedSegment::openReply(const HostId& from, Incarnation fromIncarnation, bool isAccepted)
{
    auto* backup = stream(from, fromIncarnation);
    if (backup)
        backup->openReply(fromIncarnation, isAccepted, m_context.clock.now());
}

void OwnedSegment::acknowledgement(
    const HostId& from, Incarnation fromIncarnation, const protocol::JournalAcknowledgement& acknowledgement)
{
    if (m_state != State::Owning && m_state != State::Releasing)
        return;
    // A message of another process at the same address says nothing about the copy that was accepted.
    auto* backup = stream(from, fromIncarnation);
    if (!backup || !backup->isAccepted())
        return;
    const Epoch knownEpoch(acknowledgement.known_epoch());
    if (knownEpoch > m_view.epoch) {
        supersede({ knownEpoch, from, { from } });
        return;
    }
    if (Epoch(acknowledgement.epoch()) != m_view.epoch && isGuarded(Guard::AcknowledgementEpoch))
        return;
    if (!acknowledgement.refused()) {
        backup->acknowledge(acknowledgement.position(), m_context.clock.now());
        commit();
        return;
    }
    if (m_state == State::Owning) {
        backup->setRefused();
        return;
    }
    m_state = State::Released;
    m_view.owner = from;
    m_successor = fromIncarnation;
    m_context.statistics.startsRefused += m_pending.refuseAll();
    m_context.effects.standingChanged(m_key);
}

std::uint64_t OwnedSegment::committed() const
{
    auto number = m_log.last();
    for (const auto& stream : m_streams)
        number = std::min(number, stream.acknowledged());
    return number;
}

void OwnedSegment::commit()
{
    const auto number = committed();
    m_log.dropUpTo(number);
    m_pending.grantUpTo(number);
}

void OwnedSegment::viewChangeResult(const ViewChangeResult& result)
{
    const auto requested = m_viewChange.request();
    const auto resolution = m_viewChange.resolve(result, m_context.clock.now());
    if (m_state == State::Superseded || m_state == State::Released)
        return;
    if (resolution == ViewChangeAttempt::Resolution::Won)
        installView(requested->next);
    if (resolution == ViewChangeAttempt::Resolution::Lost)
        supersede(result.current);
}

void OwnedSegment::installView(const SegmentView& view)
{
    m_view = view;
    const auto isDropped = [&view](const BackupStream& stream) {
        return std::find(view.members.begin(), view.members.end(), stream.host()) == view.members.end();
    };
    std::vector<BackupStream> remaining;
    for (auto& stream : m_streams) {
        if (!isDropped(stream))
            remaining.push_back(std::move(stream));
    }
    m_streams.swap(remaining);
    for (auto& stream : m_streams)
        stream.beginEpoch();
    commit();
}

void OwnedSegment::supersede(const SegmentView& view)
{
    m_state = State::Superseded;
    m_view = view;
    for (const auto& stream : m_streams) {
        if (stream.host() == view.owner)
            m_successor = stream.incarnation();
    }
    ++m_context.statistics.viewChangesLost;
    m_context.effects.superseded(m_key, view);
    m_context.statistics.startsRefused += m_pending.refuseAll();
    m_streams.clear();
    m_log.dropUpTo(m_log.last());
    m_table.clear();
    m_context.effects.standingChanged(m_key);
}

void OwnedSegment::release()
{
    if (m_state != State::Owning)
        return;
    m_state = State::Releasing;
    m_context.statistics.startsRefused += m_pending.refuseStarts(std::nullopt);
}

bool OwnedSegment::isHandoverPending() const
{
    if (m_state != State::Releasing || m_streams.size() != 1 || m_viewChange.isActive())
        return false;
    return isUsable(m_streams.front()) && !isStalled(m_streams.front());
}

void OwnedSegment::checkBackups(bool isCurrent)
{
    // A release goes out only when everything is acknowledged; from then on the view must stay as it is.
    const bool isReleaseWaiting = m_state == State::Releasing && committed() < m_log.last();
    if ((m_state != State::Owning && !isReleaseWaiting) || m_viewChange.isActive())
        return;
    bool isEveryBackupKept = true;
    for (auto& stream : m_streams)
        isEveryBackupKept &= checkBackup(stream);
    if (isEveryBackupKept)
        return;
    const bool isInUse = isCurrent || m_table.activeCount() > 0 || committed() < m_log.last();
    if (isInUse)
        requestSmallerView();
}

bool OwnedSegment::checkBackup(BackupStream& stream)
{
    if (isStalled(stream)) {
        const auto now = m_context.clock.now();
        m_context.peers.avoid(stream.host(), now + avoidedStalls * stallLimit(m_context.settings));
        return false;
    }
    return isUsable(stream);
}

bool OwnedSegment::isStalled(const BackupStream& stream) const
{
    return stream.isStalled(m_context.clock.now(), stallLimit(m_context.settings));
}

void OwnedSegment::requestSmallerView()
{
    const auto& self = m_context.settings.self;
    SegmentView next { Epoch(m_view.epoch.value() + 1), self, { self } };
    for (const auto& stream : m_streams) {
        if (isUsable(stream) && !isStalled(stream))
            next.members.push_back(stream.host());
    }
    m_viewChange.begin({ m_key, m_view.epoch, next });
}

void OwnedSegment::flush()
{
    if (m_state != State::Owning && m_state != State::Releasing)
        return;
    const auto now = m_context.clock.now();
    const BackupStream::Header header { m_key, m_view, m_table.lowWater() };
    for (auto& stream : m_streams) {
        if (isUsable(stream))
            stream.flush(header, m_log, now);
    }
    // With more backups than one, a takeover without the store could happen on each of them. A view change whose result
    // is unknown could still change the owner of the view that is being handed over.
    const bool isOnlyBackup = m_streams.size() == 1 || !isGuarded(Guard::ReleaseToOneBackup);
    if (m_state != State::Releasing || !isOnlyBackup || m_viewChange.isActive() || committed() < m_log.last())
        return;
    for (auto& stream : m_streams) {
        if (stream.isAccepted() && isUsable(stream))
            stream.flushRelease(header, now);
    }
}

void OwnedSegment::tick()
{
    const auto now = m_context.clock.now();
    m_viewChange.tick(now);
    m_table.expire(now - m_context.settings.retention);
}

bool OwnedSegment::isDisposable() const
{
    const auto age = m_context.clock.now() - m_createdAt;
    if (m_viewChange.isActive())
        return false;
    if (m_state == State::Superseded || m_state == State::Released)
        return age >= m_context.replicaLifetime();
    // A seal can outlive its submission here while its backup is gone and the store does not answer.
    if (committed() < m_log.last())
        return false;
    return m_table.size() == 0 && age >= m_context.settings.segmentLifetime + m_context.settings.retention;
}

TimePoint OwnedSegment::nextWakeup() const
{
    auto wakeup = m_viewChange.nextWakeup();
    if (m_state != State::Owning && m_state != State::Releasing)
        return wakeup;
    for (const auto& stream : m_streams) {
        if (isUsable(stream))
            wakeup = std::min(wakeup, stream.nextWakeup());
    }
    return wakeup;
}

}
