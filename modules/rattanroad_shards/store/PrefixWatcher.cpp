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

void PrefixWatcher::start()
{
    ++m_epoch;
    m_isStarted = true;
    m_continuedAt = m_clock.now();
    readPage("");
}

void PrefixWatcher::stop()
{
    ++m_epoch;
    m_isStarted = false;
    m_isSynchronized = false;
    m_isPausing = false;
    m_isPauseSkipped = false;
    m_failures = 0;
    m_check.reset();
    std::map<std::string, KeyRevision> known;
    known.swap(m_knownRevisions);
    for (const auto& entry : known)
        m_hooks.removed(entry.first);
}

void PrefixWatcher::readPage(const std::string& after)
{
    if (after.empty()) {
        m_check.reset();
        m_revisionsRead.clear();
        m_firstPageRevision = KeyRevision(0);
        m_firstPageRequestedAt = m_clock.now();
    }
    m_store.readPage(m_settings.prefix, after, untilStop([this](const ReadReply& reply) { handlePage(reply); }));
}

void PrefixWatcher::handlePage(const ReadReply& reply)
{
    if (isUnusable(reply)) {
        retryReadLater();
        return;
    }
    m_failures = 0;
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
    readAfter("", { reader, ++m_latestReads[reader], done });
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
    if (m_hooks.readUntil)
        m_hooks.readUntil(m_firstPageRequestedAt);
    continueAfterPause();
}

void PrefixWatcher::continueAfterPause()
{
    const Duration pause = m_hooks.pause ? m_hooks.pause() : Duration(0);
    m_isReadDue = pause > m_settings.longestWatchPause;
    const Duration rest = pause - (m_clock.now() - m_continuedAt);
    const bool isSkipped = m_isPauseSkipped;
    m_isPauseSkipped = false;
    if (isSkipped || rest <= Duration(0)) {
        continueNow();
        return;
    }
    m_isPausing = true;
    m_timers.after(rest, untilStop([this, number = ++m_pauseCount] {
        if (m_isPausing && number == m_pauseCount)
            continueNow();
    }));
}

void PrefixWatcher::continueNow()
{
    m_isPausing = false;
    m_continuedAt = m_clock.now();
    if (m_isReadDue)
        readPage("");
    else
        check();
}

void PrefixWatcher::refresh()
{
    if (m_isPausing)
        continueNow();
    else
        m_isPauseSkipped = true;
}

void PrefixWatcher::check()
{
    m_check.reset();
    if (!m_hooks.isChecked || !m_hooks.isChecked()) {
        watch();
        return;
    }
    // The page after the last key is empty unless keys were added, and tells the revision of the store.
    const std::string lastKey = m_knownRevisions.empty() ? "" : m_knownRevisions.rbegin()->first;
    m_store.readPage(m_settings.prefix, lastKey,
        untilStop([this, sentAt = m_clock.now()](const ReadReply& reply) { handleCheckReply(reply, sentAt); }));
}

void PrefixWatcher::handleCheckReply(const ReadReply& reply, TimePoint sentAt)
{
    if (reply.status != StoreStatus::Done) {
        retryReadLater();
        return;
    }
    m_failures = 0;
    m_check = Check { sentAt, reply.storeRevision };
    if (isBehind())
        watch();
    else
        finishCheck();
}

void PrefixWatcher::finishCheck()
{
    setCurrentAsOf(m_check->sentAt);
    m_check.reset();
    continueAfterPause();
}

void PrefixWatcher::watch()
{
    m_store.watch(m_settings.prefix, m_watchRevision, m_check ? m_settings.checkedWatchWait : m_settings.watchWait,
        untilStop([this, sentAt = m_clock.now()](const WatchReply& reply) { handleWatchReply(reply, sentAt); }));
}

void PrefixWatcher::handleWatchReply(const WatchReply& reply, TimePoint sentAt)
{
    if (reply.status == StoreStatus::Compacted) {
        readPage("");
        return;
    }
    if (reply.status != StoreStatus::Done) {
        // A read tells more than the next watch, which can be left unanswered like this one.
        if (m_check) {
            retryReadLater();
            return;
        }
        requestFailed();
        m_timers.after(m_settings.retryPause, untilStop([this] { watch(); }));
        return;
    }
    m_failures = 0;
    for (const KeyChange& change : reply.changes) {
        if (change.isRemoved)
            applyRemoval(change.item.key, change.item.revision);
        else
            applyWrite(change.item);
    }
    m_watchRevision = std::max(m_watchRevision, reply.storeRevision);
    // An answer with changes may have been given as soon as the watch was sent, and may have waited to be read.
    const TimePoint latest = reply.changes.empty() ? sentAt + m_settings.watchWait : sentAt;
    if (m_hooks.readUntil && !m_check)
        m_hooks.readUntil(std::min(latest, m_clock.now()));
    if (!m_check)
        continueAfterPause();
    else if (!isBehind())
        finishCheck();
    else if (reply.changes.empty())
        readPage("");
    else
        watch();
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

void PrefixWatcher::requestFailed()
{
    ++m_failures;
    if (m_hooks.interrupted)
        m_hooks.interrupted();
}

void PrefixWatcher::retryReadLater()
{
    requestFailed();
    m_timers.after(m_settings.retryPause, untilStop([this] { readPage(""); }));
}

}
