#include "rattanroad_shards/entrance/ShardLoads.h"

#include <algorithm>

namespace rattanroad::shards {

ShardLoads::ShardLoads(Settings settings, const FleetView& fleet, const Clock& clock)
    : m_settings(std::move(settings))
    , m_fleet(fleet)
    , m_clock(clock)
{
}

bool ShardLoads::received(const protocol::ShardLoad& load)
{
    Seen& seen = m_loads[ShardId(load.shard())];
    if (load.generation() < seen.load.generation())
        return false;
    seen = { load, m_clock.now(), 0 };
    return true;
}

void ShardLoads::handOut(const ShardId& shard, const protocol::PlacedJob& job)
{
    std::uint64_t wanted = 0;
    for (const protocol::PhaseDescription& phase : job.phases())
        wanted += std::uint64_t { phase.count() } * phase.millicores();
    m_loads[shard].handedOut += wanted;
}

bool ShardLoads::isUsable(const Seen& seen) const
{
    return m_clock.now() - seen.seenAt < m_settings.loadLimit && seen.load.targets() > 0;
}

std::optional<ShardId> ShardLoads::choose(const protocol::PlacedJob& job) const
{
    std::optional<ShardId> best;
    double bestCost = 0;
    for (const ShardId& shard : m_settings.shards) {
        const auto seen = m_loads.find(shard);
        if (seen == m_loads.end() || !isUsable(seen->second))
            continue;
        const auto cost = costOf(shard, seen->second, job);
        if (!cost || (best && *cost >= bestCost))
            continue;
        best = shard;
        bestCost = *cost;
    }
    return best;
}

std::optional<double> ShardLoads::costOf(const ShardId& shard, const Seen& seen, const protocol::PlacedJob& job) const
{
    const protocol::ShardLoad& load = seen.load;
    const auto& services = load.services();
    if (std::find(services.begin(), services.end(), job.rule().service()) == services.end())
        return std::nullopt;
    const auto& labels = load.racks();
    const auto hasLabel = [&labels](const std::string& label) {
        return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
    };
    bool isNear = true;
    for (const protocol::PhaseDescription& phase : job.phases()) {
        if (!hasLabel(phase.required_label()))
            return std::nullopt;
        isNear = isNear && hasLabel(phase.data_rack());
    }
    const auto total = static_cast<double>(load.total_millicores());
    const auto used = total - static_cast<double>(load.free_millicores()) + static_cast<double>(seen.handedOut);
    double cost = load.backlog_ms() + static_cast<double>(m_settings.fullCost.count()) * used / total;
    if (shard.value() != m_settings.failureDomain.value())
        cost += static_cast<double>(m_settings.remoteCost.count());
    if (!isNear)
        cost += static_cast<double>(m_settings.dataCost.count());
    return cost;
}

const std::string* ShardLoads::holderAddress(const ShardId& shard) const
{
    const auto seen = m_loads.find(shard);
    const ShardHolder* const holder = m_fleet.holder(shard);
    // A host that is cut off from the store learns of a new holder from its load.
    if (seen != m_loads.end() && (!holder || seen->second.load.generation() >= holder->generation.value()))
        return &seen->second.load.address();
    return holder ? &holder->address : nullptr;
}

bool ShardLoads::canServe() const
{
    return std::any_of(m_loads.begin(), m_loads.end(), [this](const auto& entry) { return isUsable(entry.second); });
}

std::uint32_t ShardLoads::waitingJobs(const QueueId& queue) const
{
    std::uint32_t waiting = 0;
    for (const auto& entry : m_loads) {
        for (const protocol::QueueDepth& depth : entry.second.load.depths())
            waiting += depth.queue() == queue.value() ? depth.waiting_jobs() : 0;
    }
    return waiting;
}

}
