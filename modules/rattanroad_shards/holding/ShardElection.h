#pragma once

#include "rattanroad_shards/holding/FleetView.h"
#include "rattanroad_shards/holding/HostLease.h"

#include <optional>

namespace rattanroad::shards {

/** Decides whether this host holds one shard.

    The holder is the host that wrote the shard's key under its lease; the revision of that write is the fencing token.
    A key with a number, which outlives the lease, counts the holders. Hosts of the shard's own failure domain try
    first, in rendezvous order; the others follow at short intervals, so that the store sees few attempts.
*/
class ShardElection {
public:
    struct Settings {
        ShardId shard;
        /** Domain whose hosts reach the shard's targets best. */
        FailureDomainId preferredDomain;
        HostId self;
        Incarnation incarnation;
        std::string address;
        FailureDomainId selfDomain;
        /** Time between the attempts of two hosts: several answers of the store. */
        std::chrono::milliseconds attemptSpacing { 120 };
        /** A holder from another domain gives way to a host of the preferred domain that has lived this long. */
        std::chrono::milliseconds failbackDelay { 2500 };
        /** Without a lease, a holder goes on for this long unless another host takes the shard: outages of the store
            last several seconds, and targets refuse the orders of a holder that was replaced. */
        std::chrono::milliseconds unconfirmedLimit { 10000 };
    };
    struct Holding {
        FencingToken token;
        Generation generation;
        /** Nobody else has held the shard since this host last did: what it knows of the jobs is complete. */
        bool isContinued { false };
    };
    struct Hooks {
        std::function<void(const Holding&)> acquired;
        /** The shard is held no more: no order may be given from now on. */
        std::function<void(const char* reason)> lost;
        /** Returns whether jobs of the shard are open here. */
        std::function<bool()> hasOpenJobs;
    };

    ShardElection(Settings settings, KeyValueStore& store, HostLease& lease, const FleetView& fleet, Timers timers,
        const Clock& clock, Hooks hooks);
    ShardElection(const ShardElection&) = delete;
    ShardElection& operator=(const ShardElection&) = delete;

    /** Looks at the fleet again. Called when the fleet or the lease has changed, and at intervals. */
    void reevaluate();
    /** The lease has ended: another host may take the shard. */
    void leaseLost();
    /** A write under the shard's key was refused because the key has changed. */
    void keyChanged();
    /** Another host has been seen to hold the shard. */
    void displaced();
    /** Gives the shard up for another host. Goes on holding it until the store has removed the key, and while jobs are
        open and no other host could take it. */
    void release();
    /** Takes part in elections or not; a host that drains doesn't. */
    void setCandidate(bool isCandidate) { m_isCandidate = isCandidate; }

    bool isHeld() const { return m_holding.has_value(); }
    const std::optional<Holding>& holding() const { return m_holding; }

private:
    std::size_t rank() const;
    bool shouldFailBack();
    /** Returns whether another host could take the shard. */
    bool hasSuccessor() const;
    void releaseLater();
    bool isFree() const;
    void attemptAfter(Duration pause);
    void attempt();
    void write(const ReadReply& generationKey);
    void takeReply(const TransactionReply& reply, Generation generation, bool isContinued);
    void lose(const char* reason);

    Settings m_settings;
    KeyValueStore& m_store;
    HostLease& m_lease;
    const FleetView& m_fleet;
    Timers m_timers;
    const Clock& m_clock;
    Hooks m_hooks;
    std::optional<Holding> m_holding;
    std::optional<TimePoint> m_unconfirmedSince;
    /** Of the last time that this host held the shard. */
    KeyRevision m_lastGenerationRevision;
    bool m_isAttempting { false };
    bool m_isAttemptDue { false };
    bool m_isCandidate { true };
    bool m_isReleasing { false };
    std::optional<TimePoint> m_preferredHostSince;
};

}
