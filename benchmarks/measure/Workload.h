#pragma once

#include "fakes/FakeTargets.h"
#include "fakes/Latencies.h"

#include <string>
#include <vector>

namespace rattanroad {

/** A user of section 1.1 of the design page, or the planned size of section 1.6, as numbers. */
struct Workload {
    std::string name;
    std::vector<Place> domains;
    std::size_t targetCount { 50 };
    std::uint32_t slotsPerTarget { 8 };
    std::uint32_t connectionsPerTarget { 64 };
    std::size_t workersPerRack { 8 };
    std::size_t entryHostCount { 6 };
    std::size_t teamCount { 4 };
    Latencies latencies;
    /** Value of dispatch.waste_weight. */
    double wasteWeight { 0.5 };
    /** Share of the tasks that run for 2 to 5 s; the others run for 50 ms to 1 s. */
    double longTaskShare { 0.02 };
    Duration length { std::chrono::seconds(30) };
    /** Goals of section 1.3; zero means that the page states none. */
    double goalMean { 0 };
    double goalP99 { 0 };
    double goalWasted { 0 };

    static Workload ingofero(bool isQuick);
    static Workload calabash(bool isQuick);
    static Workload planned(bool isQuick);

    Place placeOfHost(std::size_t host) const { return domains[host % domains.size()]; }
    Place placeOfTarget(std::size_t target) const { return domains[target % domains.size()]; }
    /** Returns the targets of this workload with the true speeds of a trace. */
    std::vector<FakeTargets::Settings> targets(const std::vector<double>& speeds) const;
};

}
