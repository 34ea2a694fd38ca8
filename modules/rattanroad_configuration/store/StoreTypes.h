#pragma once

#include "rattanroad_core/identifiers/StrongType.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace rattanroad {

/** Revision of the platform's store, which increases with each write to any key (in etcd: the header revision, and the
    mod revision of a key); 0 as the revision of a key means that the key does not exist.
*/
using StoreRevision = StrongType<std::int64_t, struct StoreRevisionTag>;
/** Id of a lease granted by the store. */
using StoreLease = StrongType<std::int64_t, struct StoreLeaseTag>;
/** Matches an answer to its request; chosen by the requester. */
using StoreRequestId = StrongType<std::uint64_t, struct StoreRequestIdTag>;
/** Id of a watch; chosen by the requester and never reused. */
using StoreWatchId = StrongType<std::uint64_t, struct StoreWatchIdTag>;

/** Outcome of a request to the store. */
enum class StoreOutcome {
    Succeeded,
    /** The key of a StorePutIf did not have the expected revision; nothing was written. */
    ComparisonFailed,
    /** There was no usable answer. A write may have been applied or may still be applied. */
    UnavailableMaybeApplied,
};

/** The value of a key and the store revision of its last change. */
struct StoreValue {
    std::string value;
    StoreRevision modRevision;
};

/** A linearizable read of one key. */
struct StoreGet {
    StoreRequestId requestId;
    std::string key;
};

struct StoreGetAnswer {
    StoreRequestId requestId;
    StoreOutcome outcome { StoreOutcome::UnavailableMaybeApplied };
    /** Absent when the key does not exist. */
    std::optional<StoreValue> value;
    /** Revision of the store at the time of the answer. */
    StoreRevision storeRevision;
};

struct StorePut {
    std::string key;
    std::string value;
    /** When set, the store deletes the key once the lease ends. */
    std::optional<StoreLease> lease;
};

/** A compare-and-swap: writes all @c puts in one transaction if the mod revision of @c key is @c expectedModRevision;
    0 means that the key must not exist.
*/
struct StorePutIf {
    StoreRequestId requestId;
    std::string key;
    StoreRevision expectedModRevision;
    std::vector<StorePut> puts;
};

struct StorePutIfAnswer {
    StoreRequestId requestId;
    StoreOutcome outcome { StoreOutcome::UnavailableMaybeApplied };
    StoreRevision storeRevision;
};

struct StoreLeaseGrant {
    StoreRequestId requestId;
    std::chrono::seconds ttl;
};

struct StoreLeaseGrantAnswer {
    StoreRequestId requestId;
    StoreOutcome outcome { StoreOutcome::UnavailableMaybeApplied };
    StoreLease lease;
    std::chrono::seconds ttl { 0 };
};

/** A watch of one key for changes from a store revision on, inclusive. */
struct StoreWatch {
    StoreWatchId watchId;
    std::string key;
    StoreRevision fromRevision;
};

struct StoreWatchEvent {
    enum class Kind {
        Put,
        Deleted,
        /** The watch ended: the connection was lost, the store cancelled it, or its start revision was compacted. */
        Closed,
    };

    StoreWatchId watchId;
    Kind kind { Kind::Closed };
    StoreValue value;
};

}
