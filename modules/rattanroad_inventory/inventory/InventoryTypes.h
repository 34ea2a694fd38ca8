#pragma once

#include "rattanroad_core/identifiers/Identifiers.h"
#include "rattanroad_core/identifiers/Units.h"

#include <set>
#include <string>
#include <vector>

namespace rattanroad {

/** A part of a region that can fail as a whole. Each has its own entry hosts and targets. */
struct FailureDomain {
    FailureDomainId id;
    RegionId region;
};

/** The resources that a task needs, or that a worker has. */
struct Resources {
    std::uint32_t cores { 0 };
    MebibyteCount memory;
    std::uint32_t accelerators { 0 };

    /** Returns whether these resources are sufficient for @p needed. */
    bool covers(const Resources& needed) const
    {
        return cores >= needed.cores && memory >= needed.memory && accelerators >= needed.accelerators;
    }
};

/** A machine on which targets run. */
struct Worker {
    WorkerId id;
    FailureDomainId failureDomain;
    RackId rack;
    Resources resources;
};

enum class TargetState {
    Active,
    Leaving,
};

/** An HTTP endpoint that runs tasks. */
struct Target {
    TargetId id;
    WorkerId worker;
    FailureDomainId failureDomain;
    RackId rack;
    /** IP address and port, for example "192.0.2.7:9001". */
    std::string address;
    /** Path of the HTTP request, for example "/run". */
    std::string path;
    std::set<WorkKind> kinds;
    SlotCount slots;
    ConnectionCount connections;
    TargetState state { TargetState::Active };
    /** HTTP statuses that mean that the target did not run the task; empty by default. */
    std::vector<int> notRunStatuses;
};

/** A group of callers that shares a quota of slots. */
struct Team {
    TeamId id;
    /** Slots that the team's tasks may hold at the same time, over all targets; 0 means unlimited. */
    SlotCount quota;
    /** Relative share of slots among teams with waiting tasks; positive. */
    double weight { 1 };
};

/** Selects targets by failure domain, rack or id; a target that is in any of the sets matches. */
struct PlacementSelector {
    std::set<FailureDomainId> failureDomains;
    std::set<RackId> racks;
    std::set<TargetId> targets;

    bool isEmpty() const { return failureDomains.empty() && racks.empty() && targets.empty(); }
    bool matches(const Target& target) const
    {
        return failureDomains.count(target.failureDomain) || racks.count(target.rack) || targets.count(target.id);
    }
};

/** An operator's rule for one kind of work. */
struct Rule {
    RuleId id;
    WorkKind kind;
    /** When not empty, work of the kind runs only on matching targets. */
    PlacementSelector allow;
    /** Work of the kind never runs on matching targets. */
    PlacementSelector deny;
    /** Work of the kind is never started again after an attempt that may have started. */
    bool neverRepeat { false };
    /** Minimum resources of the worker. */
    Resources require;
};

}
