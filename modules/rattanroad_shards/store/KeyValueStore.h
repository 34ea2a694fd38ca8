#pragma once

#include "rattanroad_core/identifiers/StrongType.h"
#include "rattanroad_core/time/Clock.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace rattanroad::shards {

/** Revision of the store, which rises with each change; 0 stands for an absent key. */
using KeyRevision = StrongType<std::uint64_t, struct KeyRevisionTag>;
/** Id of a lease in the store; 0 stands for no lease. */
using StoreLeaseId = StrongType<std::uint64_t, struct StoreLeaseIdTag>;

/** A key with its value and revision. */
struct StoredItem {
    std::string key;
    std::string value;
    /** Revision of the last change; 0 when the key is absent. */
    KeyRevision revision;
};

/** Result of a call to the store. */
enum class StoreStatus {
    Done,
    ConditionFailed, ///< A condition of the transaction did not hold; nothing was written.
    Absent, ///< The key or lease does not exist.
    Compacted, ///< The store no longer has the requested changes.
    Refused, ///< The call was rejected and had no effect.
    Unknown, ///< There was no reply: the call may have been executed or may still be executed later.
};

struct ReadReply {
    StoreStatus status { StoreStatus::Unknown };
    std::vector<StoredItem> items;
    bool hasMore { false };
    /** Revision of the store at the time of the read. */
    KeyRevision storeRevision;
};

struct KeyChange {
    StoredItem item;
    bool isRemoved { false };
};

struct WatchReply {
    StoreStatus status { StoreStatus::Unknown };
    std::vector<KeyChange> changes;
    KeyRevision storeRevision;
};

/** Writes and removals that are applied atomically if all conditions hold. */
struct KeyTransaction {
    /** Holds if the last change of the key has this revision; revision 0 requires the key to be absent. */
    struct Condition {
        std::string key;
        KeyRevision revision;
    };
    /** The key is removed when the lease ends; lease 0 writes a key without a lease. */
    struct Write {
        std::string key;
        std::string value;
        StoreLeaseId lease;
    };
    std::vector<Condition> conditions;
    std::vector<Write> writes;
    std::vector<std::string> removals;
};

struct TransactionReply {
    StoreStatus status { StoreStatus::Unknown };
    KeyRevision revision;
    /** With ConditionFailed: the current items of those keys in the conditions that exist. */
    std::vector<StoredItem> current;
};

struct LeaseReply {
    StoreStatus status { StoreStatus::Unknown };
    StoreLeaseId lease;
    Duration timeToLive { 0 };
};

/** Interface to the platform's store. Each callback is called exactly once and never before the call returns. */
struct KeyValueStore {
    std::function<void(const std::string& key, std::function<void(const ReadReply&)>)> read;
    /** Reads a page of the keys with @p prefix that come after the key @p after. */
    std::function<void(const std::string& prefix, const std::string& after, std::function<void(const ReadReply&)>)>
        readPage;
    /** Waits up to @p wait for changes of keys with @p prefix after the revision @p after. */
    std::function<void(const std::string& prefix, KeyRevision after, std::chrono::milliseconds wait,
        std::function<void(const WatchReply&)>)>
        watch;
    std::function<void(const KeyTransaction&, std::function<void(const TransactionReply&)>)> transact;
    std::function<void(std::chrono::milliseconds timeToLive, std::function<void(const LeaseReply&)>)> grantLease;
    std::function<void(StoreLeaseId, std::function<void(const LeaseReply&)>)> renewLease;
};

}
