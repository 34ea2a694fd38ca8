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

/** Targets with a score below this share of WorkClass::fastTargetScore are stragglers: tasks wait for a faster slot if
    that takes less time, and the slots of stragglers are not advertised as free. At 0.6, waiting costs more than it
    saves when speeds differ by a factor of 4 (six hosts, load 0.8: wait 39 to 61 ms instead of 4 to 6 ms, job times up
    4 to 14 %).
*/
constexpr double stragglerSpeedShare = 0.25;

/** A target with a free slot and its sort key: due trials first, then faster targets in steps of the score, then less
    loaded targets, then older ones.
*/
struct FreeTarget {
    int speedStep { 0 };
    std::uint32_t load { 0 };
    std::uint32_t sequence { 0 };
    KeptTarget* target { nullptr };

    friend bool operator<(const FreeTarget& left, const FreeTarget& right)
    {
        return std::tie(right.speedStep, left.load, left.sequence)
            < std::tie(left.speedStep, right.load, right.sequence);
    }
    friend bool operator==(const FreeTarget& left, const FreeTarget& right) { return !(left < right || right < left); }
};

/** Work of one kind with the same needs, with the targets that may run it and the demands that are queued for it. */
class WorkClass {
public:
    WorkKind kind;
    Resources needs;
    /** Targets that have a slot to lend, best first. */
    std::set<FreeTarget> freeTargets;
    /** Targets that the rules, kinds and resources allow, including leaving ones. */
    std::vector<KeptTarget*> eligible;
    DemandQueue queue;

    /** Mean score, weighted by slots, of the targets whose score is not far below the best. @see updateFastTargets */
    double fastTargetScore { 1 };
    std::uint32_t fastTargetSlots { 0 };
    TimePoint fastTargetsUpdatedAt;
};

/** One target that this host keeps. */
struct KeptTarget {
    /** The target as defined in the inventory. */
    Target definition;
    /** Order of installation; breaks ties between equally good targets. */
    std::uint32_t sequence { 0 };
    /** Slots that are lent, cooling down, or adopted from an earlier keeper. */
    std::uint32_t used { 0 };
    TargetHealth health;
    ConcurrencyLimit limit;
    /** Whether the platform lists the target as leaving. */
    bool isMarkedLeaving { false };
    /** Hosts that have not reported their held slots yet. No slot is lent until this is empty; SlotReservations clears
        it at reservedUntil.
    */
    std::set<HostId> awaitedReports;
    TimePoint reservedUntil;
    std::set<LeaseId> reusableLeases;

    /** A work class that may run on the target, and the entry of the target in its list of free targets. */
    struct Membership {
        WorkClass* workClass { nullptr };
        bool isInFreeTargets { false };
        FreeTarget entry;
    };
    std::vector<Membership> memberships;

    bool isLeaving() const { return isMarkedLeaving || definition.state == TargetState::Leaving; }
    bool isReserved() const { return !awaitedReports.empty(); }
    std::uint32_t free() const { return used < limit.limit() ? limit.limit() - used : 0; }
};

/** The targets that this host keeps, sorted for each work class so that the best free target is found at once. */
class TargetPool {
public:
    /** Kind of work with the needed cores, memory and accelerators. */
    using ClassKey = std::tuple<WorkKind, std::uint32_t, MebibyteCount, std::uint32_t>;

    TargetPool(const Clock& clock, SpeedModel& speed, double maximumEjectedShare);

    /** Installs the inventory and the kept targets, and returns the targets that are new to this keeper. Targets that
        are no longer kept must have no leases.
    */
    std::vector<KeptTarget*> install(std::shared_ptr<const Inventory> inventory, const std::vector<TargetId>& kept);
    void setLeaving(const std::set<TargetId>& leaving);

    KeptTarget* find(const TargetId& id);
    /** Returns the class for work of @p kind with @p needs; it stays valid at least while demands are queued in it. */
    WorkClass& workClass(const WorkKind& kind, const Resources& needs);

    /** Updates the entries of the target in the lists of free targets; must follow every change of its state. */
    void refresh(KeptTarget& target);
    void refreshAll();

    /** Returns the expected performance of the class on the target: relative speed times the squared success share. */
    double score(const KeptTarget& target, const WorkClass& workClass) const;
    /** Updates fastTargetScore and fastTargetSlots of a class, when they are out of date. */
    void updateFastTargets(WorkClass& workClass) const;

    /** Ejects the target if most of its tasks fail, unless that would exceed the maximum share of ejected targets. */
    bool ejectIfFailing(KeptTarget& target);
    std::size_t ejectedCount() const;

    const Inventory* inventory() const { return m_inventory.get(); }
    const std::map<TargetId, std::unique_ptr<KeptTarget>>& targets() const { return m_targets; }
    const std::map<ClassKey, std::unique_ptr<WorkClass>>& classes() const { return m_classes; }
    SlotCount totalSlots() const;

private:
    void updateEligible(WorkClass& workClass);
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
    std::uint32_t m_nextSequence { 0 };
};

}
