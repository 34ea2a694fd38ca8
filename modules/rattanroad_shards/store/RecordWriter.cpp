#include "rattanroad_shards/store/RecordWriter.h"

#include <algorithm>
#include <cassert>

namespace rattanroad::shards {

RecordWriter::RecordWriter(Settings settings, KeyValueStore& store, Timers timers, Hooks hooks)
    : m_settings(std::move(settings))
    , m_store(store)
    , m_timers(std::move(timers))
    , m_hooks(std::move(hooks))
{
}

void RecordWriter::begin(FencingToken token, bool isContinued)
{
    m_token = token;
    m_isStoreUnavailable = false;
    if (!isContinued) {
        m_entries.clear();
        m_pendingKeys.clear();
        m_inFlight = 0;
        ++m_epoch;
    }
    flushAfter(Duration(0));
}

void RecordWriter::end() { m_token.reset(); }

void RecordWriter::insert(const std::string& key, std::string value, InsertCallback callback)
{
    Entry& entry = m_entries[key];
    assert(!entry.insertCallback && "a record is inserted at most once");
    entry.value = std::move(value);
    entry.insertCallback = std::move(callback);
    entry.isPending = true;
    m_pendingKeys.push_back(key);
    if (!m_isInsertFlushDue) {
        m_isInsertFlushDue = true;
        flushAfter(m_settings.insertDelay);
    }
}

void RecordWriter::update(const std::string& key, std::string value, StoredCallback callback)
{
    Entry& entry = m_entries[key];
    entry.value = std::move(value);
    entry.isRemoval = false;
    entry.storedCallbacks.push_back(std::move(callback));
    if (!entry.isPending) {
        entry.isPending = true;
        m_pendingKeys.push_back(key);
    }
    if (!m_isUpdateFlushDue) {
        m_isUpdateFlushDue = true;
        flushAfter(m_settings.updateDelay);
    }
}

void RecordWriter::remove(const std::string& key)
{
    update(key, "", [] {});
    m_entries[key].isRemoval = true;
}

void RecordWriter::forget(const std::string& key)
{
    m_entries.erase(key);
    m_pendingKeys.erase(std::remove(m_pendingKeys.begin(), m_pendingKeys.end(), key), m_pendingKeys.end());
}

std::optional<KeyRevision> RecordWriter::settledRevision(const std::string& key) const
{
    const auto found = m_entries.find(key);
    const bool isSettled = found != m_entries.end() && !found->second.isPending && !found->second.isInFlight
        && !found->second.insertCallback && found->second.revision.value() != 0;
    return isSettled ? std::optional<KeyRevision>(found->second.revision) : std::nullopt;
}

void RecordWriter::flushAfter(Duration delay)
{
    m_timers.after(delay, [this] { flush(); });
}

void RecordWriter::flush()
{
    m_isInsertFlushDue = false;
    m_isUpdateFlushDue = false;
    // No transaction is left whose result would show that the store is back, so the next record is tried.
    if (m_pendingKeys.empty() && m_inFlight == 0)
        m_isStoreUnavailable = false;
    while (sendBatch()) { }
}

bool RecordWriter::sendBatch()
{
    if (!m_token || m_pendingKeys.empty() || m_inFlight >= m_settings.maximumInFlight)
        return false;
    KeyTransaction transaction;
    transaction.conditions.push_back({ m_settings.shardKey, KeyRevision(m_token->value()) });
    std::vector<SentRecord> sent;
    std::vector<std::string> deferredKeys;
    for (std::string& key : m_pendingKeys) {
        Entry& entry = m_entries[key];
        // Each record needs one condition and one write. A record in flight has to wait for its new revision.
        const bool isFull = transaction.conditions.size() - 1 + sent.size() + 2 > m_settings.maximumEntries;
        if (isFull || entry.isInFlight) {
            deferredKeys.push_back(std::move(key));
            continue;
        }
        transaction.conditions.push_back({ key, entry.revision });
        if (entry.isRemoval)
            transaction.removals.push_back(key);
        else
            transaction.writes.push_back({ key, entry.value, StoreLeaseId(0) });
        entry.isPending = false;
        entry.isInFlight = true;
        entry.inFlightCallbacks.swap(entry.storedCallbacks);
        sent.push_back({ std::move(key), entry.value, entry.isRemoval });
    }
    m_pendingKeys.swap(deferredKeys);
    if (sent.empty())
        return false;
    ++m_inFlight;
    m_store.transact(transaction, [this, sent, token = *m_token, epoch = m_epoch](const TransactionReply& reply) {
        if (epoch == m_epoch)
            handleReply(sent, token, reply);
    });
    return true;
}

void RecordWriter::handleReply(const std::vector<SentRecord>& sent, FencingToken token, const TransactionReply& reply)
{
    --m_inFlight;
    for (const SentRecord& record : sent)
        m_entries[record.key].isInFlight = false;
    const auto currentOf = [&reply](const std::string& key) -> const StoredItem* {
        const auto found = std::find_if(
            reply.current.begin(), reply.current.end(), [&key](const StoredItem& item) { return item.key == key; });
        return found == reply.current.end() ? nullptr : &*found;
    };
    Duration pause(0);
    if (reply.status == StoreStatus::Done) {
        m_isStoreUnavailable = false;
        for (const SentRecord& record : sent)
            handleStored(record, reply.revision);
    } else if (reply.status == StoreStatus::ConditionFailed) {
        m_isStoreUnavailable = false;
        const StoredItem* const shard = currentOf(m_settings.shardKey);
        const bool isDisplaced = !shard || shard->revision != KeyRevision(token.value());
        for (const SentRecord& record : sent) {
            const StoredItem* const current = currentOf(record.key);
            const KeyRevision revision = current ? current->revision : KeyRevision(0);
            if (revision != m_entries[record.key].revision)
                handleConflict(record, current ? *current : StoredItem { record.key, "", KeyRevision(0) });
            else
                requeue(record);
        }
        if (isDisplaced && m_token && *m_token == token) {
            end();
            m_hooks.displaced();
        }
    } else {
        const bool isRefused = reply.status == StoreStatus::Refused;
        m_isStoreUnavailable = true;
        pause = m_settings.retryPause;
        for (const SentRecord& record : sent) {
            Entry& entry = m_entries[record.key];
            entry.mayBeStored = entry.mayBeStored || !isRefused;
            if (entry.insertCallback && !entry.mayBeStored) {
                const InsertCallback callback = std::move(entry.insertCallback);
                m_entries.erase(record.key);
                callback(InsertResult::Refused, {});
            } else {
                requeue(record);
            }
        }
    }
    if (!m_pendingKeys.empty() || m_isStoreUnavailable)
        flushAfter(pause);
}

void RecordWriter::handleStored(const SentRecord& sent, KeyRevision revision)
{
    Entry& entry = m_entries[sent.key];
    entry.revision = revision;
    const InsertCallback insertCallback = std::move(entry.insertCallback);
    entry.insertCallback = nullptr;
    std::vector<StoredCallback> callbacks;
    callbacks.swap(entry.inFlightCallbacks);
    if (sent.isRemoval && !entry.isPending)
        m_entries.erase(sent.key);
    if (insertCallback)
        insertCallback(InsertResult::Stored, {});
    for (const StoredCallback& callback : callbacks)
        callback();
}

void RecordWriter::handleConflict(const SentRecord& sent, const StoredItem& current)
{
    Entry& entry = m_entries[sent.key];
    if (!entry.insertCallback) {
        // Only the holder writes this key, so this is an earlier write of this host whose reply was lost.
        entry.revision = current.revision;
        requeue(sent);
        return;
    }
    const InsertCallback insertCallback = std::move(entry.insertCallback);
    entry.insertCallback = nullptr;
    if (current.value == sent.value) {
        entry.revision = current.revision;
        insertCallback(InsertResult::Stored, {});
        return;
    }
    m_entries.erase(sent.key);
    insertCallback(InsertResult::Exists, current);
}

void RecordWriter::requeue(const SentRecord& sent)
{
    Entry& entry = m_entries[sent.key];
    entry.storedCallbacks.insert(
        entry.storedCallbacks.begin(), entry.inFlightCallbacks.begin(), entry.inFlightCallbacks.end());
    entry.inFlightCallbacks.clear();
    if (entry.isPending)
        return;
    entry.isPending = true;
    entry.value = sent.value;
    entry.isRemoval = sent.isRemoval;
    m_pendingKeys.push_back(sent.key);
}

}
