// Prints what lending slots costs: grants per second and core, and memory per target and per waiting demand, for 28
// keepers in one process. Usage: benchmark_slots [seconds per measurement]
#include "rattanroad_core/rattanroad_core.h"
#include "rattanroad_inventory/inventory/Inventory.h"
#include "rattanroad_routing/rattanroad_routing.h"

#include <malloc.h>

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <memory>
#include <string>
#include <vector>

using namespace rattanroad;

namespace {

constexpr int keeperCount = 28;
constexpr int teamCount = 34;
constexpr std::uint32_t slotsPerTarget = 8;
constexpr std::uint32_t tasksPerDemand = 25;

std::size_t heapBytes() { return mallinfo2().uordblks; }

double processorSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

std::shared_ptr<const Inventory> makeInventory(int targetCount)
{
    Inventory::Parts parts;
    parts.failureDomains.push_back({ FailureDomainId("remera"), RegionId("kigali") });
    for (int index = 0; index < targetCount; ++index) {
        const auto number = std::to_string(index);
        parts.workers.push_back({ WorkerId("worker-" + number), FailureDomainId("remera"), RackId("rack-1"),
            { 32, MebibyteCount(131072), 0 } });
        Target target;
        target.id = TargetId("target-" + number);
        target.worker = WorkerId("worker-" + number);
        target.failureDomain = FailureDomainId("remera");
        target.rack = RackId("rack-1");
        target.address = "192.0.2.1:" + std::to_string(9000 + index);
        target.path = "/run";
        target.kinds = { WorkKind("quote"), WorkKind("blocking-run"), WorkKind("shaping-run"), WorkKind("dye-lot") };
        target.slots = SlotCount(slotsPerTarget);
        target.connections = ConnectionCount(64);
        parts.targets.push_back(std::move(target));
    }
    for (int index = 0; index < teamCount; ++index)
        parts.teams.push_back({ TeamId("team-" + std::to_string(index)), SlotCount(0), 1 });
    auto inventory = Inventory::create(std::move(parts));
    if (inventory)
        return *inventory;
    std::fprintf(stderr, "%s\n", inventory.lastReason().detail.c_str());
    std::exit(1);
}

protocol::Envelope makeDemand(std::uint64_t number, std::uint32_t count)
{
    static const char* const kinds[] = { "quote", "blocking-run", "shaping-run", "dye-lot" };
    protocol::Envelope envelope;
    auto& demand = *envelope.mutable_slot_demand();
    demand.set_demand(number);
    demand.set_kind(kinds[number % 4]);
    demand.set_team("team-" + std::to_string(number % teamCount));
    demand.set_count(count);
    demand.set_declared_ms(200);
    return envelope;
}

/** The keepers of one fleet, and the slots that they have lent. */
struct Fleet {
    struct Kept {
        std::unique_ptr<SlotKeeper> keeper;
        protocol::Envelope returns;
    };

    explicit Fleet(const std::shared_ptr<const Inventory>& inventory)
    {
        kept.resize(keeperCount);
        const auto& targets = inventory->parts().targets;
        for (int index = 0; index < keeperCount; ++index) {
            auto& each = kept[static_cast<std::size_t>(index)];
            each.keeper = std::make_unique<SlotKeeper>(SlotKeeper::Settings {}, clock, random,
                SlotKeeper::Hooks {
                    [&each](const HostId&, protocol::Envelope&& envelope) { collect(each, envelope.slot_grant()); } });
            std::vector<TargetId> own;
            for (auto target = static_cast<std::size_t>(index); target < targets.size(); target += keeperCount)
                own.push_back(targets[target].id);
            each.keeper->setKeptTargets(inventory, own, {});
        }
    }

    static void collect(Kept& each, const protocol::SlotGrant& grant)
    {
        for (const auto& slot : grant.slots()) {
            if (grant.demand() == 0)
                continue;
            auto& returned = *each.returns.mutable_slot_return()->add_slots();
            returned.set_lease(slot.lease());
            returned.set_target(slot.target());
            returned.set_use(protocol::ReturnedSlot::SUCCEEDED);
            returned.set_kind("quote");
            returned.set_declared_ms(200);
            returned.set_run_us(180000 + static_cast<std::uint32_t>(slot.lease() % 40000));
        }
    }

    std::uint64_t grants() const
    {
        std::uint64_t sum = 0;
        for (const auto& each : kept)
            sum += each.keeper->statistics().grants;
        return sum;
    }

    VirtualClock clock;
    PcgRandomSource random { 1 };
    std::vector<Kept> kept;
    HostId borrower { "borrower" };
};

void measureRate(Fleet& fleet, int targetCount, double seconds)
{
    std::uint64_t number = 1;
    const double begin = processorSeconds();
    const auto grantsBefore = fleet.grants();
    while (processorSeconds() - begin < seconds) {
        fleet.clock.advance(std::chrono::milliseconds(1));
        for (auto& each : fleet.kept) {
            const auto returns = std::exchange(each.returns, {});
            if (returns.has_slot_return())
                each.keeper->peerMessage(fleet.borrower, returns);
            if (each.keeper->statistics().demandsWaiting < 8)
                each.keeper->peerMessage(fleet.borrower, makeDemand(number++, tasksPerDemand));
            each.keeper->tick();
            each.keeper->flush();
        }
    }
    const double spent = processorSeconds() - begin;
    std::printf("%d targets: %.0f grants/s per core\n", targetCount,
        static_cast<double>(fleet.grants() - grantsBefore) / spent);
}

void measureMemory(int targetCount)
{
    const auto inventory = makeInventory(targetCount);
    const auto empty = heapBytes();
    Fleet fleet(inventory);
    for (auto& each : fleet.kept)
        each.keeper->freeSlots();
    const auto idle = heapBytes();
    std::printf("%d targets: %zu bytes per target over all keepers\n", targetCount,
        (idle - empty) / static_cast<std::size_t>(targetCount));
    // Slots are all lent first, so that the demands measured wait.
    for (auto& each : fleet.kept) {
        each.keeper->peerMessage(fleet.borrower, makeDemand(4, 1000));
        each.keeper->flush();
    }
    const auto full = heapBytes();
    constexpr std::uint64_t demands = 20000;
    for (std::uint64_t number = 0; number < demands; ++number)
        fleet.kept[number % keeperCount].keeper->peerMessage(fleet.borrower, makeDemand(number + 10, 10));
    std::printf("%d targets: %zu bytes per waiting demand\n", targetCount, (heapBytes() - full) / demands);
}

}

int main(int argumentCount, char** arguments)
{
    const double seconds = argumentCount > 1 ? std::strtod(arguments[1], nullptr) : 2;
    for (const int targetCount : { 93, 650 }) {
        measureMemory(targetCount);
        Fleet fleet(makeInventory(targetCount));
        measureRate(fleet, targetCount, seconds);
    }
    return 0;
}
