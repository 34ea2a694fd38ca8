#pragma once

#include "fakes/EventQueue.h"
#include "rattanroad_core/identifiers/Identifiers.h"
#include "rattanroad_shards/store/KeyValueStore.h"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace rattanroad::emulator {

/** Emulates the platform's store with conditional transactions, watches, leases and compaction, and injects faults. */
class EmulatedStore {
public:
    struct Faults {
        /** The store executes and answers nothing. */
        bool isDown { false };
        /** Leases expire while the store is down; otherwise they are extended by the outage. */
        bool doLeasesExpireWhileDown { false };
        /** Latency of one call. */
        Duration latency { std::chrono::milliseconds(4) };
        /** Number of transactions to execute without a reply. */
        int repliesToLose { 0 };
        /** Number of transactions to leave without a reply and execute 3 s later, if their conditions still hold. */
        int lateTransactions { 0 };
        /** Watches of this prefix are told of no changes; empty for none. */
        std::string deafPrefix;
        /** Watches of this prefix time out without an answer; empty for none. */
        std::string silentPrefix;
        /** Reads and watches of this prefix time out without an answer; empty for none. */
        std::string unreadablePrefix;
        /** Hosts to which unreadablePrefix applies; empty for all. */
        std::set<HostId> unreadableHosts;
        /** Largest number of changes in the answer to a watch; 0 for no limit. */
        std::size_t maximumChanges { 0 };
        /** Hosts whose calls are refused. */
        std::set<HostId> refusedHosts;
        /** Hosts whose calls are lost. */
        std::set<HostId> isolatedHosts;
    };

    explicit EmulatedStore(EventQueue& queue);
    EmulatedStore(const EmulatedStore&) = delete;
    EmulatedStore& operator=(const EmulatedStore&) = delete;

    Faults faults;

    /** Returns the store interface for a host, subject to the faults of that host. */
    shards::KeyValueStore callsFrom(const HostId& host);
    /** Writes a key without a lease, as an operator or a target does. */
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /** Removes all keys of the lease that @p keyOfLease belongs to, without notifying the owner of the lease. */
    void revoke(const std::string& keyOfLease);
    /** Discards the history of changes, as a compaction does. */
    void compact();
    std::optional<std::string> value(const std::string& key) const;
    std::vector<std::string> keys(const std::string& prefix) const;
    /** Returns the number of transactions that were requested. */
    std::uint64_t transactions() const { return m_transactions; }

private:
    struct Item {
        std::string value;
        std::uint64_t revision { 0 };
        std::uint64_t lease { 0 };
    };
    struct Lease {
        Duration timeToLive;
        TimePoint expiresAt;
    };
    struct PendingWatch {
        std::string prefix;
        std::uint64_t after;
        std::function<void(const shards::WatchReply&)> callback;
        bool isDone { false };
    };

    /** Runs @p action after the latency if the call arrives. Otherwise calls @p fail: after the latency if the host is
        refused, else after the timeout of a call. */
    void call(const HostId& host, std::function<void()> action, const std::function<void(shards::StoreStatus)>& fail);
    shards::TransactionReply execute(const shards::KeyTransaction& transaction);
    void writeItem(const std::string& key, const std::string& value, std::uint64_t lease);
    void removeItem(const std::string& key);
    /** Returns whether the reads and watches of this prefix by this host are left unanswered. */
    bool isUnreadable(const HostId& host, const std::string& prefix) const;
    void notify();
    bool answerWatch(PendingWatch& watch, bool isTimedOut);
    void expireLeases();

    EventQueue& m_queue;
    std::map<std::string, Item> m_items;
    std::map<std::uint64_t, Lease> m_leases;
    std::vector<shards::KeyChange> m_history;
    std::uint64_t m_compactedTo { 0 };
    std::uint64_t m_revision { 1 };
    std::uint64_t m_lastLease { 0 };
    std::vector<std::shared_ptr<PendingWatch>> m_pendingWatches;
    std::uint64_t m_transactions { 0 };
};

}
