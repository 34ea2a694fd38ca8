#pragma once

#include "rattanroad_core/identifiers/StrongType.h"
#include "rattanroad_core/time/Clock.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace rattanroad::shards {

/** Counter of the store that rises with each change; 0 stands for "no such key". */
using KeyRevision = StrongType<std::uint64_t, struct KeyRevisionTag>;
/** Lease in the store; 0 stands for none. */
using StoreLeaseId = StrongType<std::uint64_t, struct StoreLeaseIdTag>;

struct StoredItem {
    std::string key;
    std::string value;
    /** Revision of the last change; 0 when the key is absent. */
    KeyRevision revision;
};

/** How a call to the store ended. */
enum class StoreStatus {
    Done,
    ConditionFailed, ///< Nothing was written.
    Absent, ///< No such key or lease.
    Compacted, ///< The store no longer has the changes asked for.
    Refused, ///< Nothing was done.
    Unknown, ///< The call may have been carried out, or may be later.
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

/** All or nothing. */
struct KeyTransaction {
    struct Condition {
        std::string key;
        KeyRevision revision;
    };
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
    /** With ConditionFailed: the keys of the conditions as they are. */
    std::vector<StoredItem> current;
};

struct LeaseReply {
    StoreStatus status { StoreStatus::Unknown };
    StoreLeaseId lease;
    Duration timeToLive { 0 };
};

/** Calls of the platform's store. Each callback is called exactly once, never inside the call. */
struct KeyValueStore {
    std::function<void(const std::string& key, std::function<void(const ReadReply&)>)> read;
    /** Reads a page of the keys with @p prefix that follow @p after. */
    std::function<void(const std::string& prefix, const std::string& after, std::function<void(const ReadReply&)>)>
        readPage;
    /** Waits up to @p wait for changes of keys with @p prefix after a revision. */
    std::function<void(const std::string& prefix, KeyRevision after, std::chrono::milliseconds wait,
        std::function<void(const WatchReply&)>)>
        watch;
    std::function<void(const KeyTransaction&, std::function<void(const TransactionReply&)>)> transact;
    std::function<void(std::chrono::milliseconds timeToLive, std::function<void(const LeaseReply&)>)> grantLease;
    std::function<void(StoreLeaseId, std::function<void(const LeaseReply&)>)> renewLease;
};

}
