#pragma once

#include "rattanroad_protocol/rattanroad_protocol.h"
#include "rattanroad_shards/store/KeyValueStore.h"
#include "rattanroad_shards/types/ShardTypes.h"

#include <map>
#include <optional>

namespace rattanroad::shards {

/** A live host, as it registered itself in the store. */
struct LiveHost {
    Incarnation incarnation;
    std::string address;
    FailureDomainId failureDomain;
    bool isDraining { false };
    HostMillicores processor;
    /** False for a host of an earlier build, to which holders send their loads unasked. */
    bool subscribesToLoads { false };
};

/** The current holder of a shard. */
struct ShardHolder {
    HostId host;
    Incarnation incarnation;
    std::string address;
    Generation generation;
    /** Revision of the holder's key, which is its fencing token. */
    FencingToken token;
};

/** Live hosts and shard holders, as registered in the store. */
class FleetView {
public:
    /** Calls @p malformed with each key whose value cannot be parsed; such a key is ignored. */
    explicit FleetView(std::function<void(const std::string& key)> malformed)
        : m_malformed(std::move(malformed))
    {
    }

    /** Returns the host that a key belongs to, if it is the key of a host. */
    static std::optional<HostId> hostOfKey(const std::string& key);
    /** Processes a written key. Returns the shard whose holder changed, if any. */
    std::optional<ShardId> keyWritten(const StoredItem& item);
    /** Processes a removed key. Returns the shard that no longer has a holder, if any. */
    std::optional<ShardId> keyRemoved(const std::string& key);

    const std::map<HostId, LiveHost>& hosts() const { return m_hosts; }
    /** Returns null for a shard without a holder. */
    const ShardHolder* holder(const ShardId& shard) const;
    const std::map<ShardId, ShardHolder>& holders() const { return m_holders; }

private:
    std::map<HostId, LiveHost> m_hosts;
    std::map<ShardId, ShardHolder> m_holders;
    std::function<void(const std::string& key)> m_malformed;
};

}
