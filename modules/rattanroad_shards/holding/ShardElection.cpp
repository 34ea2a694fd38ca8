#include "rattanroad_shards/holding/ShardElection.h"

#include "rattanroad_shards/holding/StoreKeys.h"

#include <algorithm>
#include <charconv>

namespace rattanroad::shards {

namespace {
    /** Differs between hosts and between shards, and is the same on all hosts. */
    std::uint64_t rendezvousWeight(const ShardId& shard, const HostId& host)
    {
        std::uint64_t hash = 1469598103934665603ULL;
        for (const char character : shard.value() + "/" + host.value())
            hash = (hash ^ static_cast<unsigned char>(character)) * 1099511628211ULL;
        return hash ^ (hash >> 29U);
    }

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
{
}

void ShardElection::review()
{
    const ShardHolder* const holder = m_fleet.holder(m_settings.shard);
    if (m_holding) {
        // The watch may be behind the own write, so only a newer holder counts.
        if (holder && holder->token > m_holding->token)
            lose("another host holds the shard");
        else if (m_unconfirmedSince && m_clock.now() - *m_unconfirmedSince >= m_settings.unconfirmedLimit)
            lose("held too long without a lease");
        else if (!m_unconfirmedSince && shouldGiveWay())
            release();
        if (!m_holding || !m_unconfirmedSince)
            return;
    }
    if (!m_isCandidate || !m_lease.isValid() || m_isAttempting || m_isAttemptDue || !isFree())
        return;
    const bool isOwn = m_holding || holder;
    attemptAfter(isOwn ? Duration(0) : m_settings.attemptSpacing * rank());
}

bool ShardElection::isFree() const
{
    const ShardHolder* const holder = m_fleet.holder(m_settings.shard);
    if (!holder)
        return true;
    if (holder->host != m_settings.self)
        return false;
    // The key of an earlier process, or of an earlier lease of this one.
    return holder->incarnation != m_settings.incarnation || m_unconfirmedSince;
}

std::size_t ShardElection::rank() const
{
    const auto order = [this](const HostId& host, const FailureDomainId& domain) {
        const bool holdsAnother = std::any_of(m_fleet.holders().begin(), m_fleet.holders().end(),
            [&host](const auto& entry) { return entry.second.host == host; });
        return std::make_tuple(
            domain != m_settings.preferredDomain, holdsAnother, rendezvousWeight(m_settings.shard, host));
    };
    const auto own = order(m_settings.self, m_settings.selfDomain);
    return static_cast<std::size_t>(
        std::count_if(m_fleet.hosts().begin(), m_fleet.hosts().end(), [&](const auto& entry) {
            return entry.first != m_settings.self && !entry.second.isDraining
                && order(entry.first, entry.second.failureDomain) < own;
        }));
}

bool ShardElection::shouldGiveWay()
{
    const bool isPreferred = m_settings.selfDomain == m_settings.preferredDomain;
    const bool hasBetter
        = !isPreferred && std::any_of(m_fleet.hosts().begin(), m_fleet.hosts().end(), [this](const auto& entry) {
              return entry.second.failureDomain == m_settings.preferredDomain && !entry.second.isDraining;
          });
    if (!hasBetter) {
        m_betterHostSince.reset();
        return false;
    }
    if (!m_betterHostSince)
        m_betterHostSince = m_clock.now();
    return m_clock.now() - *m_betterHostSince >= m_settings.giveWayAfter;
}

void ShardElection::attemptAfter(Duration pause)
{
    m_isAttemptDue = true;
    m_timers.after(pause, [this] {
        m_isAttemptDue = false;
        attempt();
    });
}

void ShardElection::attempt()
{
    const bool isConfirmed = m_holding && !m_unconfirmedSince;
    if (isConfirmed || m_isAttempting || !m_isCandidate || !m_lease.isValid() || !isFree())
        return;
    m_isAttempting = true;
    m_store.read(storekeys::generation(m_settings.shard), [this](const ReadReply& reply) {
        m_isAttempting = false;
        if (reply.status == StoreStatus::Done || reply.status == StoreStatus::Absent)
            write(reply);
    });
}

void ShardElection::write(const ReadReply& generationKey)
{
    const bool isConfirmed = m_holding && !m_unconfirmedSince;
    if (isConfirmed || !m_isCandidate || !m_lease.isValid() || !isFree())
        return;
    const ShardHolder* const holder = m_fleet.holder(m_settings.shard);
    const bool exists = generationKey.status == StoreStatus::Done && !generationKey.items.empty();
    const KeyRevision generationRevision = exists ? generationKey.items.front().revision : KeyRevision(0);
    const std::uint64_t before = exists ? parseGeneration(generationKey.items.front().value) : 0;
    const bool isContinued = exists && generationRevision == m_lastGenerationRevision;
    if (m_holding && !isContinued) {
        lose("another host has held the shard");
        return;
    }
    // A continued holding keeps its number: attempts of tasks stay in one sequence.
    const Generation generation(isContinued ? before : before + 1);
    protocol::ShardHolderRecord record;
    record.set_host(m_settings.self.value());
    record.set_incarnation(m_settings.incarnation.value());
    record.set_address(m_settings.address);
    record.set_generation(generation.value());
    KeyTransaction transaction;
    transaction.conditions.push_back(
        { storekeys::holder(m_settings.shard), holder ? KeyRevision(holder->token.value()) : KeyRevision(0) });
    transaction.conditions.push_back({ storekeys::generation(m_settings.shard), generationRevision });
    transaction.writes.push_back({ storekeys::holder(m_settings.shard), record.SerializeAsString(), m_lease.lease() });
    if (!isContinued)
        transaction.writes.push_back(
            { storekeys::generation(m_settings.shard), std::to_string(generation.value()), StoreLeaseId(0) });
    m_isAttempting = true;
    m_store.transact(transaction, [this, generation, isContinued, lease = m_lease.lease()](const auto& reply) {
        m_isAttempting = false;
        // Of an earlier lease, the key ends with it.
        if (lease == m_lease.lease())
            takeReply(reply, generation, isContinued);
    });
}

void ShardElection::takeReply(const TransactionReply& reply, Generation generation, bool isContinued)
{
    // The key may exist without this host knowing its token; it goes with its lease.
    if (reply.status == StoreStatus::Unknown) {
        m_lease.replace();
        return;
    }
    if (reply.status != StoreStatus::Done || !m_lease.isValid())
        return;
    m_betterHostSince.reset();
    if (!isContinued)
        m_lastGenerationRevision = reply.revision;
    m_unconfirmedSince.reset();
    m_holding = Holding { FencingToken(reply.revision.value()), generation, isContinued };
    m_hooks.acquired(*m_holding);
}

void ShardElection::leaseLost()
{
    if (m_holding && !m_unconfirmedSince)
        m_unconfirmedSince = m_clock.now();
}

void ShardElection::keyChanged()
{
    leaseLost();
    // The store has removed or replaced a key of the lease, so nothing else under it can be relied on.
    m_lease.replace();
    review();
}

void ShardElection::displaced() { lose("another host holds the shard"); }

void ShardElection::release()
{
    if (!m_holding || m_isReleasing)
        return;
    m_isReleasing = true;
    if (!hasSuccessor() && m_hooks.hasOpenJobs()) {
        releaseLater();
        return;
    }
    KeyTransaction transaction;
    transaction.conditions.push_back({ storekeys::holder(m_settings.shard), KeyRevision(m_holding->token.value()) });
    transaction.removals.push_back(storekeys::holder(m_settings.shard));
    m_store.transact(transaction, [this](const TransactionReply& reply) {
        if (reply.status == StoreStatus::Done) {
            m_isReleasing = false;
            lose("given up for another host");
            return;
        }
        // Until the key is gone nobody else can hold the shard, so its jobs are served here.
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
    m_unconfirmedSince.reset();
    m_hooks.lost(reason);
}

}
