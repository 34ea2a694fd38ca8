#include "rattanroad_routing/slots/TargetPool.h"

#include <algorithm>
#include <cmath>

namespace rattanroad {

namespace {

    // Targets whose scores differ by less than this natural-log step count as equally fast and share the load.
    constexpr double speedStep = 0.1;
    // Due trials go first; otherwise a target that is not needed at low load would never return to service.
    constexpr int trialStep = 1000;
    // Classes beyond this number are dropped when no demand waits in them: callers choose the needs freely.
    constexpr std::size_t maximumClasses = 256;
    constexpr Duration fastScoreAge = std::chrono::milliseconds(50);
    // A target below this share of the best score is not one that a waiting task hopes for.
    constexpr double fastShare = 0.5;

}

TargetPool::TargetPool(const Clock& clock, SpeedModel& speed, double maximumEjectedShare)
    : m_clock(clock)
    , m_speed(speed)
    , m_maximumEjectedShare(maximumEjectedShare)
{
}

std::vector<KeptTarget*> TargetPool::install(
    std::shared_ptr<const Inventory> inventory, const std::vector<TargetId>& kept)
{
    m_inventory = std::move(inventory);
    std::vector<KeptTarget*> added;
    std::map<TargetId, std::unique_ptr<KeptTarget>> targets;
    for (const auto& id : kept) {
        const Target* const contract = m_inventory->target(id);
        if (!contract || targets.count(id))
            continue;
        auto& target = targets[id];
        const auto known = m_targets.find(id);
        if (known != m_targets.end()) {
            target = std::move(known->second);
        } else {
            target = std::make_unique<KeptTarget>();
            target->order = m_nextOrder++;
            added.push_back(target.get());
        }
        target->contract = *contract;
        const auto connections = contract->connections.value();
        const auto slots = contract->slots.value();
        target->limit.setMaximum(SlotCount(connections == 0 ? slots : std::min(slots, connections)));
    }
    m_targets = std::move(targets);
    dropIdleClasses();
    for (auto& [id, target] : m_targets) {
        target->memberships.clear();
        target->isListedLeaving = m_leaving.count(id) > 0;
    }
    for (auto& [key, workClass] : m_classes)
        fill(*workClass);
    return added;
}

void TargetPool::setLeaving(const std::set<TargetId>& leaving)
{
    m_leaving = leaving;
    for (auto& [id, target] : m_targets) {
        const bool isListed = leaving.count(id) > 0;
        if (target->isListedLeaving == isListed)
            continue;
        target->isListedLeaving = isListed;
        refresh(*target);
    }
}

KeptTarget* TargetPool::find(const TargetId& id)
{
    const auto found = m_targets.find(id);
    return found == m_targets.end() ? nullptr : found->second.get();
}

WorkClass& TargetPool::workClass(const WorkKind& kind, const Resources& needs)
{
    const ClassKey key { kind, needs.cores, needs.memory, needs.accelerators };
    const auto found = m_classes.find(key);
    if (found != m_classes.end())
        return *found->second;
    if (m_classes.size() >= maximumClasses) {
        dropIdleClasses();
        for (auto& [id, target] : m_targets)
            target->memberships.clear();
        for (auto& [otherKey, workClass] : m_classes)
            fill(*workClass);
    }
    auto& workClass = m_classes[key];
    workClass = std::make_unique<WorkClass>();
    workClass->kind = kind;
    workClass->needs = needs;
    fill(*workClass);
    return *workClass;
}

void TargetPool::dropIdleClasses()
{
    for (auto entry = m_classes.begin(); entry != m_classes.end();) {
        if (entry->second->queue.waitingSlots() == 0)
            entry = m_classes.erase(entry);
        else
            ++entry;
    }
}

void TargetPool::fill(WorkClass& workClass)
{
    workClass.eligible.clear();
    workClass.freeTargets.clear();
    workClass.fastComputedAt = {};
    for (auto& [id, target] : m_targets) {
        if (!m_inventory->isAllowed(target->contract, workClass.kind, workClass.needs))
            continue;
        workClass.eligible.push_back(target.get());
        target->memberships.push_back({ &workClass, false, {} });
        refresh(*target, target->memberships.back());
    }
}

void TargetPool::refresh(KeptTarget& target)
{
    for (auto& membership : target.memberships)
        refresh(target, membership);
}

void TargetPool::refreshAll()
{
    for (auto& [id, target] : m_targets)
        refresh(*target);
}

void TargetPool::refresh(KeptTarget& target, KeptTarget::Membership& membership)
{
    auto& freeTargets = membership.workClass->freeTargets;
    const bool isTrial = target.health.isTrialDue(m_clock.now());
    const bool isOffered
        = !target.isLeaving() && !target.isReserved() && target.free() > 0 && (!target.health.isEjected() || isTrial);
    if (!isOffered) {
        if (membership.isListed)
            freeTargets.erase(membership.listed);
        membership.isListed = false;
        return;
    }
    const double logScore = std::log(std::max(score(target, *membership.workClass), 1e-4));
    const int step = isTrial ? trialStep : static_cast<int>(std::lround(logScore / speedStep));
    const FreeTarget place { step, target.used * 256 / target.limit.limit(), target.order, &target };
    if (membership.isListed && membership.listed == place)
        return;
    if (membership.isListed)
        freeTargets.erase(membership.listed);
    freeTargets.insert(place);
    membership.listed = place;
    membership.isListed = true;
}

double TargetPool::score(const KeptTarget& target, const WorkClass& workClass) const
{
    // Squared, as a failed task costs its run and usually another one elsewhere.
    const double share = target.health.successShare();
    return m_speed.relativeSpeed(target.contract.id, workClass.kind) * share * share;
}

void TargetPool::updateFast(WorkClass& workClass) const
{
    const auto now = m_clock.now();
    if (now - workClass.fastComputedAt < fastScoreAge)
        return;
    workClass.fastComputedAt = now;
    std::vector<std::pair<double, std::uint32_t>> offers;
    double best = 0;
    for (const auto* target : workClass.eligible) {
        if (target->isLeaving() || target->isReserved() || target->health.isEjected())
            continue;
        offers.emplace_back(score(*target, workClass), target->limit.limit());
        best = std::max(best, offers.back().first);
    }
    double sum = 0;
    workClass.fastSlots = 0;
    for (const auto& [score, slots] : offers) {
        if (score < best * fastShare)
            continue;
        sum += score * slots;
        workClass.fastSlots += slots;
    }
    workClass.fastScore = workClass.fastSlots > 0 ? sum / workClass.fastSlots : 1;
}

bool TargetPool::ejectIfFailing(KeptTarget& target)
{
    if (target.health.isEjected() || !target.health.shouldEject(meanFailureShareWithout(target)))
        return false;
    const double allowed = m_maximumEjectedShare * static_cast<double>(m_targets.size());
    if (static_cast<double>(ejectedCount() + 1) > allowed)
        return false;
    target.health.eject(m_clock.now());
    refresh(target);
    return true;
}

std::size_t TargetPool::ejectedCount() const
{
    return std::count_if(
        m_targets.begin(), m_targets.end(), [](const auto& entry) { return entry.second->health.isEjected(); });
}

double TargetPool::meanFailureShareWithout(const KeptTarget& target) const
{
    if (m_targets.size() < 2)
        return 0;
    double sum = 0;
    for (const auto& [id, other] : m_targets) {
        // Ejected targets are known to be faulty and would hide the next faulty one.
        if (other.get() != &target && !other->health.isEjected())
            sum += other->health.failureShare();
    }
    return sum / static_cast<double>(m_targets.size() - 1);
}

SlotCount TargetPool::slots() const
{
    std::uint32_t sum = 0;
    for (const auto& [id, target] : m_targets)
        sum += target->isLeaving() ? 0 : target->contract.slots.value();
    return SlotCount(sum);
}

}
