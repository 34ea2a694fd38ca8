#pragma once

#include "rattanroad_shards/entrance/RemoteClock.h"
#include "rattanroad_shards/holding/FleetView.h"

#include <map>
#include <optional>
#include <set>

namespace rattanroad::shards {

/** Keeps the latest load reported by each shard's holder and chooses the shard for a new job. */
class ShardLoads {
public:
    struct Settings {
        FailureDomainId failureDomain;
        /** All shards; each is named for the failure domain of its targets. */
        std::vector<ShardId> shards;
        /** Age at which a load becomes stale. Loads are sent ten times a second and passed on within another tenth; a
            holder that is silent for longer may have failed. */
        std::chrono::milliseconds maximumLoadAge { 450 };
        /** Cost of a shard in another failure domain, expressed as waiting time. */
        std::chrono::milliseconds remoteDomainCost { 10 };
        /** Cost of a shard without the rack that holds the data, expressed as waiting time: about the run time of a
            short task. */
        std::chrono::milliseconds remoteDataCost { 60 };
        /** Cost of a shard whose whole capacity is in use, expressed as waiting time; scales with the used share. */
        std::chrono::milliseconds fullLoadCost { 60 };
        /** Time that a job and a load are under way: a load contains only the jobs that were sent earlier than this
            before it was received. */
        std::chrono::milliseconds messageTime { 2 };
    };

    ShardLoads(Settings settings, const FleetView& fleet, const Clock& clock);
    ShardLoads(const ShardLoads&) = delete;
    ShardLoads& operator=(const ShardLoads&) = delete;

    /** Stores a load, which may have come by way of other hosts. Returns false when it tells nothing new: a later load
        of the holder is known, or one of a later holder. */
    bool received(const protocol::ShardLoad& load);
    /** Returns whether a shard is known to have a later holder than that of this generation. */
    bool hasLaterHolder(const ShardId& shard, Generation generation) const;
    /** Returns the loads that were sent within @p maximumAge, with their ages. */
    std::vector<protocol::ShardLoad> recentLoads(Duration maximumAge) const;
    /** Returns whether the load of each shard is known and was sent within @p maximumAge. */
    bool areAllRecent(Duration maximumAge) const;
    const std::vector<ShardId>& shards() const { return m_settings.shards; }
    /** Adds a job that arrives at a shard after @p delay to its load, until a load arrives that contains it. */
    void addAssignedJob(const ShardId& shard, const protocol::PlacedJob& job, Duration delay = Duration(0));
    /** Returns the shard with the lowest cost among those that can run the job and are not @p excluded, or nothing. */
    std::optional<ShardId> choose(
        const protocol::PlacedJob& job, const std::optional<ShardId>& excluded = std::nullopt) const;
    /** The holder of a shard could not be connected to: the shard is not chosen until a load arrives that is later than
        the present one. */
    void setUnreachable(const ShardId& shard) { m_loads[shard].isUnreachable = true; }
    /** Tells whether the failure domain of a shard is evacuated. Its shard is not chosen then. */
    void setEvacuated(const ShardId& shard, bool isEvacuated);
    /** Returns whether the failure domain of a shard is evacuated, by what this host or the shard's holder knows. */
    bool isEvacuated(const ShardId& shard) const;
    /** Returns whether the holder of a shard is known to live and to serve as home. */
    bool servesAsHome(const ShardId& shard) const;
    /** Returns whether the holder of some shard is of an earlier build, without homes. */
    bool hasHolderWithoutHomes() const;
    /** Returns the address of a shard's holder, or null if no holder is known. */
    const std::string* holderAddress(const ShardId& shard) const;
    /** Returns the clock of the host at holderAddress(), in milliseconds, or nothing if that host has sent no load. */
    std::optional<std::uint64_t> holderClock(const ShardId& shard) const;
    /** Returns whether at least one shard can accept jobs. */
    bool canServe() const;
    /** Returns the number of jobs of a queue that have not started any task. */
    std::uint32_t waitingJobs(const QueueId& queue) const;

private:
    struct LatestLoad {
        protocol::ShardLoad load;
        /** When the first host received it from the holder. */
        TimePoint receivedAt { distantPast };
        bool isUnreachable { false };
        /** Capacity requested by jobs that were sent to the shard and are not contained in the load, in millicores, by
           the time at which they arrive there, without the time of the last message. */
        std::multimap<TimePoint, std::uint64_t> assignedMillicores;
    };

    /** Returns the latest load of a shard if the host that sent it is the newest known holder, or null. */
    const LatestLoad* loadOfHolder(const ShardId& shard) const;
    bool isUsable(const LatestLoad& latest) const;
    /** Returns the cost of a shard as waiting time in milliseconds, or nothing if it cannot run the job. */
    std::optional<double> costOf(const ShardId& shard, const LatestLoad& latest, const protocol::PlacedJob& job) const;

    Settings m_settings;
    const FleetView& m_fleet;
    const Clock& m_clock;
    std::map<ShardId, LatestLoad> m_loads;
    std::set<ShardId> m_evacuated;
    /** Clocks of the hosts that have sent loads, by address. */
    std::map<std::string, RemoteClock> m_clocks;
};

}
