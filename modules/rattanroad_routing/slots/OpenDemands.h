#pragma once

#include "rattanroad_core/failure/Failure.h"
#include "rattanroad_routing/slots/SlotTypes.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace rattanroad {

/** The part of a demand that one keeper was asked for. Its number is the one that the messages carry. */
struct Ask {
    std::uint64_t number { 0 };
    DemandId demand;
    HostId keeper;
    /** Slots asked for since the ask began, as SlotDemand.count states it. */
    std::uint32_t count { 0 };
    std::uint32_t received { 0 };
    TimePoint sentAt;
    /** When the keeper is asked again, or left if it has not answered. */
    TimePoint dueAt;
    bool isAnswered { false };
    /** The keeper must be told the count. */
    bool isUnsent { true };

    std::uint32_t outstanding() const { return count > received ? count - received : 0; }
};

/** A demand of the engine that wants more slots. */
struct OpenDemand {
    DemandId id;
    WorkDemand work;
    std::uint32_t wanted { 0 };
    /** Counts the changes that the engine made. */
    std::uint64_t revision { 0 };
    std::map<std::uint64_t, Ask> asks;
    std::set<HostId> refusedBy;
    Failure refusal;
    /** How often asks were moved to keepers with free slots, and when last. */
    std::uint32_t moves { 0 };
    TimePoint movedAt;
    /** How often all keepers have refused. */
    std::uint32_t refusedRounds { 0 };
    /** Not before this time are keepers that refused asked again. */
    TimePoint retryAt;

    std::uint32_t outstanding() const;
};

/** Work that may run on the same slot without asking the keeper: same kind, team and needs. */
using SlotPurpose = std::tuple<WorkKind, TeamId, std::uint32_t, MebibyteCount, std::uint32_t>;
SlotPurpose purposeOf(const WorkDemand& work);

/** The open demands of a borrower with their asks, in the order in which slots are used. */
class OpenDemands {
public:
    OpenDemand& add(const WorkDemand& work);
    OpenDemand* find(DemandId id);
    const OpenDemand* find(DemandId id) const;
    /** Removes a demand; its asks must have been removed. */
    void erase(DemandId id);
    void setWanted(OpenDemand& demand, std::uint32_t wanted);

    /** Returns the demand to use a slot of @p target for, by priority and age; null when none waits. */
    OpenDemand* nextFor(const SlotPurpose& purpose, const TargetId& target);

    Ask& addAsk(OpenDemand& demand, const HostId& keeper, std::uint32_t count);
    Ask* findAsk(std::uint64_t number);
    void eraseAsk(Ask& ask);
    void setDue(Ask& ask, TimePoint dueAt);
    /** Returns the ask with the earliest due time when that has passed. */
    Ask* firstDue(TimePoint now);
    std::optional<TimePoint> firstDueTime() const;
    /** Returns the numbers of the asks for which @p isWanted holds. */
    std::vector<std::uint64_t> asksWhere(const std::function<bool(const Ask&)>& isWanted) const;

    /** Demands whose asks may no longer match what they want; returns and clears them. */
    std::set<DemandId> takeChanged() { return std::exchange(m_changed, {}); }
    void setChanged(DemandId id) { m_changed.insert(id); }

    /** Returns the number of demands that want more slots. */
    std::size_t openCount() const;

private:
    using Order = std::tuple<std::int64_t, TimePoint, DemandId>;
    static Order orderOf(const OpenDemand& demand);
    void unqueue(const OpenDemand& demand);

    std::unordered_map<DemandId, OpenDemand> m_demands;
    std::map<SlotPurpose, std::set<Order>> m_waiting;
    std::unordered_map<std::uint64_t, DemandId> m_askOwner;
    std::set<std::pair<TimePoint, std::uint64_t>> m_due;
    std::set<DemandId> m_changed;
    std::uint64_t m_nextDemand { 1 };
    std::uint64_t m_nextAsk { 1 };
};

}
