#pragma once

#include "fakes/EventQueue.h"
#include "rattanroad_core/identifiers/Identifiers.h"
#include "rattanroad_shards/store/KeyValueStore.h"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace rattanroad::emulator {

/** The platform's store: transactions with conditions, watches, leases, compaction, and what goes wrong with them. */
class EmulatedStore {
public:
    struct Faults {
        /** Nothing is done or answered. */
        bool isDown { false };
        /** Leases end while the store is down, instead of pausing. */
        bool doLeasesExpireWhileDown { false };
        /** Time of one answer. */
        Duration latency { std::chrono::milliseconds(4) };
        /** This many transactions are carried out and not answered. */
        int repliesToLose { 0 };
        /** This many transactions are not answered and carried out 3 s later, if their conditions still hold. */
        int lateTransactions { 0 };
        /** Calls of these hosts are refused. */
        std::set<HostId> refusedHosts;
        /** Calls of these hosts are lost. */
        std::set<HostId> isolatedHosts;
    };

    explicit EmulatedStore(EventQueue& queue);
    EmulatedStore(const EmulatedStore&) = delete;
    EmulatedStore& operator=(const EmulatedStore&) = delete;

    Faults faults;

    /** Returns the calls as a host makes them. */
    shards::KeyValueStore callsFrom(const HostId& host);
    /** Writes a key as the operator or a target does. */
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /** Takes all keys of a lease away without telling its owner. */
    void revoke(const std::string& keyOfLease);
    /** Forgets all history. */
    void compact();
    std::optional<std::string> value(const std::string& key) const;
    std::vector<std::string> keys(const std::string& prefix) const;
    std::uint64_t transactions() const { return m_transactions; }

private:
    struct Item {
        std::string value;
        std::uint64_t revision { 0 };
        std::uint64_t lease { 0 };
    };
    struct Lease {
        Duration timeToLive;
        TimePoint end;
    };
    struct Waiter {
        std::string prefix;
        std::uint64_t after;
        std::function<void(const shards::WatchReply&)> callback;
        bool isDone { false };
    };

    /** Runs @p action after the latency if the call arrives, else @p lost after the time limit of a call. */
    void call(const HostId& host, std::function<void()> action, const std::function<void(shards::StoreStatus)>& lost);
    shards::TransactionReply execute(const shards::KeyTransaction& transaction);
    void writeItem(const std::string& key, const std::string& value, std::uint64_t lease);
    void removeItem(const std::string& key);
    void notify();
    bool answer(Waiter& waiter, bool isLast);
    void expireLeases();

    EventQueue& m_queue;
    std::map<std::string, Item> m_items;
    std::map<std::uint64_t, Lease> m_leases;
    std::vector<shards::KeyChange> m_history;
    std::uint64_t m_compactedTo { 0 };
    std::uint64_t m_revision { 1 };
    std::uint64_t m_lastLease { 0 };
    std::vector<std::shared_ptr<Waiter>> m_waiters;
    std::uint64_t m_transactions { 0 };
};

}
