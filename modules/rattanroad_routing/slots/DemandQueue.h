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

/** Identity of a demand at a keeper: the borrower's process and its number there. */
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

/** A demand that waits at the keeper for more slots. */
struct Demand {
    DemandKey key;
    WorkClass* workClass { nullptr };
    TeamAccount* team { nullptr };
    std::int32_t priority { 0 };
    /** Slots that are still wanted. */
    std::uint32_t wanted { 0 };
    std::uint32_t granted { 0 };
    /** When the job arrived at its owner, on this host's clock. */
    TimePoint arrivedAt;
    TimePoint receivedAt;
    /** Order of arrival here, which decides between jobs of the same age. */
    std::uint64_t sequence { 0 };
    std::chrono::milliseconds declared { 0 };
    std::set<TargetId> excluded;
    /** The borrower has had a grant or an empty answer. */
    bool isAnswered { false };
    /** Number of the matching round in which no target suited the demand. */
    std::uint64_t skippedInRound { 0 };
};

/** Demands that wait for one class of work, in the order priority, weighted fairness between teams, age of the job. */
class DemandQueue {
public:
    void insert(Demand& demand);
    void erase(Demand& demand);
    /** Changes the number of slots that a queued demand wants. */
    void setWanted(Demand& demand, std::uint32_t wanted);

    /** Returns the demand to serve next, leaving out exhausted teams and demands skipped in this @p round; null when
        there is none.
    */
    Demand* next(std::uint64_t round) const;

    /** Slots wanted by all queued demands. */
    std::uint64_t waitingSlots() const { return m_waitingSlots; }

    /** Returns whether a demand of a team with quota left waits that @p isRival accepts; looks at the oldest demand of
        each team only.
    */
    bool hasWaiting(const std::function<bool(const Demand&)>& isRival) const;

    /** Returns whether the order prefers @p left to @p right. */
    static bool isBefore(const Demand& left, const Demand& right);

private:
    struct ByAge {
        bool operator()(const Demand* left, const Demand* right) const
        {
            return std::tie(left->arrivedAt, left->sequence) < std::tie(right->arrivedAt, right->sequence);
        }
    };
    using TeamQueues = std::map<TeamAccount*, std::set<Demand*, ByAge>>;

    std::map<std::int32_t, TeamQueues, std::greater<>> m_levels;
    std::uint64_t m_waitingSlots { 0 };
};

}
