#pragma once

#include "rattanroad_shards/store/KeyValueStore.h"
#include "rattanroad_shards/types/ShardTypes.h"

#include <map>
#include <optional>

namespace rattanroad::shards {

/** Writes the job records of one shard, many in one transaction.

    Each transaction has the shard's key at the holder's token as a condition, so nothing is written by a host that has
    lost the shard. Each record also has its own last revision as a condition, so a transaction that the store carries
    out late changes nothing that was written since.
*/
class RecordWriter {
public:
    struct Settings {
        std::string shardKey;
        /** Wait for other records before a new job is stored; about one answer of the store. */
        std::chrono::milliseconds acceptDelay { 5 };
        /** Wait before other changes are stored, which no caller waits for. */
        std::chrono::milliseconds updateDelay { 60 };
        std::chrono::milliseconds retryPause { 60 };
        /** Entries of one transaction that the store takes, less the shard's key. */
        std::size_t maximumEntries { 31 };
        /** Keeps a slow store busy without a long queue there. */
        std::size_t maximumInFlight { 4 };
    };
    enum class InsertResult {
        Stored,
        Exists, ///< Another record of the job is in the store.
        Refused, ///< The store is away; nothing was written or will be.
    };
    struct Hooks {
        /** The shard's key is no longer the holder's. */
        std::function<void()> displaced;
    };
    using InsertCallback = std::function<void(InsertResult, const StoredItem& existing)>;
    using StoredCallback = std::function<void()>;

    RecordWriter(Settings settings, KeyValueStore& store, Timers timers, Hooks hooks);
    RecordWriter(const RecordWriter&) = delete;
    RecordWriter& operator=(const RecordWriter&) = delete;

    /** Writes from now on under @p token. Records that wait are kept when the holding is continued. */
    void begin(FencingToken token, bool isContinued);
    /** Writes nothing until begin(). */
    void end();

    /** Stores a new record if there is none of that key. */
    void insert(const std::string& key, std::string value, InsertCallback callback);
    /** Replaces a record; a change that waits is replaced too. @p callback is called when this value or a later one
        is stored. */
    void update(const std::string& key, std::string value, StoredCallback callback);
    /** Removes a record. */
    void remove(const std::string& key);
    /** Tells the revision of a record that was read. */
    void setRevision(const std::string& key, KeyRevision revision) { m_entries[key].revision = revision; }

    /** Returns whether the last call failed and none succeeded since. */
    bool isStoreUnavailable() const { return m_isStoreUnavailable; }

private:
    struct Entry {
        KeyRevision revision;
        bool isWaiting { false };
        bool isInFlight { false };
        bool isRemoval { false };
        bool mayBeStored { false };
        std::string value;
        InsertCallback accepted;
        std::vector<StoredCallback> stored;
        /** Callbacks of the value in flight. */
        std::vector<StoredCallback> storedInFlight;
    };
    struct Sent {
        std::string key;
        std::string value;
        bool isRemoval { false };
    };

    void flushAfter(Duration delay);
    void flush();
    bool sendBatch();
    void takeReply(const std::vector<Sent>& sent, FencingToken token, const TransactionReply& reply);
    void takeStored(const Sent& sent, KeyRevision revision);
    void takeConflict(const Sent& sent, const StoredItem& current);
    void putBack(const Sent& sent);

    Settings m_settings;
    KeyValueStore& m_store;
    Timers m_timers;
    Hooks m_hooks;
    std::optional<FencingToken> m_token;
    std::map<std::string, Entry> m_entries;
    /** Keys of entries that wait, in the order in which they came. */
    std::vector<std::string> m_order;
    std::size_t m_inFlight { 0 };
    bool m_isStoreUnavailable { false };
    /** Rises with each holding that is not continued: replies to earlier ones are ignored. */
    std::uint64_t m_epoch { 0 };
    bool m_isAcceptFlushDue { false };
    bool m_isUpdateFlushDue { false };
};

}
