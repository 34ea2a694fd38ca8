#pragma once

#include "rattanroad_shards/holding/FleetView.h"
#include "rattanroad_shards/holding/HostLease.h"
#include "rattanroad_shards/holding/TokenRaise.h"

#include <optional>

namespace rattanroad::shards {

/** Leader election for one shard, through the store.

    The holder is the host that wrote the shard's key under its lease; the revision of that write is the fencing token.
    A second key, which is not attached to a lease, counts the generations of holders. Hosts of the shard's preferred
    failure domain try first, those with the most processor time for the shard before the others, and equal ones in
    rendezvous hashing order. The others follow at short intervals, so that the store sees few attempts.

    The first host to start acquires every shard, and after a failure a small host may be the only one left. A holder
    therefore releases its shard to a host that is better placed, once that host has been live for a while.
*/
class ShardElection {
public:
    struct Settings {
        ShardId shard;
        /** Failure domain of the shard's targets, whose hosts reach them best. */
        FailureDomainId preferredDomain;
        HostId self;
        Incarnation incarnation;
        std::string address;
        FailureDomainId selfDomain;
        HostMillicores selfProcessor;
        /** Time between the attempts of two hosts of successive rank: several response times of the store. */
        std::chrono::milliseconds attemptSpacing { 120 };
        /** A holder releases the shard when a better placed host has been live for this long. */
        std::chrono::milliseconds failbackDelay { 2500 };
        /** How many times as much processor time as its holder a host must have for the shard to be better placed. A
            handover delays the jobs of the shard, so small differences are not worth one. */
        double failbackRatio { 1.5 };
        /** A holder without a lease continues for this long unless another host acquires the shard: outages of the
            store last several seconds, and targets refuse the requests of a holder that was replaced. */
        std::chrono::milliseconds maximumTimeWithoutLease { 10000 };
    };
    struct Holding {
        FencingToken token;
        Generation generation;
        /** No other host has held the shard since this host last did, so what this host knows of the jobs is
            complete. */
        bool isContinued { false };
    };
    struct Hooks {
        std::function<void(const Holding&)> acquired;
        /** The same holding has a higher token from now on. */
        std::function<void(FencingToken)> tokenRaised;
        /** The shard is no longer held: no request to a target may be sent from now on. */
        std::function<void(const char* reason)> lost;
        /** Returns whether the shard has open jobs on this host. */
        std::function<bool()> hasOpenJobs;
    };

    ShardElection(Settings settings, KeyValueStore& store, HostLease& lease, const FleetView& fleet, Timers timers,
        const Clock& clock, Hooks hooks);
    ShardElection(const ShardElection&) = delete;
    ShardElection& operator=(const ShardElection&) = delete;

    /** Acquires or gives up the shard as the state of the fleet requires. Called when the fleet has changed and at
        intervals. */
    void reevaluate();
    /** Gives the shard up when this host has had no lease for too long. Must be called at intervals, also while the
        store cannot be reached: a later holder relies on it. */
    void endExpiredHolding();
    /** The lease has ended: another host may acquire the shard. */
    void leaseLost();
    /** A write with the shard's key as its condition was refused because the key has changed. */
    void keyChanged();
    /** Writes the shard's key again soon, which raises the fencing token. Requests within a short time are met by one
        write. */
    void requestTokenRaise();
    /** Another host is known to hold the shard. */
    void displaced();
    /** Releases the shard to another host. Keeps holding it until the store has removed the key, and while there are
        open jobs and no host that could acquire it. */
    void release();
    /** Sets whether this host takes part in elections; a draining host does not. */
    void setCandidate(bool isCandidate) { m_isCandidate = isCandidate; }

    /** Returns the number of live hosts that come before this one in the order of attempts. */
    std::size_t rank() const;

    bool isHeld() const { return m_holding.has_value(); }
    const std::optional<Holding>& holding() const { return m_holding; }

private:
    bool shouldFailBack();
    /** Returns whether a live host of the preferred domain should hold the shard instead of this one. */
    bool hasBetterHost() const;
    /** Returns the processor time that the shard would get on a host, in millicores: the host's shards share it. */
    double processorTimeOn(const HostId& host, HostMillicores processor) const;
    /** Returns whether another host could acquire the shard. */
    bool hasSuccessor() const;
    void releaseLater();
    /** Returns whether this host may acquire the shard: it has no holder, or its key is a stale one of this host. */
    bool isAvailable() const;
    /** Returns whether the key of the holder was written by a raise of this holding's token. */
    bool isOwnRaise(const ShardHolder& holder) const;
    std::string holderRecord(Generation generation) const;
    TokenRaise::Hooks tokenRaiseHooks();
    void tokenRaised(FencingToken token);
    void replaceLease();
    void attemptAfter(Duration pause);
    void attempt();
    void writeHolderKey(const ReadReply& generationKey);
    void processWriteReply(const TransactionReply& reply, Generation generation, bool isContinued);
    void lose(const char* reason);

    Settings m_settings;
    KeyValueStore& m_store;
    HostLease& m_lease;
    const FleetView& m_fleet;
    Timers m_timers;
    const Clock& m_clock;
    Hooks m_hooks;
    std::optional<Holding> m_holding;
    /** When the lease of the present holding ended; absent while the holding has a lease. */
    std::optional<TimePoint> m_leaseLostAt;
    /** Revision of the generation key that this host wrote when it last acquired the shard. */
    KeyRevision m_lastGenerationRevision;
    bool m_isAttempting { false };
    bool m_isAttemptScheduled { false };
    bool m_isCandidate { true };
    bool m_isReleasing { false };
    /** The removal of the shard's key is under way. */
    bool m_isRemovalInFlight { false };
    TokenRaise m_tokenRaise;
    std::optional<TimePoint> m_betterHostSince;
};

}
