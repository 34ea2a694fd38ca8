#pragma once

#include "rattanroad_shards/store/KeyValueStore.h"
#include "rattanroad_shards/types/ShardTypes.h"

#include <map>

namespace rattanroad::shards {

/** Keeps a copy of all keys with one prefix: reads them, then watches for changes, and reads again when the watch
    breaks or its history is gone. An item never goes back to an older revision.
*/
class PrefixWatcher {
public:
    struct Settings {
        std::string prefix;
        /** A waiting watch returns after this time, so that a silent connection is noticed. */
        std::chrono::milliseconds watchWait { 1500 };
        /** Pause after a failed call: a quarter of the shortest outage that hosts notice. */
        std::chrono::milliseconds retryPause { 150 };
    };
    struct Hooks {
        /** A key was written. */
        std::function<void(const StoredItem&)> written;
        /** A key was removed, or is missing from a new reading. */
        std::function<void(const std::string& key)> removed;
        /** A call failed. */
        std::function<void()> interrupted;
        /** Returns the pause before the next watch, in which changes collect; none when empty. */
        std::function<Duration()> pause;
    };

    PrefixWatcher(Settings settings, KeyValueStore& store, Timers timers, Hooks hooks);
    PrefixWatcher(const PrefixWatcher&) = delete;
    PrefixWatcher& operator=(const PrefixWatcher&) = delete;

    void start();
    /** Ends a pause between two watches. */
    void watchNow();
    bool isSynchronized() const { return m_isSynchronized; }

private:
    void readPage(const std::string& after);
    void takePage(const ReadReply& reply);
    void finishReading(KeyRevision storeRevision);
    void watch();
    void watchAfterPause();
    void takeChanges(const WatchReply& reply);
    void take(const StoredItem& item);
    void takeRemoval(const std::string& key, KeyRevision revision);
    void readAgainLater();

    Settings m_settings;
    KeyValueStore& m_store;
    Timers m_timers;
    Hooks m_hooks;
    std::map<std::string, KeyRevision> m_known;
    std::map<std::string, KeyRevision> m_read;
    /** Revision of the first page: changes after it are watched for, as pages are no snapshot. */
    KeyRevision m_readRevision;
    KeyRevision m_watchedTo;
    bool m_isSynchronized { false };
    /** A pause is under way; rises with each, so that an ended one does nothing. */
    std::uint64_t m_pause { 0 };
    bool m_isPausing { false };
};

}
