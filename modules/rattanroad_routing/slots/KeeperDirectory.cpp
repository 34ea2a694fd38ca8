#include "rattanroad_routing/slots/KeeperDirectory.h"

#include <algorithm>
#include <optional>

namespace rattanroad {

namespace {

    // Keepers of another region are used only when no nearer keeper runs the kind, which is the case when a rule sends
    // the kind to that region.
    constexpr int otherRegionDistance = 3;
    constexpr Duration defaultRunTime = std::chrono::milliseconds(200);
    constexpr int runTimeSmoothingDivisor = 16;

    Duration fromMilliseconds(std::uint32_t value) { return std::chrono::milliseconds(value); }

}

KeeperDirectory::KeeperDirectory(const Clock& clock, RandomSource& random)
    : m_clock(clock)
    , m_random(random)
{
}

void KeeperDirectory::setKeepers(std::vector<SlotBorrower::KeeperOffer> keepers)
{
    std::map<HostId, Keeper> next;
    for (auto& offer : keepers) {
        const auto known = m_keepers.find(offer.host);
        Keeper keeper = known != m_keepers.end() ? std::move(known->second) : Keeper {};
        const bool isNewer = known == m_keepers.end() || offer.advertisedAt > keeper.advertisedAt;
        keeper.host = offer.host;
        keeper.distance = offer.distance;
        if (isNewer) {
            keeper.advertisedAt = offer.advertisedAt;
            // Kinds that are no longer advertised keep their count of slots in flight.
            for (auto& [kind, entry] : keeper.offers)
                replaceOffer(entry, {});
            for (const auto& slots : offer.freeSlots)
                replaceOffer(keeper.offers[WorkKind(slots.kind())], slots);
        }
        next.emplace(std::move(offer.host), std::move(keeper));
    }
    m_keepers = std::move(next);
}

void KeeperDirectory::replaceOffer(Offer& entry, const protocol::FreeSlots& slots)
{
    entry.free = slots.free();
    entry.total = slots.total();
    entry.wait = fromMilliseconds(slots.expected_wait_ms());
    entry.requestedSince = entry.inFlight;
}

void KeeperDirectory::updateOffer(const HostId& keeper, const protocol::FreeSlots& offer)
{
    const auto found = m_keepers.find(keeper);
    if (found != m_keepers.end())
        replaceOffer(found->second.offers[WorkKind(offer.kind())], offer);
}

void KeeperDirectory::addInFlight(const HostId& keeper, const WorkKind& kind, std::int64_t count)
{
    const auto found = m_keepers.find(keeper);
    if (found == m_keepers.end())
        return;
    auto& entry = found->second.offers[kind];
    entry.inFlight = std::max<std::int64_t>(0, entry.inFlight + count);
}

std::vector<KeeperDirectory::Candidate> KeeperDirectory::candidates(
    const WorkKind& kind, const std::set<HostId>& refusedBy)
{
    std::vector<Candidate> all;
    for (auto& [host, keeper] : m_keepers) {
        if (!refusedBy.count(host))
            all.push_back({ &keeper, nullptr, 0 });
    }
    const auto keepIfAny = [&](auto predicate) {
        const auto end = std::stable_partition(all.begin(), all.end(), predicate);
        if (end != all.begin())
            all.erase(end, all.end());
    };
    keepIfAny([&](const Candidate& each) {
        const auto offer = each.keeper->offers.find(kind);
        return offer != each.keeper->offers.end() && offer->second.total > 0;
    });
    keepIfAny([](const Candidate& each) { return each.keeper->distance < otherRegionDistance; });
    keepIfAny([&](const Candidate& each) { return each.keeper->suspectUntil <= m_clock.now(); });
    for (auto& each : all)
        each.offer = &each.keeper->offers[kind];
    return all;
}

std::vector<KeeperDirectory::Share> KeeperDirectory::divide(
    const WorkKind& kind, std::uint32_t count, const std::set<HostId>& refusedBy)
{
    auto candidates = this->candidates(kind, refusedBy);
    if (candidates.empty())
        return {};
    assignQueuedSlots(candidates, kind, assignFreeSlots(candidates, count));
    std::vector<Share> shares;
    for (const auto& each : candidates) {
        if (each.share == 0)
            continue;
        each.offer->requestedSince += each.share;
        shares.push_back({ each.keeper->host, each.share });
    }
    return shares;
}

std::uint32_t KeeperDirectory::assignFreeSlots(std::vector<Candidate>& candidates, std::uint32_t count)
{
    // The order is random, weighted by free slots, so that hosts with the same advertisements do not all send their
    // requests to the same keeper.
    std::vector<std::pair<double, Candidate*>> order;
    for (auto& each : candidates) {
        const auto free = each.offer->estimatedFree();
        if (free > 0)
            order.emplace_back(each.keeper->distance
                    - m_random.uniform() * static_cast<double>(free) / static_cast<double>(free + count),
                &each);
    }
    std::sort(order.begin(), order.end(), [](const auto& left, const auto& right) { return left.first < right.first; });
    for (auto& [rank, each] : order) {
        each->share = static_cast<std::uint32_t>(std::min<std::int64_t>(count, each->offer->estimatedFree()));
        count -= each->share;
    }
    return count;
}

void KeeperDirectory::assignQueuedSlots(
    std::vector<Candidate>& candidates, const WorkKind& kind, std::uint32_t count) const
{
    // Steps of a sixteenth of the count bound the work for large jobs; the waits are only estimates.
    const std::uint32_t step = std::max<std::uint32_t>(1, count / 16);
    while (count > 0) {
        const auto wait = [&](const Candidate& each) { return estimatedWait(*each.offer, kind, each.share); };
        const auto best = std::min_element(
            candidates.begin(), candidates.end(), [&](const Candidate& left, const Candidate& right) {
                return std::make_pair(wait(left), left.keeper->distance)
                    < std::make_pair(wait(right), right.keeper->distance);
            });
        const auto taken = std::min(step, count);
        best->share += taken;
        count -= taken;
    }
}

Duration KeeperDirectory::estimatedWait(const Offer& offer, const WorkKind& kind, std::int64_t extra) const
{
    const std::int64_t ahead = std::max<std::int64_t>(0, offer.requestedSince + extra - offer.free);
    return offer.wait + meanRunTime(kind) * ahead / std::max<std::int64_t>(1, offer.total);
}

std::uint32_t KeeperDirectory::freeElsewhere(
    const WorkKind& kind, const HostId& current, const std::set<HostId>& refusedBy) const
{
    std::int64_t free = 0;
    for (const auto& [host, keeper] : m_keepers) {
        const auto offer = keeper.offers.find(kind);
        if (host == current || refusedBy.count(host) || keeper.distance >= otherRegionDistance
            || offer == keeper.offers.end() || keeper.suspectUntil > m_clock.now())
            continue;
        free += offer->second.estimatedFree();
    }
    return static_cast<std::uint32_t>(free);
}

void KeeperDirectory::addRequested(const HostId& keeper, const WorkKind& kind, std::int64_t count)
{
    const auto found = m_keepers.find(keeper);
    if (found == m_keepers.end())
        return;
    const auto offer = found->second.offers.find(kind);
    if (offer != found->second.offers.end())
        offer->second.requestedSince += count;
}

void KeeperDirectory::markSuspect(const HostId& keeper, TimePoint until)
{
    const auto found = m_keepers.find(keeper);
    if (found != m_keepers.end())
        found->second.suspectUntil = until;
}

void KeeperDirectory::recordMessage(const HostId& keeper)
{
    const auto found = m_keepers.find(keeper);
    if (found == m_keepers.end())
        return;
    found->second.lastMessageAt = m_clock.now();
    found->second.suspectUntil = {};
}

bool KeeperDirectory::hasMessageSince(const HostId& keeper, TimePoint time) const
{
    const auto found = m_keepers.find(keeper);
    return found != m_keepers.end() && found->second.lastMessageAt > time;
}

void KeeperDirectory::recordRunTime(const WorkKind& kind, Duration runTime)
{
    const auto [entry, isNew] = m_meanRunTimes.try_emplace(kind, runTime);
    if (!isNew)
        entry->second += (runTime - entry->second) / runTimeSmoothingDivisor;
}

Duration KeeperDirectory::meanRunTime(const WorkKind& kind) const
{
    const auto found = m_meanRunTimes.find(kind);
    return found == m_meanRunTimes.end() ? defaultRunTime : found->second;
}

Duration KeeperDirectory::expectedWait(const WorkKind& kind) const
{
    // Keepers of another region count only when no nearer keeper runs the kind, as in candidates().
    std::optional<Duration> near;
    std::optional<Duration> far;
    for (const auto& [host, keeper] : m_keepers) {
        const auto offer = keeper.offers.find(kind);
        if (offer == keeper.offers.end() || offer->second.total == 0)
            continue;
        const bool isFree = offer->second.estimatedFree() > 0;
        const auto wait = isFree ? Duration(0) : estimatedWait(offer->second, kind, 1);
        auto& shortest = keeper.distance < otherRegionDistance ? near : far;
        shortest = std::min(shortest.value_or(wait), wait);
    }
    // Without any advertisement the wait is unknown; 0 keeps work from being refused for that.
    return near.value_or(far.value_or(Duration(0)));
}

}
