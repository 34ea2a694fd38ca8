#pragma once

#include "rattanroad_shards/types/ShardTypes.h"

namespace rattanroad::shards::storekeys {

/** Hosts and shard holders: watched by every host. */
inline const std::string fleetPrefix = "rattanroad/fleet/";
inline const std::string hostPrefix = fleetPrefix + "host/";
inline const std::string holderPrefix = fleetPrefix + "shard/";
/** Number of holders that a shard has had; outlives the holder's lease. */
inline const std::string generationPrefix = "rattanroad/generation/";
inline const std::string jobPrefix = "rattanroad/job/";

inline std::string host(const HostId& host) { return hostPrefix + host.value(); }
inline std::string holder(const ShardId& shard) { return holderPrefix + shard.value(); }
inline std::string generation(const ShardId& shard) { return generationPrefix + shard.value(); }
inline std::string job(const JobId& job) { return jobPrefix + job.value(); }

}
