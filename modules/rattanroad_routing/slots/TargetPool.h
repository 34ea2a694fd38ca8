#pragma once

#include "rattanroad_inventory/inventory/Inventory.h"
#include "rattanroad_routing/health/ConcurrencyLimit.h"
#include "rattanroad_routing/health/TargetHealth.h"
#include "rattanroad_routing/slots/DemandQueue.h"
#include "rattanroad_routing/slots/SlotTypes.h"
#include "rattanroad_routing/speed/SpeedModel.h"

#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace rattanroad {

struct KeptTarget;

/** Targets below this share of the usual speed count as stragglers: work waits for a faster slot if that takes less
    time, and their slots are not offered to other hosts as free. Waiting at 0.6 already cost more than it saved when
    speeds differed by a factor of 4 (six hosts, load 0.8: wait 39 to 61 ms instead of 4 to 6 ms, job times up 4 to
    14 %).
*/
constexpr double slowShare = 0.25;

/** Place of a free target in the order of preference: trials first, then speed in steps, then load. */
struct FreeTarget {
    int speedStep { 0 };
    std::uint32_t load { 0 };
    std::uint32_t order { 0 };
    KeptTarget* target { nullptr };

    friend bool operator<(const FreeTarget& left, const FreeTarget& right)
    {
        return std::tie(right.speedStep, left.load, left.order) < std::tie(left.speedStep, right.load, right.order);
    }
    friend bool operator==(const FreeTarget& left, const FreeTarget& right) { return !(left < right || right < left); }
};

/** Work of one kind with the same needs: the targets that may run it and the demands that wait for them. */
class WorkClass {
public:
    WorkKind kind;
    Resources needs;
    /** Targets with a slot to lend now, best first. */
    std::set<FreeTarget> freeTargets;
    /** Targets that the rules allow, leaving ones included. */
    std::vector<KeptTarget*> eligible;
    DemandQueue queue;

    /** What a task can expect of the faster targets; refreshed now and then. */
    double fastScore { 1 };
    std::uint32_t fastSlots { 0 };
    TimePoint fastComputedAt;
};

/** One target that this host keeps. */
struct KeptTarget {
    Target contract;
    std::uint32_t order { 0 };
    /** Slots that are lent, cooling down or reported by borrowers of an earlier keeper. */
    std::uint32_t used { 0 };
    TargetHealth health;
    ConcurrencyLimit limit;
    bool isListedLeaving { false };
    /** Hosts whose report of held slots is outstanding; nothing is lent until it is empty or the time has passed. */
    std::set<HostId> awaitedReports;
    TimePoint reservedUntil;
    std::set<LeaseId> reusableLeases;

    struct Membership {
        WorkClass* workClass { nullptr };
        bool isListed { false };
        FreeTarget listed;
    };
    std::vector<Membership> memberships;

    bool isLeaving() const { return isListedLeaving || contract.state == TargetState::Leaving; }
    bool isReserved() const { return !awaitedReports.empty(); }
    std::uint32_t free() const { return used < limit.limit() ? limit.limit() - used : 0; }
};

/** The targets that this host keeps, ordered per class of work so that the best free one is found at once. */
class TargetPool {
public:
    /** Kind of work with the needed cores, memory and accelerators. */
    using ClassKey = std::tuple<WorkKind, std::uint32_t, MebibyteCount, std::uint32_t>;

    TargetPool(const Clock& clock, SpeedModel& speed, double maximumEjectedShare);

    /** Installs the inventory and the kept targets; targets that are not kept any more must have no leases.
        Returns the targets that are new here.
    */
    std::vector<KeptTarget*> install(std::shared_ptr<const Inventory> inventory, const std::vector<TargetId>& kept);
    void setLeaving(const std::set<TargetId>& leaving);

    KeptTarget* find(const TargetId& id);
    /** Returns the class for work of @p kind with @p needs, which lives at least as long as demands wait in it. */
    WorkClass& workClass(const WorkKind& kind, const Resources& needs);

    /** Brings the place of the target in the order up to date; must follow every change of its state. */
    void refresh(KeptTarget& target);
    void refreshAll();

    /** Returns how well a class runs on the target: relative speed times the square of the success share. */
    double score(const KeptTarget& target, const WorkClass& workClass) const;
    /** Brings fastScore and fastSlots of a class up to date. */
    void updateFast(WorkClass& workClass) const;

    /** Ejects the target if it fails most of what it starts and the allowed share permits it. */
    bool ejectIfFailing(KeptTarget& target);
    std::size_t ejectedCount() const;

    const Inventory* inventory() const { return m_inventory.get(); }
    const std::map<TargetId, std::unique_ptr<KeptTarget>>& targets() const { return m_targets; }
    const std::map<ClassKey, std::unique_ptr<WorkClass>>& classes() const { return m_classes; }
    SlotCount slots() const;

private:
    void fill(WorkClass& workClass);
    void dropIdleClasses();
    void refresh(KeptTarget& target, KeptTarget::Membership& membership);
    double meanFailureShareWithout(const KeptTarget& target) const;

    const Clock& m_clock;
    SpeedModel& m_speed;
    const double m_maximumEjectedShare;
    std::shared_ptr<const Inventory> m_inventory;
    std::map<TargetId, std::unique_ptr<KeptTarget>> m_targets;
    std::map<ClassKey, std::unique_ptr<WorkClass>> m_classes;
    std::set<TargetId> m_leaving;
    std::uint32_t m_nextOrder { 0 };
};

}
