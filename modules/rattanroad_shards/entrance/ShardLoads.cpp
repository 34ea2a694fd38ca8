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
    LatestLoad& latest = m_loads[ShardId(load.shard())];
    if (load.generation() < latest.load.generation())
        return false;
    const bool isRepeated = load.generation() == latest.load.generation() && load.has_clock_ms()
        && latest.load.has_clock_ms() && load.clock_ms() <= latest.load.clock_ms();
    if (isRepeated)
        return false;
    // The address may have passed to another machine.
    if (load.generation() > latest.load.generation())
        m_clocks.erase(load.address());
    latest.load = load;
    latest.isUnreachable = false;
    latest.receivedAt = m_clock.now() - std::chrono::milliseconds(load.age_ms());
    auto& assigned = latest.assignedMillicores;
    assigned.erase(assigned.begin(), assigned.upper_bound(latest.receivedAt - m_settings.messageTime));
    if (load.has_clock_ms())
        m_clocks[load.address()].update(load.clock_ms(), latest.receivedAt);
    return true;
}

bool ShardLoads::hasLaterHolder(const ShardId& shard, Generation generation) const
{
    const auto latest = m_loads.find(shard);
    const ShardHolder* const holder = m_fleet.holder(shard);
    return (latest != m_loads.end() && latest->second.load.generation() > generation.value())
        || (holder && holder->generation > generation);
}

std::vector<protocol::ShardLoad> ShardLoads::recentLoads(Duration maximumAge) const
{
    std::vector<protocol::ShardLoad> loads;
    for (const auto& entry : m_loads) {
        const Duration age = m_clock.now() - entry.second.receivedAt;
        if (age >= maximumAge)
            continue;
        loads.push_back(entry.second.load);
        loads.back().set_age_ms(
            static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(age).count()));
    }
    return loads;
}

bool ShardLoads::areAllRecent(Duration maximumAge) const
{
    return std::all_of(m_settings.shards.begin(), m_settings.shards.end(), [&](const ShardId& shard) {
        const auto latest = m_loads.find(shard);
        return latest != m_loads.end() && m_clock.now() - latest->second.receivedAt < maximumAge;
    });
}

void ShardLoads::addAssignedJob(const ShardId& shard, const protocol::PlacedJob& job, Duration delay)
{
    std::uint64_t millicores = 0;
    for (const protocol::PhaseDescription& phase : job.phases())
        millicores += std::uint64_t { phase.count() } * phase.millicores();
    m_loads[shard].assignedMillicores.emplace(m_clock.now() + delay, millicores);
}

bool ShardLoads::isUsable(const LatestLoad& latest) const
{
    return m_clock.now() - latest.receivedAt < m_settings.maximumLoadAge && latest.load.targets() > 0
        && !latest.isUnreachable;
}

std::optional<ShardId> ShardLoads::choose(const protocol::PlacedJob& job, const std::optional<ShardId>& excluded) const
{
    std::optional<ShardId> best;
    double bestCost = 0;
    for (const ShardId& shard : m_settings.shards) {
        const auto latest = m_loads.find(shard);
        if (latest == m_loads.end() || !isUsable(latest->second) || isEvacuated(shard) || shard == excluded)
            continue;
        const auto cost = costOf(shard, latest->second, job);
        if (!cost || (best && *cost >= bestCost))
            continue;
        best = shard;
        bestCost = *cost;
    }
    return best;
}

void ShardLoads::setEvacuated(const ShardId& shard, bool isEvacuated)
{
    if (isEvacuated)
        m_evacuated.insert(shard);
    else
        m_evacuated.erase(shard);
}

bool ShardLoads::isEvacuated(const ShardId& shard) const
{
    const LatestLoad* const latest = loadOfHolder(shard);
    return m_evacuated.count(shard) != 0 || (latest && latest->load.evacuated());
}

std::optional<double> ShardLoads::costOf(
    const ShardId& shard, const LatestLoad& latest, const protocol::PlacedJob& job) const
{
    const protocol::ShardLoad& load = latest.load;
    const auto& services = load.services();
    if (std::find(services.begin(), services.end(), job.rule().service()) == services.end())
        return std::nullopt;
    const auto& labels = load.racks();
    const auto hasLabel = [&labels](const std::string& label) {
        return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
    };
    bool isDataLocal = true;
    for (const protocol::PhaseDescription& phase : job.phases()) {
        if (!hasLabel(phase.required_label()))
            return std::nullopt;
        isDataLocal = isDataLocal && hasLabel(phase.data_rack());
    }
    const auto total = static_cast<double>(load.total_millicores());
    auto used = total - static_cast<double>(load.free_millicores());
    for (const auto& assigned : latest.assignedMillicores)
        used += static_cast<double>(assigned.second);
    double cost = load.backlog_ms() + static_cast<double>(m_settings.fullLoadCost.count()) * used / total;
    if (shard.value() != m_settings.failureDomain.value())
        cost += static_cast<double>(m_settings.remoteDomainCost.count());
    if (!isDataLocal)
        cost += static_cast<double>(m_settings.remoteDataCost.count());
    return cost;
}

bool ShardLoads::servesAsHome(const ShardId& shard) const
{
    const LatestLoad* const latest = loadOfHolder(shard);
    return latest && latest->load.serves_as_home() && !latest->isUnreachable
        && m_clock.now() - latest->receivedAt < m_settings.maximumLoadAge;
}

bool ShardLoads::hasHolderWithoutHomes() const
{
    return std::any_of(m_loads.begin(), m_loads.end(),
        [this](const auto& entry) { return isUsable(entry.second) && !entry.second.load.serves_as_home(); });
}

const ShardLoads::LatestLoad* ShardLoads::loadOfHolder(const ShardId& shard) const
{
    const auto latest = m_loads.find(shard);
    const ShardHolder* const holder = m_fleet.holder(shard);
    // A host that cannot reach the store learns of a new holder from the load message of that holder.
    const bool isOfHolder
        = latest != m_loads.end() && (!holder || latest->second.load.generation() >= holder->generation.value());
    return isOfHolder ? &latest->second : nullptr;
}

const std::string* ShardLoads::holderAddress(const ShardId& shard) const
{
    if (const LatestLoad* const latest = loadOfHolder(shard))
        return &latest->load.address();
    const ShardHolder* const holder = m_fleet.holder(shard);
    return holder ? &holder->address : nullptr;
}

std::optional<std::uint64_t> ShardLoads::holderClock(const ShardId& shard) const
{
    const std::string* const address = holderAddress(shard);
    const auto clock = address ? m_clocks.find(*address) : m_clocks.end();
    return clock == m_clocks.end() ? std::nullopt : clock->second.estimate(m_clock.now());
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
