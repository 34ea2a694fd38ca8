#include "simulation/run/FaultPlan.h"

#include <algorithm>
#include <sstream>

namespace rattanroad {

namespace {

    using Kind = FaultPlan::Kind;

    constexpr int mostFaults = 6;
    // Takeover needs 1.5 s of silence and a store access, so freezes up to 6 s lie on both sides of it.
    constexpr Duration shortestFault = std::chrono::milliseconds(100);
    constexpr Duration longestFault = std::chrono::seconds(6);
    constexpr Duration drainCheckInterval = std::chrono::milliseconds(500);

    Duration between(RandomSource& random, Duration low, Duration high)
    {
        return low
            + Duration(static_cast<std::int64_t>(random.below(static_cast<std::uint64_t>((high - low).count()))));
    }

    const FailureDomainId& domainOf(const Fleet& fleet, std::size_t host)
    {
        return fleet.settings().hosts[host].failureDomain;
    }

    // A drained process ends by itself; its host starts a new one then.
    void restartWhenEnded(Fleet& fleet, std::size_t host)
    {
        if (!fleet.isAlive(host)) {
            fleet.restart(host);
            return;
        }
        fleet.queue().after(drainCheckInterval, [&fleet, host] { restartWhenEnded(fleet, host); });
    }

}

FaultPlan FaultPlan::draw(RandomSource& random, std::size_t hosts, std::size_t targets, Duration from, Duration until)
{
    FaultPlan plan;
    const int count = 1 + static_cast<int>(random.below(mostFaults));
    for (int index = 0; index < count; index++) {
        Fault fault;
        fault.kind = static_cast<Kind>(random.below(kindCount));
        const bool isTogether = !plan.m_faults.empty() && random.uniform() < 0.3;
        fault.at = isTogether ? plan.m_faults.back().at : between(random, from, until);
        fault.lasts = between(random, shortestFault, longestFault);
        const bool isAboutTarget = fault.kind == Kind::LeaveTarget || fault.kind == Kind::FailTargets
            || fault.kind == Kind::SlowTarget || fault.kind == Kind::FreezeTarget;
        const std::size_t choices = isAboutTarget ? targets : hosts;
        fault.first = random.below(choices);
        fault.second = (fault.first + 1 + random.below(choices - 1)) % choices;
        plan.m_faults.push_back(fault);
    }
    std::stable_sort(plan.m_faults.begin(), plan.m_faults.end(),
        [](const Fault& left, const Fault& right) { return left.at < right.at; });
    return plan;
}

void FaultPlan::schedule(Fleet& fleet, const std::function<void()>& cancelWave) const
{
    for (const Fault& fault : m_faults) {
        fleet.queue().after(fault.at, [&fleet, fault, cancelWave] { apply(fleet, fault, cancelWave); });
        fleet.queue().after(fault.at + fault.lasts, [&fleet, fault] { heal(fleet, fault); });
    }
}

void FaultPlan::apply(Fleet& fleet, const Fault& fault, const std::function<void()>& cancelWave)
{
    switch (fault.kind) {
    case Kind::KillHost:
        return fleet.kill(fault.first);
    case Kind::FreezeHost:
        return fleet.setFrozen(fault.first, true);
    case Kind::CutDomains:
        return fleet.cut(domainOf(fleet, fault.first), domainOf(fleet, fault.second), false);
    case Kind::CutOneWay:
        return fleet.cut(domainOf(fleet, fault.first), domainOf(fleet, fault.second), true);
    case Kind::CutStore:
        return fleet.cut(domainOf(fleet, fault.first), FailureDomainId("store"), false);
    case Kind::StoreDown:
    case Kind::StoreSlow:
    case Kind::StoreLosesReplies:
    case Kind::StoreStale:
        return applyStoreFault(fleet, fault);
    case Kind::DisturbNetwork:
        return fleet.network().setDisturbance({ 0.02, 0.05, 0.1, std::chrono::milliseconds(50) });
    case Kind::RaceOperators:
        for (const char* author : { "first", "second", "third" })
            fleet.writeConfiguration(author);
        return;
    case Kind::LeaveTarget:
        return fleet.setLeaving(fault.first, true);
    case Kind::FailTargets:
        fleet.targets().setFailsEverything(fault.first, true);
        return fleet.targets().setFailsEverything(fault.second, true);
    case Kind::SlowTarget:
        return fleet.targets().setSlowdown(fault.first, 10);
    case Kind::FreezeTarget:
        return fleet.targets().setFrozen(fault.first, true);
    case Kind::CancelWave:
        return cancelWave();
    case Kind::DrainHost:
        fleet.drain(fault.first);
        return restartWhenEnded(fleet, fault.first);
    }
}

void FaultPlan::applyStoreFault(Fleet& fleet, const Fault& fault)
{
    FakeStore::Faults faults;
    faults.isDown = fault.kind == Kind::StoreDown;
    if (fault.kind == Kind::StoreSlow)
        faults.slowness = std::chrono::seconds(1);
    if (fault.kind == Kind::StoreLosesReplies)
        faults.lostReplies = 0.5;
    if (fault.kind == Kind::StoreStale)
        faults.staleness = std::chrono::seconds(2);
    fleet.store().setFaults(faults);
}

void FaultPlan::heal(Fleet& fleet, const Fault& fault)
{
    switch (fault.kind) {
    case Kind::KillHost:
        return fleet.restart(fault.first);
    case Kind::FreezeHost:
        return fleet.setFrozen(fault.first, false);
    case Kind::CutDomains:
    case Kind::CutOneWay:
    case Kind::CutStore:
        return fleet.healCuts();
    case Kind::StoreDown:
    case Kind::StoreSlow:
    case Kind::StoreLosesReplies:
    case Kind::StoreStale:
        return fleet.store().setFaults({});
    case Kind::DisturbNetwork:
        return fleet.network().setDisturbance({});
    case Kind::LeaveTarget:
        return fleet.setLeaving(fault.first, false);
    case Kind::FailTargets:
        fleet.targets().setFailsEverything(fault.first, false);
        return fleet.targets().setFailsEverything(fault.second, false);
    case Kind::SlowTarget:
        return fleet.targets().setSlowdown(fault.first, 1);
    case Kind::FreezeTarget:
        return fleet.targets().setFrozen(fault.first, false);
    case Kind::RaceOperators:
    case Kind::CancelWave:
    case Kind::DrainHost:
        return;
    }
}

Duration FaultPlan::healedAt() const
{
    Duration latest { 0 };
    for (const Fault& fault : m_faults)
        latest = std::max(latest, fault.at + fault.lasts);
    return latest;
}

std::string FaultPlan::text() const
{
    std::ostringstream text;
    for (const Fault& fault : m_faults) {
        const auto milliseconds
            = [](Duration time) { return std::chrono::duration_cast<std::chrono::milliseconds>(time).count(); };
        text << "  at " << milliseconds(fault.at) << " ms for " << milliseconds(fault.lasts)
             << " ms: " << name(fault.kind) << " " << fault.first << " " << fault.second << "\n";
    }
    return text.str();
}

const char* name(FaultPlan::Kind kind)
{
    static constexpr const char* names[] { "kill-host", "freeze-host", "cut-domains", "cut-one-way", "cut-store",
        "store-down", "store-slow", "store-loses-replies", "store-stale", "disturb-network", "race-operators",
        "leave-target", "fail-targets", "slow-target", "freeze-target", "cancel-wave", "drain-host" };
    static_assert(sizeof(names) / sizeof(names[0]) == FaultPlan::kindCount, "a kind has no name");
    return names[static_cast<int>(kind)];
}

}
