#pragma once

#include "rattanroad_core/identifiers/Identifiers.h"
#include "rattanroad_core/identifiers/Units.h"

#include <set>
#include <string>
#include <vector>

namespace rattanroad {

/** A part of a region that fails as a whole; has its own entry hosts and targets. */
struct FailureDomain {
    FailureDomainId id;
    RegionId region;
};

/** What a task needs of the worker that runs it, and what a worker has. */
struct Resources {
    std::uint32_t cores { 0 };
    MebibyteCount memory;
    std::uint32_t accelerators { 0 };

    /** Returns whether this much is enough for @p needed. */
    bool covers(const Resources& needed) const
    {
        return cores >= needed.cores && memory >= needed.memory && accelerators >= needed.accelerators;
    }
};

/** A machine that runs targets. */
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

/** The contract of a runner that tasks are sent to by HTTP. */
struct Target {
    TargetId id;
    WorkerId worker;
    FailureDomainId failureDomain;
    RackId rack;
    /** IP number and port, "192.0.2.7:9001". */
    std::string address;
    /** Path of the HTTP request, "/run". */
    std::string path;
    std::set<WorkKind> kinds;
    SlotCount slots;
    ConnectionCount connections;
    TargetState state { TargetState::Active };
    /** HTTP statuses with which the target states that it did not run the task; empty by default. */
    std::vector<int> notRunStatuses;
};

/** A group of callers that shares a quota of slots. */
struct Team {
    TeamId id;
    /** Slots that the team's tasks may hold at the same time, over all targets; 0 means unlimited. */
    SlotCount quota;
    /** Relative share among waiting teams; positive. */
    double weight { 1 };
};

/** Places named by a rule; a place matches when any of the sets contains it. */
struct PlaceSet {
    std::set<FailureDomainId> failureDomains;
    std::set<RackId> racks;
    std::set<TargetId> targets;

    bool isEmpty() const { return failureDomains.empty() && racks.empty() && targets.empty(); }
    bool contains(const Target& target) const
    {
        return failureDomains.count(target.failureDomain) || racks.count(target.rack) || targets.count(target.id);
    }
};

/** A rule of the operators about one kind of work. */
struct Rule {
    RuleId id;
    WorkKind kind;
    /** When not empty, work of the kind runs only here. */
    PlaceSet allow;
    /** Work of the kind never runs here. */
    PlaceSet deny;
    /** Work of the kind is never started again after an attempt that may have started. */
    bool neverRepeat { false };
    /** Least resources of the worker. */
    Resources require;
};

}
