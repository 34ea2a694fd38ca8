#include "rattanroad_shards/holding/TokenRaise.h"

#include <algorithm>

namespace rattanroad::shards {

TokenRaise::TokenRaise(Settings settings, KeyValueStore& store, Timers timers, const Clock& clock, Hooks hooks)
    : m_settings(std::move(settings))
    , m_store(store)
    , m_timers(std::move(timers))
    , m_clock(clock)
    , m_hooks(std::move(hooks))
{
}

void TokenRaise::request()
{
    // A write that is under way raises the token above all that were used so far.
    const auto key = m_hooks.key();
    if (!key || m_isScheduled || m_isWriting || m_isReading)
        return;
    m_isScheduled = true;
    const Duration untilNext = m_lastWriteAt + m_settings.interval - m_clock.now();
    m_timers.after(std::max<Duration>(m_settings.coalescingTime, untilNext), [this, token = key->token] {
        m_isScheduled = false;
        write(token);
    });
}

void TokenRaise::write(FencingToken token)
{
    const auto key = m_hooks.key();
    if (!key || key->token > token || m_isWriting)
        return;
    m_isWriting = true;
    m_lastWriteAt = m_clock.now();
    m_uncertainUntil = m_lastWriteAt + m_settings.lateWindow;
    KeyTransaction transaction;
    transaction.conditions.push_back({ m_settings.key, KeyRevision(key->token.value()) });
    transaction.writes.push_back({ m_settings.key, key->value, key->lease });
    m_store.transact(transaction, [this, sent = *key](const TransactionReply& reply) {
        m_isWriting = false;
        const auto present = m_hooks.key();
        // A watch may have shown the write before its reply.
        if (present && present->token > sent.token)
            m_uncertainUntil = distantPast;
        // A key that was written under an earlier lease is removed with that lease.
        else if (present && present->lease == sent.lease)
            processWriteReply(reply);
    });
}

void TokenRaise::processWriteReply(const TransactionReply& reply)
{
    if (reply.status == StoreStatus::Done) {
        m_uncertainUntil = distantPast;
        m_hooks.raised(FencingToken(reply.revision.value()));
    } else if (reply.status == StoreStatus::Refused) {
        request();
    } else {
        resolve();
    }
}

void TokenRaise::resolve()
{
    if (m_isReading)
        return;
    m_isReading = true;
    m_store.read(m_settings.key, [this](const ReadReply& reply) {
        m_isReading = false;
        processKey(reply);
    });
}

void TokenRaise::processKey(const ReadReply& reply)
{
    const auto key = m_hooks.key();
    // Another write may have been answered meanwhile.
    if (!key || !mayHaveRaised())
        return;
    const bool isRead = reply.status == StoreStatus::Done || reply.status == StoreStatus::Absent;
    if (!isRead) {
        m_timers.after(m_settings.interval, [this] { resolve(); });
        return;
    }
    if (reply.items.empty() || reply.items.front().value != key->value) {
        m_uncertainUntil = distantPast;
        m_hooks.keyLost();
        return;
    }
    const FencingToken token(reply.items.front().revision.value());
    if (token > key->token) {
        // The condition of any other write that is under way does not hold any more.
        m_uncertainUntil = distantPast;
        m_hooks.raised(token);
    } else if (!m_isWriting) {
        request();
    }
}

}
