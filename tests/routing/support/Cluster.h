#pragma once

#include "routing/support/KeeperFixture.h"

#include <algorithm>

namespace rattanroad::test {

/** Simulates hosts with a keeper and a borrower each, and targets that run tasks, on a virtual clock of 1 ms steps. */
class Cluster {
public:
    struct Host {
        HostId id;
        std::unique_ptr<SlotKeeper> keeper;
        std::unique_ptr<SlotBorrower> borrower;
        std::vector<TargetId> kept;
        bool isAlive { true };
    };
    /** How a target runs its tasks; failing tasks end after failureTime. */
    struct Behaviour {
        double slowdown { 1 };
        double failureShare { 0 };
        std::chrono::milliseconds failureTime { 1 };
    };
    struct Network {
        int minimumDelayMs { 1 };
        int maximumDelayMs { 1 };
        double lossShare { 0 };
        double duplicateShare { 0 };
    };

    Cluster(
        int hostCount, std::shared_ptr<const Inventory> initialInventory, std::uint64_t seed, double wasteWeight = 0.5)
        : random(seed)
        , inventory(std::move(initialInventory))
    {
        for (int index = 0; index < hostCount; ++index) {
            auto& host = *hosts.emplace_back(std::make_unique<Host>());
            host.id = HostId("h" + std::to_string(index));
            const auto send = [this, &host](const HostId& to, protocol::Envelope&& envelope) {
                sendMessage(host.id, to, std::move(envelope));
            };
            SlotKeeper::Settings keeperSettings;
            keeperSettings.wasteWeight = wasteWeight;
            host.keeper = std::make_unique<SlotKeeper>(keeperSettings, clock, random, SlotKeeper::Hooks { send });
            SlotBorrower::Settings settings;
            settings.self = host.id;
            settings.wasteWeight = wasteWeight;
            const auto bind
                = [this, &host](DemandId id, const BorrowedSlot& slot) { return startTask(host, id, slot); };
            const auto refuse = [this](DemandId, const Failure& reason) { refusals.push_back(reason); };
            host.borrower
                = std::make_unique<SlotBorrower>(settings, clock, random, SlotBorrower::Hooks { send, bind, refuse });
        }
    }

    /** Assigns target i to the live host with index i + @p shift, modulo the number of live hosts. */
    void assignTargets(std::size_t shift = 0)
    {
        std::vector<HostId> live;
        for (const auto& host : hosts) {
            if (host->isAlive)
                live.push_back(host->id);
        }
        std::map<HostId, std::vector<TargetId>> kept;
        const auto& targets = inventory->parts().targets;
        for (std::size_t index = 0; index < targets.size(); ++index)
            kept[live[(index + shift) % live.size()]].push_back(targets[index].id);
        // Earlier keepers release their targets first, as preventing two keepers at a time is left to the membership.
        for (const auto& host : hosts) {
            auto remaining = host->kept;
            remaining.erase(std::remove_if(remaining.begin(), remaining.end(),
                                [&](const TargetId& id) {
                                    const auto& next = kept[host->id];
                                    return std::find(next.begin(), next.end(), id) == next.end();
                                }),
                remaining.end());
            host->keeper->setKeptTargets(inventory, remaining, live);
        }
        for (const auto& host : hosts) {
            host->kept = kept[host->id];
            if (host->isAlive)
                host->keeper->setKeptTargets(inventory, host->kept, live);
        }
    }

    /** Adds a demand for @p count tasks at a host. @p baseRunTime is their declared run time, and the actual one on a
        target without slowdown.
    */
    DemandId submit(std::size_t host, std::uint32_t count, std::chrono::milliseconds baseRunTime)
    {
        WorkDemand demand;
        demand.kind = quoteKind;
        demand.team = TeamId("buyers");
        demand.count = count;
        demand.arrivedAt = clock.now();
        demand.declared = baseRunTime;
        const auto id = hosts[host]->borrower->addDemand(demand);
        m_jobs[{ hosts[host]->id, id }] = { count, baseRunTime, clock.now() };
        return id;
    }

    /** Advances the clock by @p time, calling @p beforeStep before each step. */
    void run(std::chrono::milliseconds time, const std::function<void()>& beforeStep = {})
    {
        for (std::int64_t step = 0; step < time.count(); ++step) {
            if (beforeStep)
                beforeStep();
            if (step % 250 == 0)
                advertise();
            while (!m_events.empty() && m_events.begin()->first <= clock.now()) {
                const auto event = std::move(m_events.begin()->second);
                m_events.erase(m_events.begin());
                event();
            }
            for (const auto& host : hosts) {
                if (!host->isAlive)
                    continue;
                host->keeper->tick();
                host->borrower->tick();
                host->keeper->flush();
                host->borrower->flush();
            }
            clock.advance(std::chrono::milliseconds(1));
        }
    }

    /** Stops a host with its tasks, and assigns its targets to the remaining hosts. */
    void kill(std::size_t index)
    {
        hosts[index]->isAlive = false;
        for (auto& [target, count] : runningPerTarget)
            count -= std::exchange(m_runningPerHostAndTarget[{ hosts[index]->id, target }], 0);
        for (const auto& host : hosts) {
            if (host->isAlive)
                host->keeper->hostDied(hosts[index]->id);
        }
        advertise();
        assignTargets();
    }

    std::uint32_t slotsInUse() const
    {
        std::uint32_t sum = 0;
        for (const auto& host : hosts) {
            for (const auto& status : host->keeper->status())
                sum += host->isAlive ? status.used.value() : 0;
        }
        return sum;
    }

    VirtualClock clock;
    PcgRandomSource random;
    std::shared_ptr<const Inventory> inventory;
    std::vector<std::unique_ptr<Host>> hosts;
    Network network;
    std::map<TargetId, Behaviour> behaviours;
    std::vector<Failure> refusals;
    std::uint64_t started { 0 };
    std::uint64_t succeeded { 0 };
    std::uint64_t failed { 0 };
    std::uint64_t messages { 0 };
    Duration totalWait { 0 };
    std::map<TargetId, int> runningPerTarget;
    std::map<TargetId, int> maximumRunning;
    std::map<TargetId, int> startedPerTarget;

private:
    struct Job {
        std::uint32_t unstarted { 0 };
        std::chrono::milliseconds baseRunTime;
        TimePoint arrivedAt;
    };

    void sendMessage(const HostId& from, const HostId& to, protocol::Envelope&& envelope)
    {
        messages += from == to ? 0 : 1;
        if (from != to && random.uniform() < network.lossShare)
            return;
        const int copies = from != to && random.uniform() < network.duplicateShare ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const auto spread = static_cast<std::uint64_t>(network.maximumDelayMs - network.minimumDelayMs) + 1;
            const auto delay = from == to ? 0 : network.minimumDelayMs + static_cast<int>(random.below(spread));
            m_events.emplace(clock.now() + std::chrono::milliseconds(delay),
                [this, from, to, envelope] { deliver(from, to, envelope); });
        }
    }

    void deliver(const HostId& from, const HostId& to, const protocol::Envelope& envelope)
    {
        for (const auto& host : hosts) {
            if (host->id != to || !host->isAlive)
                continue;
            host->keeper->peerMessage(from, envelope);
            host->borrower->peerMessage(from, envelope);
        }
    }

    bool startTask(Host& host, DemandId id, const BorrowedSlot& slot)
    {
        const auto found = m_jobs.find({ host.id, id });
        if (found == m_jobs.end() || found->second.unstarted == 0)
            return false;
        auto& job = found->second;
        --job.unstarted;
        ++started;
        ++startedPerTarget[slot.target];
        totalWait += clock.now() - job.arrivedAt;
        maximumRunning[slot.target] = std::max(maximumRunning[slot.target], ++runningPerTarget[slot.target]);
        ++m_runningPerHostAndTarget[{ host.id, slot.target }];
        const auto& behaviour = behaviours[slot.target];
        const bool isFailing = random.uniform() < behaviour.failureShare;
        const auto runTime = isFailing ? Duration(behaviour.failureTime)
                                       : std::chrono::duration_cast<Duration>(job.baseRunTime * behaviour.slowdown);
        m_events.emplace(clock.now() + runTime,
            [=, &host, declared = job.baseRunTime] { finishTask(host, slot, isFailing, runTime, declared); });
        return true;
    }

    void finishTask(
        Host& host, const BorrowedSlot& slot, bool isFailing, Duration runTime, std::chrono::milliseconds declared)
    {
        if (!host.isAlive)
            return;
        --runningPerTarget[slot.target];
        --m_runningPerHostAndTarget[{ host.id, slot.target }];
        (isFailing ? failed : succeeded) += 1;
        host.borrower->release(slot, isFailing ? SlotUse::Failed : SlotUse::Succeeded, quoteKind, runTime, declared);
    }

    void advertise()
    {
        std::vector<SlotBorrower::KeeperOffer> offers;
        for (const auto& host : hosts) {
            if (host->isAlive)
                offers.push_back({ host->id, 1, host->keeper->freeSlots(), clock.now() });
        }
        for (const auto& host : hosts) {
            auto hostOffers = offers;
            for (auto& offer : hostOffers)
                offer.distance = offer.host == host->id ? 0 : 1;
            host->borrower->setKeepers(std::move(hostOffers));
        }
    }

    std::map<std::pair<HostId, DemandId>, Job> m_jobs;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::map<std::pair<HostId, TargetId>, int> m_runningPerHostAndTarget;
};

}
