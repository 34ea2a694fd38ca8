#pragma once

#include "rattanroad_shards/store/KeyValueStore.h"
#include "rattanroad_shards/types/ShardTypes.h"

#include <map>
#include <optional>

namespace rattanroad::shards {

/** Reports all keys with one prefix and their changes: reads the keys, then watches for changes, and reads all keys
    again after a long pause and when the store has compacted the changes that are needed. Never reports an older
    revision of a key after a newer one.

    An answer to a watch holds a limited number of changes, and a watch can be told of changes late. A watcher that is
    checked therefore compares the revision that it has reached with that of the store.
*/
class PrefixWatcher {
public:
    struct Settings {
        std::string prefix;
        /** A watch without changes returns after this time, so that a dead connection is noticed. */
        std::chrono::milliseconds watchWait { 1500 };
        /** Wait of a watch that is checked. Short, because the changes to wait for have been made. */
        std::chrono::milliseconds checkedWatchWait { 50 };
        /** After a longer pause the keys are read again: most of them have changed, many more than once. */
        std::chrono::milliseconds longestWatchPause { 1000 };
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
        /** Returns the shortest time between two requests for changes. An empty hook means no pause. */
        std::function<Duration()> pause;
        /** Returns whether the watcher is checked, as currentAsOf() needs. An empty hook means that it is not. */
        std::function<bool()> isChecked;
        /** Called when currentAsOf() has risen; may be empty. */
        std::function<void()> updated;
        /** Called after each complete answer: all changes up to @p time were processed, as far as the watch was told of
            them. May be empty. */
        std::function<void(TimePoint time)> readUntil;
    };

    PrefixWatcher(Settings settings, KeyValueStore& store, Timers timers, const Clock& clock, Hooks hooks);
    PrefixWatcher(const PrefixWatcher&) = delete;
    PrefixWatcher& operator=(const PrefixWatcher&) = delete;

    void start();
    /** Ends the watch and reports all keys as removed, until start() is called again. */
    void stop();
    bool isStarted() const { return m_isStarted; }
    /** Reads all keys beside the watch, which can be told of changes late. Calls @p done when all writes before this
        call were processed. A later call of the same reader replaces one that is not done. */
    void readNow(const std::string& reader, const std::function<void()>& done);
    /** Ends the present pause, or skips the next one. */
    void refresh();
    /** Returns whether all keys have been read at least once. */
    bool isSynchronized() const { return m_isSynchronized; }
    /** Returns a time such that all changes that the store had acknowledged before it were processed. */
    TimePoint currentAsOf() const { return m_currentAsOf; }
    /** Returns how many requests in a row have failed up to now. */
    int failures() const { return m_failures; }

private:
    void readPage(const std::string& after);
    void handlePage(const ReadReply& reply);
    struct Read {
        std::string reader;
        /** Counts the reads of the reader. */
        std::uint64_t number;
        std::function<void()> done;
    };
    /** Reads the page after @p key and the following ones, unless the read was replaced. */
    void readAfter(const std::string& key, const Read& read);
    /** Returns the function so that it does nothing once the watch has been stopped. */
    template <typename Function> auto untilStop(Function function)
    {
        return [this, epoch = m_epoch, function = std::move(function)](const auto&... arguments) {
            if (epoch == m_epoch)
                function(arguments...);
        };
    }
    /** Returns whether the read has failed, or is older than the last watched revision and would bring removed keys
        back. */
    bool isUnusable(const ReadReply& reply) const;
    void finishReading(KeyRevision storeRevision);
    /** Pauses, and then reads all keys or asks for changes. */
    void continueAfterPause();
    void continueNow();
    /** Asks for the revision of the store, and then watches until it is reached. */
    void check();
    void handleCheckReply(const ReadReply& reply, TimePoint sentAt);
    void watch();
    void handleWatchReply(const WatchReply& reply, TimePoint sentAt);
    /** Returns whether the check in progress, if any, has found changes that are still missing. */
    bool isBehind() const { return m_check && m_watchRevision < m_check->storeRevision; }
    void finishCheck();
    void setCurrentAsOf(TimePoint time);
    void applyWrite(const StoredItem& item);
    void applyRemoval(const std::string& key, KeyRevision revision);
    void retryReadLater();
    void requestFailed();

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
    /** The store had this revision when it answered a request that was sent at this time. */
    struct Check {
        TimePoint sentAt;
        KeyRevision storeRevision;
    };
    /** Present until the revision is reached. */
    std::optional<Check> m_check;
    TimePoint m_currentAsOf { distantPast };
    int m_failures { 0 };
    bool m_isStarted { false };
    bool m_isSynchronized { false };
    /** Rises with each start and stop, so that replies and timers of earlier ones are ignored. */
    std::uint64_t m_epoch { 0 };
    /** When the latest read, check or watch after a pause began. */
    TimePoint m_continuedAt { distantPast };
    /** Number of pauses so far; identifies the pause of a timer, so that the timer of an ended pause does nothing. */
    std::uint64_t m_pauseCount { 0 };
    bool m_isPausing { false };
    /** The pause in progress is long enough that all keys are read after it. */
    bool m_isReadDue { false };
    /** refresh() was called outside of a pause. */
    bool m_isPauseSkipped { false };
    /** Number of the latest read of each reader. */
    std::map<std::string, std::uint64_t> m_latestReads;
};

}
