#pragma once

#include "rattanroad_core/identifiers/StrongType.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace rattanroad {

/** Revision of the platform's store as a whole (etcd: mod revision, header revision); 0 means "no such key". */
using StoreRevision = StrongType<std::int64_t, struct StoreRevisionTag>;
/** A lease granted by the store. */
using StoreLease = StrongType<std::int64_t, struct StoreLeaseTag>;
/** Pairs an answer with its request; chosen by the requester. */
using StoreRequestId = StrongType<std::uint64_t, struct StoreRequestIdTag>;
/** Names one watch; chosen by the requester, never used twice. */
using StoreWatchId = StrongType<std::uint64_t, struct StoreWatchIdTag>;

/** How a request to the store ended. */
enum class StoreOutcome {
    Succeeded,
    /** The comparison of a put-if failed; nothing was written. */
    ComparisonFailed,
    /** No usable answer. A write may have been applied, or may still be applied later. */
    UnavailableMaybeApplied,
};

/** A key's value and the store revision of its last change. */
struct StoreValue {
    std::string value;
    StoreRevision modRevision;
};

/** Linearizable read of one key. */
struct StoreGet {
    StoreRequestId requestId;
    std::string key;
};

struct StoreGetAnswer {
    StoreRequestId requestId;
    StoreOutcome outcome { StoreOutcome::UnavailableMaybeApplied };
    /** Absent when there is no such key. */
    std::optional<StoreValue> value;
    /** Revision of the store when it answered. */
    StoreRevision storeRevision;
};

struct StorePut {
    std::string key;
    std::string value;
    /** The key disappears with the lease. */
    std::optional<StoreLease> lease;
};

/** Writes all @c puts in one transaction if @c key still has the revision; revision 0 means that the key is absent. */
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

/** Watches one key for changes from a store revision on. */
struct StoreWatch {
    StoreWatchId watchId;
    std::string key;
    StoreRevision fromRevision;
};

struct StoreWatchEvent {
    enum class Kind {
        Put,
        Deleted,
        /** The watch ended: connection lost, cancelled by the store, or its start revision was compacted. */
        Closed,
    };

    StoreWatchId watchId;
    Kind kind { Kind::Closed };
    StoreValue value;
};

}
