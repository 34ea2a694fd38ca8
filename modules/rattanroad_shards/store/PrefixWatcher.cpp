#include "rattanroad_shards/store/PrefixWatcher.h"

#include <algorithm>

namespace rattanroad::shards {

PrefixWatcher::PrefixWatcher(Settings settings, KeyValueStore& store, Timers timers, const Clock& clock, Hooks hooks)
    : m_settings(std::move(settings))
    , m_store(store)
    , m_timers(std::move(timers))
    , m_clock(clock)
    , m_hooks(std::move(hooks))
{
}

void PrefixWatcher::start() { readPage(""); }

void PrefixWatcher::readPage(const std::string& after)
{
    if (after.empty()) {
        m_revisionsRead.clear();
        m_firstPageRevision = KeyRevision(0);
        m_firstPageRequestedAt = m_clock.now();
    }
    m_store.readPage(m_settings.prefix, after, [this](const ReadReply& reply) { handlePage(reply); });
}

void PrefixWatcher::handlePage(const ReadReply& reply)
{
    if (isUnusable(reply)) {
        retryReadLater();
        return;
    }
    if (m_firstPageRevision.value() == 0)
        m_firstPageRevision = reply.storeRevision;
    for (const StoredItem& item : reply.items) {
        m_revisionsRead[item.key] = item.revision;
        applyWrite(item);
    }
    if (reply.hasMore && !reply.items.empty()) {
        readPage(reply.items.back().key);
        return;
    }
    finishReading(m_firstPageRevision);
}

bool PrefixWatcher::isUnusable(const ReadReply& reply) const
{
    return reply.status != StoreStatus::Done || reply.storeRevision < m_watchRevision;
}

void PrefixWatcher::readNow(const std::string& reader, const std::function<void()>& done)
{
    readAfter("", { reader, ++m_latestReads[reader], m_clock.now(), done });
}

void PrefixWatcher::readAfter(const std::string& key, const Read& read)
{
    if (read.number != m_latestReads[read.reader])
        return;
    m_store.readPage(m_settings.prefix, key, [this, key, read](const ReadReply& reply) {
        if (read.number != m_latestReads[read.reader])
            return;
        if (isUnusable(reply)) {
            m_timers.after(m_settings.retryPause, [this, key, read] { readAfter(key, read); });
            return;
        }
        for (const StoredItem& item : reply.items)
            applyWrite(item);
        if (reply.hasMore && !reply.items.empty()) {
            readAfter(reply.items.back().key, read);
            return;
        }
        setCurrentAsOf(read.startedAt);
        read.done();
    });
}

void PrefixWatcher::finishReading(KeyRevision storeRevision)
{
    std::vector<std::string> missing;
    for (const auto& known : m_knownRevisions) {
        if (!m_revisionsRead.count(known.first))
            missing.push_back(known.first);
    }
    for (const std::string& key : missing)
        applyRemoval(key, storeRevision);
    m_revisionsRead.clear();
    m_watchRevision = std::max(m_watchRevision, storeRevision);
    m_isSynchronized = true;
    setCurrentAsOf(m_firstPageRequestedAt);
    watch();
}

void PrefixWatcher::watch()
{
    m_store.watch(m_settings.prefix, m_watchRevision, m_settings.watchWait,
        [this, sentAt = m_clock.now()](const WatchReply& reply) { handleWatchReply(reply, sentAt); });
}

void PrefixWatcher::watchAfterPause()
{
    const Duration pause = m_hooks.pause ? m_hooks.pause() : Duration(0);
    if (pause == Duration(0)) {
        watch();
        return;
    }
    m_isPausing = true;
    m_timers.after(pause, [this, number = ++m_pauseCount] {
        if (m_isPausing && number == m_pauseCount)
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

void PrefixWatcher::handleWatchReply(const WatchReply& reply, TimePoint sentAt)
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
            applyRemoval(change.item.key, change.item.revision);
        else
            applyWrite(change.item);
    }
    m_watchRevision = std::max(m_watchRevision, reply.storeRevision);
    setCurrentAsOf(sentAt);
    watchAfterPause();
}

void PrefixWatcher::setCurrentAsOf(TimePoint time)
{
    if (time <= m_currentAsOf)
        return;
    m_currentAsOf = time;
    if (m_hooks.updated)
        m_hooks.updated();
}

void PrefixWatcher::applyWrite(const StoredItem& item)
{
    KeyRevision& known = m_knownRevisions[item.key];
    if (item.revision <= known)
        return;
    known = item.revision;
    m_hooks.written(item);
}

void PrefixWatcher::applyRemoval(const std::string& key, KeyRevision revision)
{
    const auto found = m_knownRevisions.find(key);
    if (found == m_knownRevisions.end() || found->second > revision)
        return;
    m_knownRevisions.erase(found);
    m_hooks.removed(key);
}

void PrefixWatcher::retryReadLater()
{
    if (m_hooks.interrupted)
        m_hooks.interrupted();
    m_timers.after(m_settings.retryPause, [this] { readPage(""); });
}

}
