#pragma once

#include "rattanroad_shards/store/KeyValueStore.h"
#include "rattanroad_shards/types/ShardTypes.h"

#include <map>
#include <optional>

namespace rattanroad::shards {

/** Writes the job records of one shard, with many records in one transaction.

    Each transaction is conditional on the shard's key having the holder's fencing token as its revision, so a host that
    has lost the shard cannot write. Each write is also conditional on the last known revision of its record, so a
    transaction that the store executes late cannot overwrite a later change.
*/
class RecordWriter {
public:
    struct Settings {
        std::string shardKey;
        /** Batching delay before a new record is stored: about the duration of one store call. */
        std::chrono::milliseconds insertDelay { 5 };
        /** Batching delay before other changes are stored. It is longer because a caller learns of the end of a stored
           job by asking again and again. */
        std::chrono::milliseconds updateDelay { 60 };
        std::chrono::milliseconds retryPause { 60 };
        /** Maximum number of conditions and writes in one transaction of the store, less the condition on the shard's
            key. */
        std::size_t maximumEntries { 31 };
        /** Maximum number of transactions in flight. Keeps a slow store busy without a long queue there. */
        std::size_t maximumInFlight { 4 };
    };
    enum class InsertResult {
        Stored,
        Exists, ///< The store has another record under this key.
        Refused, ///< The store is unavailable; nothing was written or will be.
    };
    struct Hooks {
        /** Called when the shard's key no longer has the holder's token as its revision. */
        std::function<void()> displaced;
    };
    using InsertCallback = std::function<void(InsertResult, const StoredItem& existing)>;
    using StoredCallback = std::function<void()>;

    RecordWriter(Settings settings, KeyValueStore& store, Timers timers, Hooks hooks);
    RecordWriter(const RecordWriter&) = delete;
    RecordWriter& operator=(const RecordWriter&) = delete;

    /** Starts to write under @p token. Pending records are kept if @p isContinued, else dropped. */
    void begin(FencingToken token, bool isContinued);
    /** Stops writing until the next begin(). */
    void end();

    /** Stores a new record if the store has none under that key. @p callback gets the existing record with
        InsertResult::Exists. */
    void insert(const std::string& key, std::string value, InsertCallback callback);
    /** Replaces a record, and also a pending change of it. @p callback is called when this value or a later one is
        stored. */
    void update(const std::string& key, std::string value, StoredCallback callback);
    void remove(const std::string& key);
    /** Sets the known revision of a record that was read from the store. */
    void setRevision(const std::string& key, KeyRevision revision) { m_entries[key].revision = revision; }

    /** Returns the known revision of a record of which no change is pending or under way, or nothing. */
    std::optional<KeyRevision> settledRevision(const std::string& key) const;
    /** Forgets a record that is no longer of this shard. */
    void forget(const std::string& key);

    /** Returns whether the store rejected the last transaction or did not reply to it. Ends after the retry pause when
       no record is left to be written again. */
    bool isStoreUnavailable() const { return m_isStoreUnavailable; }

private:
    struct Entry {
        KeyRevision revision;
        bool isPending { false };
        bool isInFlight { false };
        bool isRemoval { false };
        /** A transaction with this entry had an unknown result. */
        bool mayBeStored { false };
        std::string value;
        InsertCallback insertCallback;
        std::vector<StoredCallback> storedCallbacks;
        /** Callbacks for the value in flight. */
        std::vector<StoredCallback> inFlightCallbacks;
    };
    struct SentRecord {
        std::string key;
        std::string value;
        bool isRemoval { false };
    };

    void flushAfter(Duration delay);
    void flush();
    bool sendBatch();
    void handleReply(const std::vector<SentRecord>& sent, FencingToken token, const TransactionReply& reply);
    void handleStored(const SentRecord& sent, KeyRevision revision);
    void handleConflict(const SentRecord& sent, const StoredItem& current);
    void requeue(const SentRecord& sent);

    Settings m_settings;
    KeyValueStore& m_store;
    Timers m_timers;
    Hooks m_hooks;
    std::optional<FencingToken> m_token;
    std::map<std::string, Entry> m_entries;
    /** Keys of the pending entries, in order of arrival. */
    std::vector<std::string> m_pendingKeys;
    std::size_t m_inFlight { 0 };
    bool m_isStoreUnavailable { false };
    /** Rises with each begin() that does not continue the previous holding, so that replies to earlier transactions are
        ignored. */
    std::uint64_t m_epoch { 0 };
    bool m_isInsertFlushDue { false };
    bool m_isUpdateFlushDue { false };
};

}
