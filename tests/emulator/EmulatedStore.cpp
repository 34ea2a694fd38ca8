#include "emulator/EmulatedStore.h"

#include <algorithm>

namespace rattanroad::emulator {

using namespace shards;
using namespace std::chrono_literals;

namespace {
    constexpr auto callTimeout = 450ms;
    /** Added to the wait of a watch to get its timeout. */
    constexpr auto watchTimeoutMargin = 500ms;
    constexpr auto lateTransactionDelay = 3s;
    constexpr auto leaseCheckInterval = 20ms;

    bool startsWith(const std::string& text, const std::string& prefix)
    {
        return text.compare(0, prefix.size(), prefix) == 0;
    }
}

EmulatedStore::EmulatedStore(EventQueue& queue)
    : m_queue(queue)
{
    expireLeases();
}

void EmulatedStore::call(const HostId& host, std::function<void()> action, const std::function<void(StoreStatus)>& fail)
{
    if (faults.refusedHosts.count(host)) {
        m_queue.after(faults.latency, [fail] { fail(StoreStatus::Refused); });
        return;
    }
    if (faults.isDown || faults.isolatedHosts.count(host)) {
        m_queue.after(callTimeout, [fail] { fail(StoreStatus::Unknown); });
        return;
    }
    m_queue.after(faults.latency, std::move(action));
}

KeyValueStore EmulatedStore::callsFrom(const HostId& host)
{
    KeyValueStore store;
    store.read = [this, host](const std::string& key, const std::function<void(const ReadReply&)>& callback) {
        call(
            host,
            [this, key, callback] {
                const auto found = m_items.find(key);
                if (found == m_items.end())
                    callback({ StoreStatus::Absent, {}, false, KeyRevision(m_revision) });
                else
                    callback({ StoreStatus::Done, { { key, found->second.value, KeyRevision(found->second.revision) } },
                        false, KeyRevision(m_revision) });
            },
            [callback](StoreStatus status) {
                callback({ status, {}, false, KeyRevision(0) });
            });
    };
    store.readPage = [this, host](const std::string& prefix, const std::string& after,
                         const std::function<void(const ReadReply&)>& callback) {
        call(
            host,
            [this, host, prefix, after, callback] {
                if (isUnreadable(host, prefix)) {
                    m_queue.after(callTimeout, [callback] { callback({}); });
                    return;
                }
                constexpr std::size_t pageSize = 20;
                ReadReply reply { StoreStatus::Done, {}, false, KeyRevision(m_revision) };
                for (auto item = m_items.upper_bound(std::max(prefix, after)); item != m_items.end(); ++item) {
                    if (!startsWith(item->first, prefix))
                        break;
                    if (reply.items.size() == pageSize) {
                        reply.hasMore = true;
                        break;
                    }
                    reply.items.push_back({ item->first, item->second.value, KeyRevision(item->second.revision) });
                }
                const auto exact = m_items.find(prefix);
                if (after.empty() && exact != m_items.end())
                    reply.items.push_back({ prefix, exact->second.value, KeyRevision(exact->second.revision) });
                callback(reply);
            },
            [callback](StoreStatus status) {
                callback({ status, {}, false, KeyRevision(0) });
            });
    };
    store.watch = [this, host](const std::string& prefix, KeyRevision after, std::chrono::milliseconds wait,
                      const std::function<void(const WatchReply&)>& callback) {
        call(
            host,
            [this, host, prefix, after, wait, callback] {
                auto watch = std::make_shared<PendingWatch>(
                    PendingWatch { prefix, after.value(), [this, host, callback](const WatchReply& reply) {
                                      const bool isUnreachable = faults.isDown || faults.isolatedHosts.count(host)
                                          || faults.refusedHosts.count(host);
                                      callback(isUnreachable ? WatchReply {} : reply);
                                  } });
                if (prefix == faults.silentPrefix || isUnreadable(host, prefix)) {
                    m_queue.after(wait + watchTimeoutMargin, [callback] { callback({}); });
                    return;
                }
                if (answerWatch(*watch, false))
                    return;
                m_pendingWatches.push_back(watch);
                m_queue.after(wait, [this, watch] { answerWatch(*watch, true); });
            },
            [callback](StoreStatus status) {
                callback({ status, {}, KeyRevision(0) });
            });
    };
    store.transact = [this, host](const KeyTransaction& transaction,
                         const std::function<void(const TransactionReply&)>& callback) {
        ++m_transactions;
        const auto fail = [callback](StoreStatus status) { callback({ status, KeyRevision(0), {} }); };
        call(
            host,
            [this, transaction, callback, fail] {
                if (faults.lateTransactions > 0) {
                    --faults.lateTransactions;
                    m_queue.after(lateTransactionDelay, [this, transaction] { execute(transaction); });
                    m_queue.after(callTimeout, [fail] { fail(StoreStatus::Unknown); });
                    return;
                }
                const TransactionReply reply = execute(transaction);
                if (faults.repliesToLose > 0) {
                    --faults.repliesToLose;
                    m_queue.after(callTimeout, [fail] { fail(StoreStatus::Unknown); });
                    return;
                }
                callback(reply);
            },
            fail);
    };
    store.grantLease
        = [this, host](std::chrono::milliseconds timeToLive, const std::function<void(const LeaseReply&)>& callback) {
              call(
                  host,
                  [this, timeToLive, callback] {
                      m_leases[++m_lastLease] = { timeToLive, m_queue.now() + timeToLive };
                      callback({ StoreStatus::Done, StoreLeaseId(m_lastLease), timeToLive });
                  },
                  [callback](StoreStatus status) {
                      callback({ status, StoreLeaseId(0), Duration(0) });
                  });
          };
    store.renewLease = [this, host](StoreLeaseId lease, const std::function<void(const LeaseReply&)>& callback) {
        call(
            host,
            [this, lease, callback] {
                const auto found = m_leases.find(lease.value());
                if (found == m_leases.end()) {
                    callback({ StoreStatus::Absent, lease, Duration(0) });
                    return;
                }
                found->second.expiresAt = m_queue.now() + found->second.timeToLive;
                callback({ StoreStatus::Done, lease, found->second.timeToLive });
            },
            [callback](StoreStatus status) {
                callback({ status, StoreLeaseId(0), Duration(0) });
            });
    };
    return store;
}

TransactionReply EmulatedStore::execute(const KeyTransaction& transaction)
{
    TransactionReply reply;
    bool doConditionsHold = true;
    for (const auto& condition : transaction.conditions) {
        const auto found = m_items.find(condition.key);
        const std::uint64_t revision = found == m_items.end() ? 0 : found->second.revision;
        doConditionsHold = doConditionsHold && revision == condition.revision.value();
        if (found != m_items.end())
            reply.current.push_back({ condition.key, found->second.value, KeyRevision(revision) });
    }
    if (!doConditionsHold) {
        reply.status = StoreStatus::ConditionFailed;
        return reply;
    }
    for (const auto& write : transaction.writes) {
        if (write.lease.value() != 0 && !m_leases.count(write.lease.value())) {
            reply.status = StoreStatus::Absent;
            return reply;
        }
    }
    ++m_revision;
    for (const auto& write : transaction.writes)
        writeItem(write.key, write.value, write.lease.value());
    for (const std::string& key : transaction.removals)
        removeItem(key);
    notify();
    reply.status = StoreStatus::Done;
    reply.revision = KeyRevision(m_revision);
    return reply;
}

void EmulatedStore::writeItem(const std::string& key, const std::string& value, std::uint64_t lease)
{
    m_items[key] = { value, m_revision, lease };
    m_history.push_back({ { key, value, KeyRevision(m_revision) }, false });
}

void EmulatedStore::removeItem(const std::string& key)
{
    if (m_items.erase(key) != 0)
        m_history.push_back({ { key, "", KeyRevision(m_revision) }, true });
}

void EmulatedStore::put(const std::string& key, const std::string& value)
{
    ++m_revision;
    writeItem(key, value, 0);
    notify();
}

void EmulatedStore::remove(const std::string& key)
{
    ++m_revision;
    removeItem(key);
    notify();
}

void EmulatedStore::revoke(const std::string& keyOfLease)
{
    const auto found = m_items.find(keyOfLease);
    if (found == m_items.end())
        return;
    const std::uint64_t lease = found->second.lease;
    std::vector<std::string> keys;
    for (const auto& item : m_items) {
        if (item.second.lease == lease)
            keys.push_back(item.first);
    }
    for (const std::string& key : keys)
        remove(key);
}

void EmulatedStore::compact()
{
    m_history.clear();
    m_compactedTo = m_revision;
    const auto watches = m_pendingWatches;
    for (const auto& watch : watches) {
        if (!watch->isDone) {
            watch->isDone = true;
            watch->callback({ StoreStatus::Compacted, {}, KeyRevision(0) });
        }
    }
    m_pendingWatches.clear();
}

bool EmulatedStore::isUnreadable(const HostId& host, const std::string& prefix) const
{
    return prefix == faults.unreadablePrefix
        && (faults.unreadableHosts.empty() || faults.unreadableHosts.count(host) != 0);
}

void EmulatedStore::notify()
{
    const auto watches = m_pendingWatches;
    for (const auto& watch : watches)
        answerWatch(*watch, false);
    m_pendingWatches.erase(std::remove_if(m_pendingWatches.begin(), m_pendingWatches.end(),
                               [](const auto& watch) { return watch->isDone; }),
        m_pendingWatches.end());
}

bool EmulatedStore::answerWatch(PendingWatch& watch, bool isTimedOut)
{
    if (watch.isDone)
        return true;
    if (watch.after < m_compactedTo) {
        watch.isDone = true;
        watch.callback({ StoreStatus::Compacted, {}, KeyRevision(0) });
        return true;
    }
    const bool isDeaf = !faults.deafPrefix.empty() && watch.prefix == faults.deafPrefix;
    WatchReply reply { StoreStatus::Done, {}, KeyRevision(isDeaf ? watch.after : m_revision) };
    for (const KeyChange& change : m_history) {
        if (!isDeaf && change.item.revision.value() > watch.after && startsWith(change.item.key, watch.prefix))
            reply.changes.push_back(change);
    }
    if (faults.maximumChanges != 0 && reply.changes.size() > faults.maximumChanges) {
        reply.changes.resize(faults.maximumChanges);
        reply.storeRevision = reply.changes.back().item.revision;
    }
    if (reply.changes.empty() && !isTimedOut)
        return false;
    watch.isDone = true;
    // The callback must not run inside the write that triggers it.
    m_queue.after(std::chrono::microseconds(500), [callback = watch.callback, reply] { callback(reply); });
    return true;
}

void EmulatedStore::expireLeases()
{
    std::vector<std::uint64_t> ended;
    for (auto& lease : m_leases) {
        if (faults.isDown && !faults.doLeasesExpireWhileDown)
            lease.second.expiresAt += leaseCheckInterval;
        else if (lease.second.expiresAt <= m_queue.now())
            ended.push_back(lease.first);
    }
    for (const std::uint64_t lease : ended) {
        m_leases.erase(lease);
        std::vector<std::string> keys;
        for (const auto& item : m_items) {
            if (item.second.lease == lease)
                keys.push_back(item.first);
        }
        for (const std::string& key : keys)
            remove(key);
    }
    m_queue.after(leaseCheckInterval, [this] { expireLeases(); });
}

std::optional<std::string> EmulatedStore::value(const std::string& key) const
{
    const auto found = m_items.find(key);
    return found == m_items.end() ? std::nullopt : std::optional<std::string>(found->second.value);
}

std::vector<std::string> EmulatedStore::keys(const std::string& prefix) const
{
    std::vector<std::string> keys;
    for (const auto& item : m_items) {
        if (startsWith(item.first, prefix))
            keys.push_back(item.first);
    }
    return keys;
}

}
