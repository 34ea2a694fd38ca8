#include "measure/Workload.h"

namespace rattanroad {

namespace {

    Place place(const char* domain, const char* region) { return { FailureDomainId(domain), RegionId(region) }; }

    Duration seconds(int count) { return std::chrono::seconds(count); }

}

Workload Workload::ingofero(bool isQuick)
{
    Workload workload;
    workload.name = "ingofero";
    workload.domains = { place("nyamirambo", "kigali"), place("kimironko", "kigali"), place("remera", "kigali") };
    workload.wasteWeight = 0.2;
    workload.length = seconds(isQuick ? 30 : 120);
    workload.goalMean = 1.10;
    workload.goalP99 = 1.30;
    workload.goalWasted = 0.05;
    return workload;
}

Workload Workload::calabash(bool isQuick)
{
    Workload workload;
    workload.name = "calabash";
    workload.domains = { place("leicester", "midlands"), place("derby", "midlands"), place("coventry", "midlands"),
        place("nottingham", "midlands") };
    workload.workersPerRack = 6;
    workload.latencies.sameRegion = std::chrono::milliseconds(1);
    workload.latencies.caller = std::chrono::milliseconds(1);
    workload.wasteWeight = 0.8;
    workload.length = seconds(isQuick ? 30 : 120);
    workload.goalMean = 1.10;
    workload.goalP99 = 1.30;
    workload.goalWasted = 0.01;
    return workload;
}

Workload Workload::planned(bool isQuick)
{
    Workload workload;
    workload.name = "planned";
    workload.domains = { place("east-a", "east"), place("east-b", "east"), place("east-c", "east"),
        place("east-d", "east"), place("west-a", "west"), place("west-b", "west"), place("west-c", "west") };
    workload.targetCount = 650;
    workload.slotsPerTarget = 16;
    workload.entryHostCount = 28;
    workload.teamCount = 34;
    workload.latencies.sameRegion = std::chrono::milliseconds(1);
    // With this share of long tasks 80 % load is about 30,000 starts/s.
    workload.longTaskShare = 0.001;
    workload.length = seconds(isQuick ? 3 : 10);
    return workload;
}

std::vector<FakeTargets::Settings> Workload::targets(const std::vector<double>& speeds) const
{
    std::vector<FakeTargets::Settings> result;
    for (std::size_t index = 0; index < targetCount; index++) {
        FakeTargets::Settings settings;
        settings.id = TargetId("t" + std::to_string(index));
        settings.place = placeOfTarget(index);
        settings.speed = speeds[index];
        settings.slots = slotsPerTarget;
        settings.connections = connectionsPerTarget;
        result.push_back(std::move(settings));
    }
    return result;
}

}
