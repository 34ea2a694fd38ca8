#include "rattanroad_ledger/ledger/SegmentDirectory.h"

#include <algorithm>

namespace rattanroad {

namespace {

    Standing simple(Standing::Kind kind) { return { kind, {}, {} }; }

    Standing undecided(FailureCode code, RunState runState, const char* detail)
    {
        return { Standing::Kind::Undecided, {}, { code, runState, detail } };
    }

    Standing outcomeUnknown()
    {
        return undecided(FailureCode::OutcomeUnknown, RunState::OutcomeUnknown,
            "the hosts that kept the journal of this submission have lost it");
    }

    Standing notDecidedHere()
    {
        return undecided(FailureCode::NotDecidedHere, RunState::OutcomeUnknown,
            "no host that decides about this submission can be reached from here");
    }

    Standing neverMinted()
    {
        return undecided(FailureCode::InvalidSubmissionId, RunState::NotRun, "this submission id was never handed out");
    }

}

Standing SegmentDirectory::standing(const SubmissionId& id) const
{
    const auto owned = m_owned.find(id.segment);
    if (owned != m_owned.end())
        return ownedStanding(*owned->second, id);
    const auto replica = m_replicas.find(id.segment);
    if (replica != m_replicas.end())
        return replicaStanding(*replica->second);
    if (id.segment.owner == m_context.settings.self)
        return standingAtOwner(id);
    if (m_context.peers.isAlive(id.segment.owner, id.segment.incarnation))
        return { Standing::Kind::Elsewhere, id.segment.owner, {} };
    return standingAtBackup(id);
}

Standing SegmentDirectory::ownedStanding(const OwnedSegment& segment, const SubmissionId& id) const
{
    if (segment.state() == OwnedSegment::State::Superseded || segment.state() == OwnedSegment::State::Released)
        return elsewhere(segment.view().owner, segment.successor());
    const auto* submission = segment.submissions().find(id.sequence);
    if (submission && submission->isSealed)
        return simple(Standing::Kind::Sealed);
    if (!segment.isMinted(id.sequence))
        return neverMinted();
    if (segment.submissions().isExpired(id.sequence))
        return simple(Standing::Kind::Expired);
    if (segment.state() == OwnedSegment::State::Releasing)
        return notDecidedHere();
    return simple(submission ? Standing::Kind::Active : Standing::Kind::New);
}

Standing SegmentDirectory::replicaStanding(const JournalReplica& replica) const
{
    switch (replica.state()) {
    case JournalReplica::State::Holding:
        return elsewhere(replica.key().owner, replica.key().incarnation);
    case JournalReplica::State::TakingOver:
    case JournalReplica::State::Won:
        return simple(Standing::Kind::Pending);
    case JournalReplica::State::Lost:
        break;
    }
    const auto& key = replica.key();
    const bool isOwnerInForce = replica.view().owner == key.owner;
    return elsewhere(replica.view().owner, isOwnerInForce ? std::optional<Incarnation>(key.incarnation) : std::nullopt);
}

Standing SegmentDirectory::standingAtOwner(const SubmissionId& id) const
{
    if (id.segment.incarnation != m_context.settings.incarnation)
        return standingAtBackup(id);
    const bool wasOpened = id.segment.segment.value() > 0 && id.segment.segment <= m_lastSegment;
    return wasOpened ? simple(Standing::Kind::Expired) : neverMinted();
}

Standing SegmentDirectory::standingAtBackup(const SubmissionId& id) const
{
    const auto& self = m_context.settings.self;
    // A backup without a copy passes on only to backups named after it, so that two of them cannot pass a request back
    // and forth.
    const auto own = std::find(id.backups.begin(), id.backups.end(), self);
    const bool isBackup = own != id.backups.end();
    for (auto backup = isBackup ? std::next(own) : id.backups.begin(); backup != id.backups.end(); ++backup) {
        if (m_context.peers.isAlive(*backup))
            return { Standing::Kind::Elsewhere, *backup, {} };
    }
    const bool isOwnerReplaced = id.segment.owner == self || m_context.peers.isAlive(id.segment.owner);
    if (isBackup || id.segment.owner == self || (isOwnerReplaced && id.backups.empty()))
        return outcomeUnknown();
    return notDecidedHere();
}

Standing SegmentDirectory::elsewhere(const HostId& host, std::optional<Incarnation> expected) const
{
    const auto incarnation = m_context.peers.incarnation(host);
    // A later process at the same address lost the journal and would send the request back here.
    const bool isReplaced = expected && incarnation && *incarnation != *expected;
    if (host.value().empty() || host == m_context.settings.self || isReplaced)
        return outcomeUnknown();
    if (!incarnation)
        return notDecidedHere();
    return { Standing::Kind::Elsewhere, host, {} };
}

}
