#pragma once

#include "fakes/FakeTargets.h"
#include "fakes/Latencies.h"
#include "rattanroad_dispatch/rattanroad_dispatch.h"

#include <string>
#include <vector>

namespace rattanroad {

/** Hosts, targets and inventory of a Fleet. */
struct FleetSettings {
    std::vector<Place> hosts;
    std::vector<FakeTargets::Settings> targets;
    std::vector<WorkKind> kinds;
    std::vector<Team> teams;
    Latencies latencies;
    std::size_t workersPerRack { 8 };
    /** Status 503 proves that a task did not run, as the fake targets answer it before execution. */
    bool areRejectionsProof { true };
    double wasteWeight { 0.5 };
    /** Length of a turn of the daemon's loop: inputs of one turn share one flush. */
    Duration loopTurn { std::chrono::microseconds(20) };

    /** Returns the inventory of these hosts and targets; @p leaving are marked as leaving. */
    std::shared_ptr<const Inventory> inventory(const std::set<TargetId>& leaving) const;
    HostId hostId(std::size_t host) const { return HostId("h" + std::to_string(host)); }
    std::string hostAddress(std::size_t host) const;
    /** Returns the settings of one process of @p host. */
    EntryHostSettings engineSettings(std::size_t host, Incarnation incarnation) const;
};

}
