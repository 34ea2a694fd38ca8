#pragma once

#include "rattanroad_shards/store/KeyValueStore.h"
#include "rattanroad_shards/types/ShardTypes.h"

#include <map>

namespace rattanroad::shards {

/** Reports all keys with one prefix and their changes: reads the keys, then watches for changes, and reads all keys
    again when the store has compacted the changes that are needed. Never reports an older revision of a key after a
    newer one.
*/
class PrefixWatcher {
public:
    struct Settings {
        std::string prefix;
        /** A watch without changes returns after this time, so that a dead connection is noticed. */
        std::chrono::milliseconds watchWait { 1500 };
        /** Pause after a failed call: a quarter of the shortest outage that hosts notice. */
        std::chrono::milliseconds retryPause { 150 };
    };
    struct Hooks {
        /** Called when a key was written. */
        std::function<void(const StoredItem&)> written;
        /** Called when a key was removed or is missing from a new read. */
        std::function<void(const std::string& key)> removed;
        /** Called when a call to the store failed. */
        std::function<void()> interrupted;
        /** Returns the pause before the next watch, during which changes accumulate. An empty hook means no pause. */
        std::function<Duration()> pause;
        /** Called when currentAsOf() has risen; may be empty. */
        std::function<void()> updated;
    };

    PrefixWatcher(Settings settings, KeyValueStore& store, Timers timers, const Clock& clock, Hooks hooks);
    PrefixWatcher(const PrefixWatcher&) = delete;
    PrefixWatcher& operator=(const PrefixWatcher&) = delete;

    void start();
    /** Reads all keys beside the watch, which can be told of changes late. Calls @p done when all writes before this
        call were processed. A later call of the same reader replaces one that is not done. */
    void readNow(const std::string& reader, const std::function<void()>& done);
    /** Ends a pause between two watches, if there is one. */
    void watchNow();
    /** Returns whether all keys have been read at least once. */
    bool isSynchronized() const { return m_isSynchronized; }
    /** Returns when the latest answered request was sent. An answer to a watch may hold a part of the changes. */
    TimePoint currentAsOf() const { return m_currentAsOf; }

private:
    void readPage(const std::string& after);
    void handlePage(const ReadReply& reply);
    struct Read {
        std::string reader;
        /** Counts the reads of the reader. */
        std::uint64_t number;
        TimePoint startedAt;
        std::function<void()> done;
    };
    /** Reads the page after @p key and the following ones, unless the read was replaced. */
    void readAfter(const std::string& key, const Read& read);
    /** Returns whether the read has failed, or is older than the last watched revision and would bring removed keys
        back. */
    bool isUnusable(const ReadReply& reply) const;
    void finishReading(KeyRevision storeRevision);
    void watch();
    void watchAfterPause();
    void handleWatchReply(const WatchReply& reply, TimePoint sentAt);
    void setCurrentAsOf(TimePoint time);
    void applyWrite(const StoredItem& item);
    void applyRemoval(const std::string& key, KeyRevision revision);
    void retryReadLater();

    Settings m_settings;
    KeyValueStore& m_store;
    Timers m_timers;
    const Clock& m_clock;
    Hooks m_hooks;
    std::map<std::string, KeyRevision> m_knownRevisions;
    /** Keys that the read in progress has returned. */
    std::map<std::string, KeyRevision> m_revisionsRead;
    /** Store revision of the first page. The watch starts there, because the pages together are not one snapshot. */
    KeyRevision m_firstPageRevision;
    TimePoint m_firstPageRequestedAt;
    KeyRevision m_watchRevision;
    TimePoint m_currentAsOf { distantPast };
    bool m_isSynchronized { false };
    /** Number of pauses so far; identifies the pause of a timer, so that the timer of an ended pause does nothing. */
    std::uint64_t m_pauseCount { 0 };
    bool m_isPausing { false };
    /** Number of the latest read of each reader. */
    std::map<std::string, std::uint64_t> m_latestReads;
};

}
