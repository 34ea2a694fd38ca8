#pragma once

#include "rattanroad_core/identifiers/StrongType.h"
#include "rattanroad_network/http/HttpClient.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rattanroad::platform {

/** Revision of the store: grows with each write of any key. */
using StoreRevision = StrongType<std::uint64_t, struct PlatformStoreRevisionTag>;
/** Lease in the store; 0 means none. */
using StoreLease = StrongType<std::uint64_t, struct PlatformStoreLeaseTag>;
/** Names a watch of a StoreClient. */
using WatchId = StrongType<std::uint64_t, struct PlatformWatchIdTag>;

/** One key of the store with its value. */
struct StoreEntry {
    std::string key;
    std::string value;
    StoreRevision createRevision;
    StoreRevision modRevision;
};

/** Compares a revision of a key; an absent key has revision 0. */
struct StoreCondition {
    enum class Revision {
        Created,
        Modified,
    };
    std::string key;
    Revision compared { Revision::Modified };
    StoreRevision expected;
};

struct StoreWrite {
    std::string key;
    std::string value;
    StoreLease lease;
};

/** Writes everything if all conditions hold, else reads the key. */
struct StoreTransaction {
    std::vector<StoreCondition> conditions;
    std::vector<StoreWrite> writes;
    /** Read in the same step when a condition does not hold; may be empty. */
    std::string readOnFailure;
};

/** How a call to the store ended. */
enum class StoreOutcome {
    Done,
    ConditionFailed, ///< Nothing was written.
    NotSent, ///< The store was not reached or refused the call: nothing was written.
    MaybeApplied, ///< The call was sent and no usable answer came.
};

struct StoreReadResult {
    StoreOutcome outcome { StoreOutcome::NotSent };
    std::vector<StoreEntry> entries;
    /** Revision of the store at the time of the read, for a watch that continues from here. */
    StoreRevision revision;
    std::string detail;
};

struct StoreWriteResult {
    StoreOutcome outcome { StoreOutcome::NotSent };
    /** With ConditionFailed: what StoreTransaction::readOnFailure holds. */
    std::optional<StoreEntry> current;
    StoreRevision revision;
    std::string detail;
};

struct StoreLeaseResult {
    StoreOutcome outcome { StoreOutcome::NotSent };
    StoreLease lease;
    std::string detail;
};

/** A change of a watched key. */
struct StoreEvent {
    bool isDeleted { false };
    StoreEntry entry;
};

/** Client of the platform's key-value store through the JSON gateway of etcd's v3 API. Each callback is called exactly
    once per call, never inside the call.
*/
class StoreClient {
public:
    struct Settings {
        /** "<IPv4 number>:<port>" */
        std::string address;
        /** Limit for the time until a call is answered, and for a pause in its answer. */
        Duration timeout { std::chrono::seconds(2) };
        /** Called with the duration of each call, watches excepted. May be empty. */
        std::function<void(Duration)> callEnded;
        /** Limit for a whole call except watches. */
        Duration longestCall { std::chrono::seconds(30) };
    };
    struct Statistics {
        std::uint64_t calls { 0 };
        std::uint64_t failures { 0 };
    };

    StoreClient(HttpClient& http, Settings settings);
    ~StoreClient();
    StoreClient(const StoreClient&) = delete;
    StoreClient& operator=(const StoreClient&) = delete;

    void get(const std::string& key, std::function<void(const StoreReadResult&)> callback);
    /** Reads all keys that begin with @p prefix, in order. */
    void getPrefix(const std::string& prefix, std::function<void(const StoreReadResult&)> callback);
    void write(const StoreTransaction& transaction, std::function<void(const StoreWriteResult&)> callback);
    void grantLease(std::chrono::seconds ttl, std::function<void(const StoreLeaseResult&)> callback);

    /** Reports changes of the keys that begin with @p prefix from @p from on. @p ended is called once when the watch
        breaks or the store no longer has the revision; the caller then reads again and starts a new watch.
    */
    WatchId watch(const std::string& prefix, StoreRevision from, std::function<void(const StoreEvent&)> changed,
        std::function<void()> ended);
    /** Ends a watch without calling back. */
    void cancelWatch(WatchId watch);

    Statistics statistics() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
