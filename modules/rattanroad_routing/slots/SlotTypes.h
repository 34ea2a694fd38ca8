#pragma once

#include "rattanroad_core/identifiers/Identifiers.h"
#include "rattanroad_core/time/Clock.h"
#include "rattanroad_inventory/inventory/InventoryTypes.h"

#include <cstdint>
#include <set>

namespace rattanroad {

/** Number of a demand, unique within one borrower's incarnation. */
using DemandId = StrongType<std::uint64_t, struct DemandIdTag>;
/** Number of a slot lease, unique within one keeper's incarnation. */
using LeaseId = StrongType<std::uint64_t, struct LeaseIdTag>;

/** Demand of one job for slots for one kind of work. */
struct WorkDemand {
    WorkKind kind;
    TeamId team;
    std::int32_t priority { 0 };
    /** Number of slots wanted: tasks that are ready and have no slot yet. */
    std::uint32_t count { 0 };
    /** When the job arrived; older jobs go first. */
    TimePoint arrivedAt;
    /** Declared run time of the longest ready task; a hint that may be wrong by a large factor. */
    std::chrono::milliseconds declared { 0 };
    Resources needs;
    std::set<TargetId> excludedTargets;
};

/** A slot lent to this host. */
struct BorrowedSlot {
    HostId keeper;
    LeaseId lease;
    TargetId target;
    /** Learned speed relative to the mean of the keeper's targets; 2 is twice as fast. */
    double relativeSpeed { 1 };
};

/** How a slot was used. */
enum class SlotUse {
    Unused,
    Succeeded, ///< The task ran and succeeded.
    Failed, ///< The task ran and the target reported a failure.
    Rejected, ///< The target stated that it did not run the task.
    Unreachable, ///< The connection was never opened.
    Unknown, ///< The request was sent and no answer came.
};

}
