#pragma once

#include "rattanroad_core/identifiers/Identifiers.h"
#include "rattanroad_core/time/Clock.h"
#include "rattanroad_inventory/inventory/InventoryTypes.h"
#include "rattanroad_routing/quota/TeamQuota.h"

#include <chrono>
#include <functional>
#include <map>
#include <set>
#include <tuple>

namespace rattanroad {

class WorkClass;

/** Identifies a demand at a keeper: the borrower's host and incarnation, and the number it gave the demand. */
struct DemandKey {
    HostId host;
    std::uint64_t incarnation { 0 };
    std::uint64_t demand { 0 };

    friend bool operator<(const DemandKey& left, const DemandKey& right)
    {
        return std::tie(left.demand, left.incarnation, left.host)
            < std::tie(right.demand, right.incarnation, right.host);
    }
};

/** A demand for slots that is queued at the keeper. */
struct Demand {
    DemandKey key;
    WorkClass* workClass { nullptr };
    TeamAccount* team { nullptr };
    std::int32_t priority { 0 };
    /** Slots that are still missing. */
    std::uint32_t wanted { 0 };
    std::uint32_t granted { 0 };
    /** When the job arrived at its owner, on this host's clock. */
    TimePoint jobArrivedAt;
    TimePoint receivedAt;
    /** Order of arrival at this keeper; breaks ties between jobs of the same age. */
    std::uint64_t sequence { 0 };
    std::chrono::milliseconds declared { 0 };
    std::set<TargetId> excluded;
    /** Whether the borrower has been sent a grant or an acknowledgement. */
    bool isAnswered { false };
    /** Number of the last matching round in which no free target suited the demand. */
    std::uint64_t skippedInRound { 0 };
};

/** Queue of the demands for one class of work, ordered by priority, weighted fairness between teams, and job age. */
class DemandQueue {
public:
    void insert(Demand& demand);
    void erase(Demand& demand);
    /** Changes the number of slots that a queued demand wants. */
    void setWanted(Demand& demand, std::uint32_t wanted);

    /** Returns the demand to serve next, or null when there is none. Teams at their quota and demands skipped in this
        @p round are left out.
    */
    Demand* next(std::uint64_t round) const;

    /** Returns the number of slots that all queued demands still want. */
    std::uint64_t waitingSlots() const { return m_waitingSlots; }

    /** Returns whether @p isCompeting holds for a queued demand of a team below its quota. Checks only the oldest
        demand of each team and priority.
    */
    bool hasWaiting(const std::function<bool(const Demand&)>& isCompeting) const;

    /** Returns whether @p left is served before @p right. */
    static bool isBefore(const Demand& left, const Demand& right);

private:
    struct ByAge {
        bool operator()(const Demand* left, const Demand* right) const
        {
            return std::tie(left->jobArrivedAt, left->sequence) < std::tie(right->jobArrivedAt, right->sequence);
        }
    };
    using TeamQueues = std::map<TeamAccount*, std::set<Demand*, ByAge>>;

    std::map<std::int32_t, TeamQueues, std::greater<>> m_levels;
    std::uint64_t m_waitingSlots { 0 };
};

}
