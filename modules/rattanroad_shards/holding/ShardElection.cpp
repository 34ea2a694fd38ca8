#include "rattanroad_shards/holding/ShardElection.h"

#include "rattanroad_shards/holding/StoreKeys.h"
#include "rattanroad_shards/types/RendezvousHash.h"

#include <algorithm>
#include <charconv>

namespace rattanroad::shards {

namespace {
    std::uint64_t parseGeneration(const std::string& text)
    {
        std::uint64_t generation = 0;
        std::from_chars(text.data(), text.data() + text.size(), generation);
        return generation;
    }
}

ShardElection::ShardElection(Settings settings, KeyValueStore& store, HostLease& lease, const FleetView& fleet,
    Timers timers, const Clock& clock, Hooks hooks)
    : m_settings(std::move(settings))
    , m_store(store)
    , m_lease(lease)
    , m_fleet(fleet)
    , m_timers(std::move(timers))
    , m_clock(clock)
    , m_hooks(std::move(hooks))
    , m_tokenRaise({ storekeys::holder(m_settings.shard) }, m_store, m_timers, m_clock, tokenRaiseHooks())
{
}

void ShardElection::reevaluate()
{
    const ShardHolder* const holder = m_fleet.holder(m_settings.shard);
    if (m_holding) {
        // The watch may lag behind this host's own write, so only a newer token counts.
        if (holder && holder->token > m_holding->token && isOwnRaise(*holder))
            tokenRaised(holder->token);
        else if (holder && holder->token > m_holding->token)
            lose("another host holds the shard");
        else if (!m_leaseLostAt && shouldFailBack())
            release();
        endExpiredHolding();
        if (!m_holding || !m_leaseLostAt)
            return;
    }
    if (!m_isCandidate || !m_lease.isValid() || m_isAttempting || m_isAttemptScheduled || !isAvailable())
        return;
    const bool isOwnKey = m_holding || holder;
    attemptAfter(isOwnKey ? Duration(0) : m_settings.attemptSpacing * rank());
}

void ShardElection::endExpiredHolding()
{
    if (m_leaseLostAt && m_clock.now() - *m_leaseLostAt >= m_settings.maximumTimeWithoutLease)
        lose("held too long without a lease");
}

bool ShardElection::isAvailable() const
{
    const ShardHolder* const holder = m_fleet.holder(m_settings.shard);
    if (!holder)
        return true;
    if (holder->host != m_settings.self)
        return false;
    // The key was written by an earlier process of this host, or under an earlier lease of this process.
    return holder->incarnation != m_settings.incarnation || m_leaseLostAt;
}

std::size_t ShardElection::rank() const
{
    const auto order = [this](const HostId& host, const FailureDomainId& domain, HostMillicores processor) {
        // Hosts of unknown processor time are told apart by whether they hold a shard already.
        const bool holdsAnother = std::any_of(m_fleet.holders().begin(), m_fleet.holders().end(),
            [&host](const auto& entry) { return entry.second.host == host; });
        return std::make_tuple(domain != m_settings.preferredDomain, -processorTimeOn(host, processor), holdsAnother,
            rendezvousWeight(m_settings.shard.value(), host.value()));
    };
    const auto own = order(m_settings.self, m_settings.selfDomain, m_settings.selfProcessor);
    return static_cast<std::size_t>(
        std::count_if(m_fleet.hosts().begin(), m_fleet.hosts().end(), [&](const auto& entry) {
            return entry.first != m_settings.self && !entry.second.isDraining
                && order(entry.first, entry.second.failureDomain, entry.second.processor) < own;
        }));
}

double ShardElection::processorTimeOn(const HostId& host, HostMillicores processor) const
{
    const auto otherShards = std::count_if(m_fleet.holders().begin(), m_fleet.holders().end(),
        [&](const auto& entry) { return entry.first != m_settings.shard && entry.second.host == host; });
    return processor.value() / static_cast<double>(otherShards + 1);
}

bool ShardElection::shouldFailBack()
{
    if (!hasBetterHost()) {
        m_betterHostSince.reset();
        return false;
    }
    if (!m_betterHostSince)
        m_betterHostSince = m_clock.now();
    return m_clock.now() - *m_betterHostSince >= m_settings.failbackDelay;
}

bool ShardElection::hasBetterHost() const
{
    const bool isPreferred = m_settings.selfDomain == m_settings.preferredDomain;
    const double own = processorTimeOn(m_settings.self, m_settings.selfProcessor);
    return std::any_of(m_fleet.hosts().begin(), m_fleet.hosts().end(), [&](const auto& entry) {
        if (entry.second.failureDomain != m_settings.preferredDomain || entry.second.isDraining)
            return false;
        const bool isMuchLarger
            = own > 0 && processorTimeOn(entry.first, entry.second.processor) >= own * m_settings.failbackRatio;
        return !isPreferred || isMuchLarger;
    });
}

void ShardElection::attemptAfter(Duration pause)
{
    m_isAttemptScheduled = true;
    m_timers.after(pause, [this] {
        m_isAttemptScheduled = false;
        attempt();
    });
}

void ShardElection::attempt()
{
    const bool isLeased = m_holding && !m_leaseLostAt;
    if (isLeased || m_isAttempting || !m_isCandidate || !m_lease.isValid() || !isAvailable())
        return;
    m_isAttempting = true;
    m_store.read(storekeys::generation(m_settings.shard), [this](const ReadReply& reply) {
        m_isAttempting = false;
        if (reply.status == StoreStatus::Done || reply.status == StoreStatus::Absent)
            writeHolderKey(reply);
    });
}

void ShardElection::writeHolderKey(const ReadReply& generationKey)
{
    const bool isLeased = m_holding && !m_leaseLostAt;
    if (isLeased || !m_isCandidate || !m_lease.isValid() || !isAvailable())
        return;
    const ShardHolder* const holder = m_fleet.holder(m_settings.shard);
    const bool exists = generationKey.status == StoreStatus::Done && !generationKey.items.empty();
    const KeyRevision generationRevision = exists ? generationKey.items.front().revision : KeyRevision(0);
    const std::uint64_t lastGeneration = exists ? parseGeneration(generationKey.items.front().value) : 0;
    const bool isContinued = exists && generationRevision == m_lastGenerationRevision;
    if (m_holding && !isContinued) {
        lose("another host has held the shard in the meantime");
        return;
    }
    // A continued holding keeps its generation, so that the attempts of a task stay in one sequence.
    const Generation generation(isContinued ? lastGeneration : lastGeneration + 1);
    KeyTransaction transaction;
    transaction.conditions.push_back(
        { storekeys::holder(m_settings.shard), holder ? KeyRevision(holder->token.value()) : KeyRevision(0) });
    transaction.conditions.push_back({ storekeys::generation(m_settings.shard), generationRevision });
    transaction.writes.push_back({ storekeys::holder(m_settings.shard), holderRecord(generation), m_lease.lease() });
    if (!isContinued)
        transaction.writes.push_back(
            { storekeys::generation(m_settings.shard), std::to_string(generation.value()), StoreLeaseId(0) });
    m_isAttempting = true;
    m_store.transact(transaction, [this, generation, isContinued, lease = m_lease.lease()](const auto& reply) {
        m_isAttempting = false;
        // A key that was written under an earlier lease is removed with that lease.
        if (lease == m_lease.lease())
            processWriteReply(reply, generation, isContinued);
    });
}

std::string ShardElection::holderRecord(Generation generation) const
{
    protocol::ShardHolderRecord record;
    record.set_host(m_settings.self.value());
    record.set_incarnation(m_settings.incarnation.value());
    record.set_address(m_settings.address);
    record.set_generation(generation.value());
    return record.SerializeAsString();
}

void ShardElection::processWriteReply(const TransactionReply& reply, Generation generation, bool isContinued)
{
    // The key may have been written with a token that this host does not know. Giving the lease up removes it.
    if (reply.status == StoreStatus::Unknown) {
        m_lease.replace();
        return;
    }
    if (reply.status != StoreStatus::Done || !m_lease.isValid())
        return;
    m_betterHostSince.reset();
    if (!isContinued)
        m_lastGenerationRevision = reply.revision;
    m_leaseLostAt.reset();
    m_holding = Holding { FencingToken(reply.revision.value()), generation, isContinued };
    m_hooks.acquired(*m_holding);
}

void ShardElection::leaseLost()
{
    if (m_holding && !m_leaseLostAt)
        m_leaseLostAt = m_lease.endedAt();
    endExpiredHolding();
}

void ShardElection::requestTokenRaise()
{
    if (m_holding)
        m_tokenRaise.request();
}

TokenRaise::Hooks ShardElection::tokenRaiseHooks()
{
    TokenRaise::Hooks hooks;
    hooks.key = [this]() -> std::optional<TokenRaise::HolderKey> {
        // A holding without a lease gets a higher token when the shard is acquired again.
        if (!m_holding || m_leaseLostAt || m_isRemovalInFlight || !m_lease.isValid())
            return std::nullopt;
        return TokenRaise::HolderKey { m_holding->token, m_lease.lease(), holderRecord(m_holding->generation) };
    };
    hooks.raised = [this](FencingToken token) { tokenRaised(token); };
    hooks.keyLost = [this] { replaceLease(); };
    return hooks;
}

bool ShardElection::isOwnRaise(const ShardHolder& holder) const
{
    return m_tokenRaise.mayHaveRaised() && holder.host == m_settings.self
        && holder.incarnation == m_settings.incarnation && holder.generation == m_holding->generation;
}

void ShardElection::tokenRaised(FencingToken token)
{
    if (!m_holding || token <= m_holding->token)
        return;
    m_holding->token = token;
    m_hooks.tokenRaised(token);
}

void ShardElection::keyChanged()
{
    if (m_holding && !m_leaseLostAt && m_tokenRaise.mayHaveRaised())
        m_tokenRaise.resolve();
    else
        replaceLease();
}

void ShardElection::replaceLease()
{
    leaseLost();
    // The store has removed or replaced a key of the lease, so its other keys may be gone too.
    m_lease.replace();
    reevaluate();
}

void ShardElection::displaced() { lose("another host holds the shard"); }

void ShardElection::release()
{
    if (!m_holding || m_isReleasing)
        return;
    m_isReleasing = true;
    if (m_tokenRaise.isWriting() || (!hasSuccessor() && m_hooks.hasOpenJobs())) {
        releaseLater();
        return;
    }
    KeyTransaction transaction;
    transaction.conditions.push_back({ storekeys::holder(m_settings.shard), KeyRevision(m_holding->token.value()) });
    transaction.removals.push_back(storekeys::holder(m_settings.shard));
    m_isRemovalInFlight = true;
    m_store.transact(transaction, [this](const TransactionReply& reply) {
        m_isRemovalInFlight = false;
        if (reply.status == StoreStatus::ConditionFailed && m_tokenRaise.mayHaveRaised()) {
            m_tokenRaise.resolve();
            releaseLater();
            return;
        }
        // The key is gone or another's if the condition fails, for instance because the reply to a removal was lost.
        if (reply.status == StoreStatus::Done || reply.status == StoreStatus::ConditionFailed) {
            m_isReleasing = false;
            lose("released for another host");
            return;
        }
        // No other host can acquire the shard while the key exists, so this host keeps serving it.
        releaseLater();
    });
}

void ShardElection::releaseLater()
{
    m_timers.after(m_settings.attemptSpacing, [this] {
        m_isReleasing = false;
        release();
    });
}

bool ShardElection::hasSuccessor() const
{
    return std::any_of(m_fleet.hosts().begin(), m_fleet.hosts().end(),
        [this](const auto& entry) { return entry.first != m_settings.self && !entry.second.isDraining; });
}

void ShardElection::lose(const char* reason)
{
    if (!m_holding)
        return;
    m_holding.reset();
    m_leaseLostAt.reset();
    m_hooks.lost(reason);
}

}
