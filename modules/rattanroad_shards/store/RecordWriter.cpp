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
        m_order.clear();
        m_inFlight = 0;
        ++m_epoch;
    }
    flushAfter(Duration(0));
}

void RecordWriter::end() { m_token.reset(); }

void RecordWriter::insert(const std::string& key, std::string value, InsertCallback callback)
{
    Entry& entry = m_entries[key];
    assert(!entry.accepted && "a record is accepted once");
    entry.value = std::move(value);
    entry.accepted = std::move(callback);
    entry.isWaiting = true;
    m_order.push_back(key);
    if (!m_isAcceptFlushDue) {
        m_isAcceptFlushDue = true;
        flushAfter(m_settings.acceptDelay);
    }
}

void RecordWriter::update(const std::string& key, std::string value, StoredCallback callback)
{
    Entry& entry = m_entries[key];
    entry.value = std::move(value);
    entry.isRemoval = false;
    entry.stored.push_back(std::move(callback));
    if (!entry.isWaiting) {
        entry.isWaiting = true;
        m_order.push_back(key);
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

void RecordWriter::flushAfter(Duration delay)
{
    m_timers.after(delay, [this] { flush(); });
}

void RecordWriter::flush()
{
    m_isAcceptFlushDue = false;
    m_isUpdateFlushDue = false;
    while (sendBatch()) { }
}

bool RecordWriter::sendBatch()
{
    if (!m_token || m_order.empty() || m_inFlight >= m_settings.maximumInFlight)
        return false;
    KeyTransaction transaction;
    transaction.conditions.push_back({ m_settings.shardKey, KeyRevision(m_token->value()) });
    std::vector<Sent> sent;
    std::vector<std::string> rest;
    for (std::string& key : m_order) {
        Entry& entry = m_entries[key];
        // A condition and a write each; a record in flight waits for its revision.
        const bool isFull = transaction.conditions.size() - 1 + sent.size() + 2 > m_settings.maximumEntries;
        if (isFull || entry.isInFlight) {
            rest.push_back(std::move(key));
            continue;
        }
        transaction.conditions.push_back({ key, entry.revision });
        if (entry.isRemoval)
            transaction.removals.push_back(key);
        else
            transaction.writes.push_back({ key, entry.value, StoreLeaseId(0) });
        entry.isWaiting = false;
        entry.isInFlight = true;
        entry.storedInFlight.swap(entry.stored);
        sent.push_back({ std::move(key), entry.value, entry.isRemoval });
    }
    m_order.swap(rest);
    if (sent.empty())
        return false;
    ++m_inFlight;
    m_store.transact(transaction, [this, sent, token = *m_token, epoch = m_epoch](const TransactionReply& reply) {
        if (epoch == m_epoch)
            takeReply(sent, token, reply);
    });
    return true;
}

void RecordWriter::takeReply(const std::vector<Sent>& sent, FencingToken token, const TransactionReply& reply)
{
    --m_inFlight;
    for (const Sent& one : sent)
        m_entries[one.key].isInFlight = false;
    const auto currentOf = [&reply](const std::string& key) -> const StoredItem* {
        const auto found = std::find_if(
            reply.current.begin(), reply.current.end(), [&key](const StoredItem& item) { return item.key == key; });
        return found == reply.current.end() ? nullptr : &*found;
    };
    Duration pause(0);
    if (reply.status == StoreStatus::Done) {
        m_isStoreUnavailable = false;
        for (const Sent& one : sent)
            takeStored(one, reply.revision);
    } else if (reply.status == StoreStatus::ConditionFailed) {
        m_isStoreUnavailable = false;
        const StoredItem* const shard = currentOf(m_settings.shardKey);
        const bool isDisplaced = !shard || shard->revision != KeyRevision(token.value());
        for (const Sent& one : sent) {
            const StoredItem* const current = currentOf(one.key);
            const KeyRevision revision = current ? current->revision : KeyRevision(0);
            if (revision != m_entries[one.key].revision)
                takeConflict(one, current ? *current : StoredItem { one.key, "", KeyRevision(0) });
            else
                putBack(one);
        }
        if (isDisplaced && m_token && *m_token == token) {
            end();
            m_hooks.displaced();
        }
    } else {
        const bool isRefused = reply.status == StoreStatus::Refused;
        m_isStoreUnavailable = true;
        pause = m_settings.retryPause;
        for (const Sent& one : sent) {
            Entry& entry = m_entries[one.key];
            entry.mayBeStored = entry.mayBeStored || !isRefused;
            if (entry.accepted && !entry.mayBeStored) {
                const InsertCallback callback = std::move(entry.accepted);
                m_entries.erase(one.key);
                callback(InsertResult::Refused, {});
            } else {
                putBack(one);
            }
        }
    }
    if (!m_order.empty())
        flushAfter(pause);
}

void RecordWriter::takeStored(const Sent& sent, KeyRevision revision)
{
    Entry& entry = m_entries[sent.key];
    entry.revision = revision;
    const InsertCallback accepted = std::move(entry.accepted);
    entry.accepted = nullptr;
    std::vector<StoredCallback> stored;
    stored.swap(entry.storedInFlight);
    if (sent.isRemoval && !entry.isWaiting)
        m_entries.erase(sent.key);
    if (accepted)
        accepted(InsertResult::Stored, {});
    for (const StoredCallback& callback : stored)
        callback();
}

void RecordWriter::takeConflict(const Sent& sent, const StoredItem& current)
{
    Entry& entry = m_entries[sent.key];
    if (!entry.accepted) {
        // Only the holder writes this key: an own write that was carried out without an answer.
        entry.revision = current.revision;
        putBack(sent);
        return;
    }
    const InsertCallback accepted = std::move(entry.accepted);
    entry.accepted = nullptr;
    if (current.value == sent.value) {
        entry.revision = current.revision;
        accepted(InsertResult::Stored, {});
        return;
    }
    m_entries.erase(sent.key);
    accepted(InsertResult::Exists, current);
}

void RecordWriter::putBack(const Sent& sent)
{
    Entry& entry = m_entries[sent.key];
    entry.stored.insert(entry.stored.begin(), entry.storedInFlight.begin(), entry.storedInFlight.end());
    entry.storedInFlight.clear();
    if (entry.isWaiting)
        return;
    entry.isWaiting = true;
    entry.value = sent.value;
    entry.isRemoval = sent.isRemoval;
    m_order.push_back(sent.key);
}

}
