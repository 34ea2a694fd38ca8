#include "rattanroad_routing/slots/TargetPool.h"

#include <algorithm>
#include <cmath>

namespace rattanroad {

namespace {

    // Scores are compared in steps of this difference of natural logarithms; targets in the same step share the load.
    constexpr double logSpeedStep = 0.1;
    // Step of ejected targets with a due trial, which go first: at low load their trial would otherwise never run, and
    // they would never return to service.
    constexpr int trialSpeedStep = 1000;
    // Beyond this number, work classes without queued demands are dropped. Callers choose the needs of tasks freely and
    // can create any number of classes.
    constexpr std::size_t maximumClasses = 256;
    constexpr Duration maximumFastTargetsAge = std::chrono::milliseconds(50);
    // Targets with a score below this share of the best score do not count as fast.
    constexpr double fastTargetScoreShare = 0.5;

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
        const Target* const definition = m_inventory->target(id);
        if (!definition || targets.count(id))
            continue;
        auto& target = targets[id];
        const auto known = m_targets.find(id);
        if (known != m_targets.end()) {
            target = std::move(known->second);
        } else {
            target = std::make_unique<KeptTarget>();
            target->sequence = m_nextSequence++;
            added.push_back(target.get());
        }
        target->definition = *definition;
        const auto connections = definition->connections.value();
        const auto slots = definition->slots.value();
        target->limit.setMaximum(SlotCount(connections == 0 ? slots : std::min(slots, connections)));
    }
    m_targets = std::move(targets);
    dropIdleClasses();
    for (auto& [id, target] : m_targets) {
        target->memberships.clear();
        target->isMarkedLeaving = m_leaving.count(id) > 0;
    }
    for (auto& [key, workClass] : m_classes)
        updateEligible(*workClass);
    return added;
}

void TargetPool::setLeaving(const std::set<TargetId>& leaving)
{
    m_leaving = leaving;
    for (auto& [id, target] : m_targets) {
        const bool isLeaving = leaving.count(id) > 0;
        if (target->isMarkedLeaving == isLeaving)
            continue;
        target->isMarkedLeaving = isLeaving;
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
            updateEligible(*workClass);
    }
    auto& workClass = m_classes[key];
    workClass = std::make_unique<WorkClass>();
    workClass->kind = kind;
    workClass->needs = needs;
    updateEligible(*workClass);
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

void TargetPool::updateEligible(WorkClass& workClass)
{
    workClass.eligible.clear();
    workClass.freeTargets.clear();
    workClass.fastTargetsUpdatedAt = {};
    for (auto& [id, target] : m_targets) {
        if (!m_inventory->isAllowed(target->definition, workClass.kind, workClass.needs))
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
        if (membership.isInFreeTargets)
            freeTargets.erase(membership.entry);
        membership.isInFreeTargets = false;
        return;
    }
    const double logScore = std::log(std::max(score(target, *membership.workClass), 1e-4));
    const int step = isTrial ? trialSpeedStep : static_cast<int>(std::lround(logScore / logSpeedStep));
    const FreeTarget entry { step, target.used * 256 / target.limit.limit(), target.sequence, &target };
    if (membership.isInFreeTargets && membership.entry == entry)
        return;
    if (membership.isInFreeTargets)
        freeTargets.erase(membership.entry);
    freeTargets.insert(entry);
    membership.entry = entry;
    membership.isInFreeTargets = true;
}

double TargetPool::score(const KeptTarget& target, const WorkClass& workClass) const
{
    // The success share is squared, as a failed task costs its own run and usually another one on another target.
    const double share = target.health.successShare();
    return m_speed.relativeSpeed(target.definition.id, workClass.kind) * share * share;
}

void TargetPool::updateFastTargets(WorkClass& workClass) const
{
    const auto now = m_clock.now();
    if (now - workClass.fastTargetsUpdatedAt < maximumFastTargetsAge)
        return;
    workClass.fastTargetsUpdatedAt = now;
    std::vector<std::pair<double, std::uint32_t>> candidates;
    double best = 0;
    for (const auto* target : workClass.eligible) {
        if (target->isLeaving() || target->isReserved() || target->health.isEjected())
            continue;
        candidates.emplace_back(score(*target, workClass), target->limit.limit());
        best = std::max(best, candidates.back().first);
    }
    double sum = 0;
    workClass.fastTargetSlots = 0;
    for (const auto& [score, slots] : candidates) {
        if (score < best * fastTargetScoreShare)
            continue;
        sum += score * slots;
        workClass.fastTargetSlots += slots;
    }
    workClass.fastTargetScore = workClass.fastTargetSlots > 0 ? sum / workClass.fastTargetSlots : 1;
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
        // Ejected targets would raise the mean and so hide the next faulty target.
        if (other.get() != &target && !other->health.isEjected())
            sum += other->health.failureShare();
    }
    return sum / static_cast<double>(m_targets.size() - 1);
}

SlotCount TargetPool::totalSlots() const
{
    std::uint32_t sum = 0;
    for (const auto& [id, target] : m_targets)
        sum += target->isLeaving() ? 0 : target->definition.slots.value();
    return SlotCount(sum);
}

}
