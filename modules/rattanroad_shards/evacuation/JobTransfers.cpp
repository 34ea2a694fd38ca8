#include "rattanroad_shards/evacuation/JobTransfers.h"

#include "rattanroad_protocol/rattanroad_protocol.h"
#include "rattanroad_shards/holding/StoreKeys.h"

#include <algorithm>

namespace rattanroad::shards {

JobTransfers::JobTransfers(Settings settings, KeyValueStore& store, Timers timers, Hooks hooks)
    : m_settings(std::move(settings))
    , m_store(store)
    , m_timers(std::move(timers))
    , m_hooks(std::move(hooks))
{
}

void JobTransfers::begin(FencingToken token, bool isContinued)
{
    ++m_epoch;
    m_token = token;
    if (!isContinued) {
        m_transfers.clear();
        return;
    }
    // Deferred, as an acknowledgement ends a transfer.
    for (const auto& entry : m_transfers) {
        after(Duration(0), [this, job = entry.first, isWritten = entry.second.isWritten] {
            if (isWritten)
                notify(job);
            else
                write(job);
        });
    }
}

void JobTransfers::end()
{
    ++m_epoch;
    m_token.reset();
}

JobTransfers::Transfer* JobTransfers::find(const JobId& job)
{
    const auto found = m_transfers.find(job);
    return found == m_transfers.end() ? nullptr : &found->second;
}

void JobTransfers::after(Duration delay, std::function<void()> action)
{
    m_timers.after(delay, [this, epoch = m_epoch, action = std::move(action)] {
        if (epoch == m_epoch)
            action();
    });
}

void JobTransfers::start(const JobId& job, const ShardId& to, const std::string& record, KeyRevision revision)
{
    if (m_transfers.emplace(job, Transfer { to, record, revision, false }).second)
        write(job);
}

void JobTransfers::write(const JobId& job)
{
    const Transfer* const transfer = find(job);
    if (!transfer || !m_token)
        return;
    KeyTransaction transaction;
    transaction.conditions.push_back({ m_settings.shardKey, KeyRevision(m_token->value()) });
    transaction.conditions.push_back({ storekeys::job(job), transfer->revision });
    transaction.writes.push_back({ storekeys::job(job), transfer->record, StoreLeaseId(0) });
    m_store.transact(transaction, [this, job, epoch = m_epoch](const TransactionReply& reply) {
        if (epoch == m_epoch)
            handleReply(job, reply);
    });
}

void JobTransfers::handleReply(const JobId& job, const TransactionReply& reply)
{
    const Transfer* const transfer = find(job);
    if (!transfer)
        return;
    if (reply.status == StoreStatus::Done) {
        written(job);
        return;
    }
    // A write without a reply may be executed later, so the job stays where it is until the outcome is known.
    if (reply.status != StoreStatus::ConditionFailed) {
        after(m_settings.retryPause, [this, job] { write(job); });
        return;
    }
    const auto current = [&reply](const std::string& key) {
        return std::find_if(
            reply.current.begin(), reply.current.end(), [&key](const StoredItem& item) { return item.key == key; });
    };
    const auto record = current(storekeys::job(job));
    const auto shard = current(m_settings.shardKey);
    if (record != reply.current.end() && isMoved(*record, transfer->to)) {
        written(job);
        return;
    }
    const bool isHeld = shard != reply.current.end() && shard->revision == KeyRevision(m_token->value());
    if (!isHeld) {
        // Written again in case this host has raised its own token.
        after(m_settings.retryPause, [this, job] { write(job); });
        m_hooks.keyChanged();
        return;
    }
    const KeyRevision revision = record == reply.current.end() ? KeyRevision(0) : record->revision;
    m_transfers.erase(job);
    m_hooks.kept(job, revision);
}

bool JobTransfers::isMoved(const StoredItem& item, const ShardId& to) const
{
    protocol::JobRecord record;
    return record.ParseFromString(item.value) && record.shard() == to.value()
        && record.transferred_from() == m_settings.shard.value();
}

void JobTransfers::written(const JobId& job)
{
    Transfer& transfer = *find(job);
    transfer.isWritten = true;
    m_hooks.moved(job, transfer.to);
    notify(job);
}

void JobTransfers::notifyAgain(const JobId& job, const ShardId& to)
{
    if (m_transfers.emplace(job, Transfer { to, "", KeyRevision(0), true }).second)
        notify(job);
}

void JobTransfers::notify(const JobId& job)
{
    const Transfer* const transfer = find(job);
    if (!transfer)
        return;
    after(m_settings.noticeInterval, [this, job] { notify(job); });
    // The other holder may be on this host and acknowledge at once.
    m_hooks.notify(job, ShardId(transfer->to));
}

void JobTransfers::acknowledged(const JobId& job, const ShardId& to)
{
    const Transfer* const transfer = find(job);
    if (transfer && transfer->to == to)
        m_transfers.erase(job);
}

}
