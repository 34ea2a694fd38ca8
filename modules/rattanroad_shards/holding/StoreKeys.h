#pragma once

#include "rattanroad_shards/types/ShardTypes.h"

namespace rattanroad::shards::storekeys {

/** Prefix of the keys of hosts and shard holders, which every host watches. */
inline const std::string fleetPrefix = "rattanroad/fleet/";
inline const std::string hostPrefix = fleetPrefix + "host/";
inline const std::string holderPrefix = fleetPrefix + "shard/";
/** Prefix of the keys with the generation of each shard, which are not attached to a lease. */
inline const std::string generationPrefix = "rattanroad/generation/";
inline const std::string jobPrefix = "rattanroad/job/";

inline std::string host(const HostId& host) { return hostPrefix + host.value(); }
inline std::string holder(const ShardId& shard) { return holderPrefix + shard.value(); }
inline std::string generation(const ShardId& shard) { return generationPrefix + shard.value(); }
inline std::string job(const JobId& job) { return jobPrefix + job.value(); }

}
