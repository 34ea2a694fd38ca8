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

/** The part of a demand that is requested from one keeper. Its number is the demand number in SlotDemand messages. */
struct SlotRequest {
    std::uint64_t number { 0 };
    DemandId demand;
    HostId keeper;
    /** Total number of slots requested since the start, as in SlotDemand.count. */
    std::uint32_t count { 0 };
    std::uint32_t received { 0 };
    TimePoint sentAt;
    /** When the request is withdrawn to be placed again, or moved to another keeper if this one has not answered. */
    TimePoint dueAt;
    bool isAnswered { false };
    /** Whether the keeper has not been sent the current count. */
    bool isUnsent { true };

    std::uint32_t outstanding() const { return count > received ? count - received : 0; }
};

/** A demand of the engine, with the slots it still wants and the requests sent for them. */
struct OpenDemand {
    DemandId id;
    WorkDemand work;
    std::uint32_t wanted { 0 };
    /** Number of changes that the engine has made to the demand. */
    std::uint64_t revision { 0 };
    std::map<std::uint64_t, SlotRequest> requests;
    std::set<HostId> refusedBy;
    Failure refusal;
    /** Number of moves of queued requests to other keepers, up to a limit; the delay before a move depends on it. */
    std::uint32_t moveCount { 0 };
    TimePoint movedAt;
    /** Number of successive rounds in which all keepers refused. */
    std::uint32_t refusedRounds { 0 };
    /** Earliest time at which keepers that refused are tried again. */
    TimePoint retryAt;

    std::uint32_t outstanding() const;
};

/** Kind, team and needs (cores, memory, accelerators) of work. Work with equal values may reuse a slot. */
using SlotPurpose = std::tuple<WorkKind, TeamId, std::uint32_t, MebibyteCount, std::uint32_t>;
SlotPurpose purposeOf(const WorkDemand& work);

/** The open demands of a borrower and their slot requests, ordered by priority and age of the job. */
class OpenDemands {
public:
    OpenDemand& add(const WorkDemand& work);
    OpenDemand* find(DemandId id);
    const OpenDemand* find(DemandId id) const;
    /** Removes a demand, whose requests must have been removed before. */
    void erase(DemandId id);
    void setWanted(OpenDemand& demand, std::uint32_t wanted);

    /** Returns the first demand that can use a slot of @p target lent for @p purpose, or null. */
    OpenDemand* nextFor(const SlotPurpose& purpose, const TargetId& target);

    SlotRequest& addRequest(OpenDemand& demand, const HostId& keeper, std::uint32_t count);
    SlotRequest* findRequest(std::uint64_t number);
    void eraseRequest(SlotRequest& request);
    void setDueTime(SlotRequest& request, TimePoint dueAt);
    /** Returns the request with the earliest due time if that has passed, or null. */
    SlotRequest* firstDue(TimePoint now);
    std::optional<TimePoint> firstDueTime() const;
    /** Returns the numbers of the requests for which @p matches holds. */
    std::vector<std::uint64_t> requestsWhere(const std::function<bool(const SlotRequest&)>& matches) const;

    /** Returns and clears the set of demands whose requests may no longer match what they want. */
    std::set<DemandId> takeChanged() { return std::exchange(m_changed, {}); }
    void markChanged(DemandId id) { m_changed.insert(id); }

    /** Returns the number of demands that want more slots. */
    std::size_t openCount() const;

private:
    using SortKey = std::tuple<std::int64_t, TimePoint, DemandId>;
    static SortKey sortKey(const OpenDemand& demand);
    void removeFromQueue(const OpenDemand& demand);

    std::unordered_map<DemandId, OpenDemand> m_demands;
    std::map<SlotPurpose, std::set<SortKey>> m_waiting;
    std::unordered_map<std::uint64_t, DemandId> m_requestOwner;
    std::set<std::pair<TimePoint, std::uint64_t>> m_byDueTime;
    std::set<DemandId> m_changed;
    std::uint64_t m_nextDemand { 1 };
    std::uint64_t m_nextRequest { 1 };
};

}
