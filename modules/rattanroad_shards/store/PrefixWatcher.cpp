#include "rattanroad_shards/store/PrefixWatcher.h"

#include <algorithm>

namespace rattanroad::shards {

PrefixWatcher::PrefixWatcher(Settings settings, KeyValueStore& store, Timers timers, Hooks hooks)
    : m_settings(std::move(settings))
    , m_store(store)
    , m_timers(std::move(timers))
    , m_hooks(std::move(hooks))
{
}

void PrefixWatcher::start() { readPage(""); }

void PrefixWatcher::readPage(const std::string& after)
{
    if (after.empty()) {
        m_read.clear();
        m_readRevision = KeyRevision(0);
    }
    m_store.readPage(m_settings.prefix, after, [this](const ReadReply& reply) { takePage(reply); });
}

void PrefixWatcher::takePage(const ReadReply& reply)
{
    // A reading older than what the watch has shown would bring removed keys back.
    if (reply.status != StoreStatus::Done || reply.storeRevision < m_watchedTo) {
        readAgainLater();
        return;
    }
    if (m_readRevision.value() == 0)
        m_readRevision = reply.storeRevision;
    for (const StoredItem& item : reply.items) {
        m_read[item.key] = item.revision;
        take(item);
    }
    if (reply.hasMore && !reply.items.empty()) {
        readPage(reply.items.back().key);
        return;
    }
    finishReading(m_readRevision);
}

void PrefixWatcher::finishReading(KeyRevision storeRevision)
{
    std::vector<std::string> missing;
    for (const auto& known : m_known) {
        if (!m_read.count(known.first))
            missing.push_back(known.first);
    }
    for (const std::string& key : missing)
        takeRemoval(key, storeRevision);
    m_read.clear();
    m_watchedTo = std::max(m_watchedTo, storeRevision);
    m_isSynchronized = true;
    watch();
}

void PrefixWatcher::watch()
{
    m_store.watch(
        m_settings.prefix, m_watchedTo, m_settings.watchWait, [this](const WatchReply& reply) { takeChanges(reply); });
}

void PrefixWatcher::watchAfterPause()
{
    const Duration pause = m_hooks.pause ? m_hooks.pause() : Duration(0);
    if (pause == Duration(0)) {
        watch();
        return;
    }
    m_isPausing = true;
    m_timers.after(pause, [this, number = ++m_pause] {
        if (m_isPausing && number == m_pause)
            watchNow();
    });
}

void PrefixWatcher::watchNow()
{
    if (!m_isPausing)
        return;
    m_isPausing = false;
    watch();
}

void PrefixWatcher::takeChanges(const WatchReply& reply)
{
    if (reply.status == StoreStatus::Compacted) {
        readPage("");
        return;
    }
    if (reply.status != StoreStatus::Done) {
        if (m_hooks.interrupted)
            m_hooks.interrupted();
        m_timers.after(m_settings.retryPause, [this] { watch(); });
        return;
    }
    for (const KeyChange& change : reply.changes) {
        if (change.isRemoved)
            takeRemoval(change.item.key, change.item.revision);
        else
            take(change.item);
    }
    m_watchedTo = std::max(m_watchedTo, reply.storeRevision);
    watchAfterPause();
}

void PrefixWatcher::take(const StoredItem& item)
{
    KeyRevision& known = m_known[item.key];
    if (item.revision <= known)
        return;
    known = item.revision;
    m_hooks.written(item);
}

void PrefixWatcher::takeRemoval(const std::string& key, KeyRevision revision)
{
    const auto found = m_known.find(key);
    if (found == m_known.end() || found->second > revision)
        return;
    m_known.erase(found);
    m_hooks.removed(key);
}

void PrefixWatcher::readAgainLater()
{
    if (m_hooks.interrupted)
        m_hooks.interrupted();
    m_timers.after(m_settings.retryPause, [this] { readPage(""); });
}

}
