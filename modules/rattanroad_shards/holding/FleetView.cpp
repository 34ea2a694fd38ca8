#include "rattanroad_shards/holding/FleetView.h"

#include "rattanroad_shards/holding/StoreKeys.h"

namespace rattanroad::shards {

namespace {
    bool startsWith(const std::string& text, const std::string& prefix)
    {
        return text.compare(0, prefix.size(), prefix) == 0;
    }
}

std::optional<HostId> FleetView::hostOfKey(const std::string& key)
{
    if (!startsWith(key, storekeys::hostPrefix))
        return std::nullopt;
    return HostId(key.substr(storekeys::hostPrefix.size()));
}

std::optional<ShardId> FleetView::keyWritten(const StoredItem& item)
{
    if (const auto host = hostOfKey(item.key)) {
        protocol::HostRecord record;
        if (!record.ParseFromString(item.value)) {
            m_malformed(item.key);
            return std::nullopt;
        }
        m_hosts[*host]
            = { Incarnation(record.incarnation()), record.address(), FailureDomainId(record.failure_domain()),
                  record.draining(), HostMillicores(record.processor_millicores()), record.subscribes_to_loads() };
        return std::nullopt;
    }
    if (!startsWith(item.key, storekeys::holderPrefix))
        return std::nullopt;
    protocol::ShardHolderRecord record;
    if (!record.ParseFromString(item.value)) {
        m_malformed(item.key);
        return std::nullopt;
    }
    const ShardId shard(item.key.substr(storekeys::holderPrefix.size()));
    m_holders[shard] = { HostId(record.host()), Incarnation(record.incarnation()), record.address(),
        Generation(record.generation()), FencingToken(item.revision.value()) };
    return shard;
}

std::optional<ShardId> FleetView::keyRemoved(const std::string& key)
{
    if (const auto host = hostOfKey(key)) {
        m_hosts.erase(*host);
        return std::nullopt;
    }
    if (!startsWith(key, storekeys::holderPrefix))
        return std::nullopt;
    const ShardId shard(key.substr(storekeys::holderPrefix.size()));
    m_holders.erase(shard);
    return shard;
}

const ShardHolder* FleetView::holder(const ShardId& shard) const
{
    const auto found = m_holders.find(shard);
    return found == m_holders.end() ? nullptr : &found->second;
}

}
