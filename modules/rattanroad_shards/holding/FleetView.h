#pragma once

#include "rattanroad_protocol/rattanroad_protocol.h"
#include "rattanroad_shards/store/KeyValueStore.h"
#include "rattanroad_shards/types/ShardTypes.h"

#include <map>
#include <optional>

namespace rattanroad::shards {

/** A live entry host. */
struct LiveHost {
    Incarnation incarnation;
    std::string address;
    FailureDomainId failureDomain;
    bool isDraining { false };
};

/** Who holds a shard. */
struct ShardHolder {
    HostId host;
    Incarnation incarnation;
    std::string address;
    Generation generation;
    /** Revision of the holder's key, which is its fencing token. */
    FencingToken token;
};

/** The live hosts and the holders of the shards, as the store says. */
class FleetView {
public:
    /** Calls @p malformed with each key whose value cannot be read; such a key is ignored. */
    explicit FleetView(std::function<void(const std::string& key)> malformed)
        : m_malformed(std::move(malformed))
    {
    }

    /** Takes a written key. Returns the shard whose holder changed. */
    std::optional<ShardId> keyWritten(const StoredItem& item);
    /** Takes a removed key. Returns the shard that has no holder any more. */
    std::optional<ShardId> keyRemoved(const std::string& key);

    const std::map<HostId, LiveHost>& hosts() const { return m_hosts; }
    const ShardHolder* holder(const ShardId& shard) const;
    const std::map<ShardId, ShardHolder>& holders() const { return m_holders; }

private:
    std::map<HostId, LiveHost> m_hosts;
    std::map<ShardId, ShardHolder> m_holders;
    std::function<void(const std::string& key)> m_malformed;
};

}
