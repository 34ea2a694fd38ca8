#pragma once

#include "rattanroad_shards/holding/FleetView.h"

#include <map>
#include <optional>

namespace rattanroad::shards {

/** The loads that the holders of the shards send, and the choice of the shard for a new job. */
class ShardLoads {
public:
    struct Settings {
        FailureDomainId failureDomain;
        /** Shards by failure domain of their targets. */
        std::vector<ShardId> shards;
        /** Loads are sent ten times a second; a holder that is silent for longer may be gone. */
        std::chrono::milliseconds loadLimit { 450 };
        /** Cost of another failure domain, as a wait. */
        std::chrono::milliseconds remoteCost { 10 };
        /** Cost of a shard without the rack that holds the data: about the run time of a short task. */
        std::chrono::milliseconds dataCost { 60 };
        /** Cost of a shard all of whose room is taken, as a wait. */
        std::chrono::milliseconds fullCost { 60 };
    };

    ShardLoads(Settings settings, const FleetView& fleet, const Clock& clock);
    ShardLoads(const ShardLoads&) = delete;
    ShardLoads& operator=(const ShardLoads&) = delete;

    /** Takes a load. Returns false for one of an earlier holder. */
    bool received(const protocol::ShardLoad& load);
    /** Counts a job that was sent to a shard as load until the next one arrives. */
    void handOut(const ShardId& shard, const protocol::PlacedJob& job);
    /** Returns the shard with the lowest cost that can run the job, or nothing. */
    std::optional<ShardId> choose(const protocol::PlacedJob& job) const;
    /** Returns the address of a shard's holder, or null. */
    const std::string* holderAddress(const ShardId& shard) const;
    /** Returns whether some shard can take jobs. */
    bool canServe() const;
    /** Returns the number of jobs of a queue of which no task has started. */
    std::uint32_t waitingJobs(const QueueId& queue) const;

private:
    struct Seen {
        protocol::ShardLoad load;
        TimePoint seenAt;
        /** Room that was handed out since, in millicores. */
        std::uint64_t handedOut { 0 };
    };

    bool isUsable(const Seen& seen) const;
    /** Returns the cost of a shard as a wait in milliseconds, or nothing when it cannot run the job. */
    std::optional<double> costOf(const ShardId& shard, const Seen& seen, const protocol::PlacedJob& job) const;

    Settings m_settings;
    const FleetView& m_fleet;
    const Clock& m_clock;
    std::map<ShardId, Seen> m_loads;
};

}
