#include "rattanroad_inventory/inventory/Inventory.h"

#include "rattanroad_inventory/inventory/InventoryDocument.h"
#include "rattanroad_inventory/inventory/InventoryValidator.h"
#include "rattanroad_inventory/inventory/PlacementRules.h"

#include <algorithm>
#include <cassert>
#include <unordered_map>

namespace rattanroad {

class Inventory::Impl {
public:
    explicit Impl(Parts checkedParts);

    const Resources& resourcesOf(const Target& target) const;
    bool isPermitted(const Target& target, const WorkKind& kind) const;
    bool isSatisfiable(const WorkKind& kind, const Resources& needs) const;
    std::string unsatisfiableReason(const WorkKind& kind, const Resources& needs) const;

    Parts parts;
    std::unordered_map<TargetId, const Target*> targets;
    std::unordered_map<WorkerId, const Worker*> workers;
    std::unordered_map<TeamId, const Team*> teams;
    std::unordered_map<FailureDomainId, const FailureDomain*> failureDomains;
    std::unordered_map<WorkKind, std::vector<const Rule*>> rulesByKind;
    std::uint32_t totalSlots { 0 };

private:
    void indexKinds();

    /** For each kind, the distinct resources of the workers of all active targets that the rules permit. Workers come
       in a few sizes, so admission checks a few entries instead of all targets.
    */
    std::unordered_map<WorkKind, std::vector<Resources>> m_permittedResources;
};

namespace {

    template <typename Entries, typename Index> void indexById(const Entries& entries, Index& index)
    {
        for (const auto& entry : entries)
            index.emplace(entry.id, &entry);
    }

    template <typename Index, typename Id>
    auto findOrNull(const Index& index, const Id& id) -> typename Index::mapped_type
    {
        const auto found = index.find(id);
        return found == index.end() ? nullptr : found->second;
    }

    std::string quoted(const std::string& text) { return "\"" + text + "\""; }

    /** Describes the first resource of which no entry of @p available has enough. */
    std::string resourceShortage(const std::vector<Resources>& available, const Resources& needs)
    {
        Resources largest;
        for (const auto& resources : available) {
            largest.cores = std::max(largest.cores, resources.cores);
            largest.memory = std::max(largest.memory, resources.memory);
            largest.accelerators = std::max(largest.accelerators, resources.accelerators);
        }
        const auto shortage = [](const char* resource, std::uint64_t need, std::uint64_t most) {
            return "the task needs " + std::to_string(need) + " " + resource + ", the largest permitted worker has "
                + std::to_string(most);
        };
        if (needs.cores > largest.cores)
            return shortage("cores", needs.cores, largest.cores);
        if (needs.memory > largest.memory)
            return shortage("memory_mb", needs.memory.value(), largest.memory.value());
        if (needs.accelerators > largest.accelerators)
            return shortage("accelerators", needs.accelerators, largest.accelerators);
        return "no single permitted worker has the needed cores, memory_mb and accelerators together";
    }

}

Inventory::Impl::Impl(Parts checkedParts)
    : parts(std::move(checkedParts))
{
    indexById(parts.targets, targets);
    indexById(parts.workers, workers);
    indexById(parts.teams, teams);
    indexById(parts.failureDomains, failureDomains);
    for (const auto& rule : parts.rules)
        rulesByKind[rule.kind].push_back(&rule);
    indexKinds();
}

void Inventory::Impl::indexKinds()
{
    const auto isSame
        = [](const Resources& left, const Resources& right) { return left.covers(right) && right.covers(left); };
    for (const auto& target : parts.targets) {
        if (target.state == TargetState::Leaving)
            continue;
        totalSlots += target.slots.value();
        const auto& resources = resourcesOf(target);
        for (const auto& kind : target.kinds) {
            if (!isPermitted(target, kind))
                continue;
            auto& permitted = m_permittedResources[kind];
            const auto isKnown = [&](const Resources& known) { return isSame(known, resources); };
            if (std::none_of(permitted.begin(), permitted.end(), isKnown))
                permitted.push_back(resources);
        }
    }
}

const Resources& Inventory::Impl::resourcesOf(const Target& target) const
{
    static const Resources none;
    const auto* worker = findOrNull(workers, target.worker);
    return worker ? worker->resources : none;
}

bool Inventory::Impl::isPermitted(const Target& target, const WorkKind& kind) const
{
    if (!target.kinds.count(kind))
        return false;
    const auto rules = rulesByKind.find(kind);
    if (rules == rulesByKind.end())
        return true;
    const auto& resources = resourcesOf(target);
    return std::all_of(rules->second.begin(), rules->second.end(),
        [&](const Rule* rule) { return permits(*rule, target, resources); });
}

bool Inventory::Impl::isSatisfiable(const WorkKind& kind, const Resources& needs) const
{
    const auto permitted = m_permittedResources.find(kind);
    if (permitted == m_permittedResources.end())
        return false;
    return std::any_of(permitted->second.begin(), permitted->second.end(),
        [&](const Resources& resources) { return resources.covers(needs); });
}

std::string Inventory::Impl::unsatisfiableReason(const WorkKind& kind, const Resources& needs) const
{
    std::vector<const Target*> candidates;
    for (const auto& target : parts.targets) {
        if (target.state == TargetState::Active && target.kinds.count(kind))
            candidates.push_back(&target);
    }
    if (candidates.empty())
        return "no active target runs kind " + quoted(kind.value());

    const auto rules = rulesByKind.find(kind);
    for (size_t index = 0; rules != rulesByKind.end() && index < rules->second.size(); ++index) {
        const Rule& rule = *rules->second[index];
        const auto isExcluded = [&](const Target* target) { return !permits(rule, *target, resourcesOf(*target)); };
        candidates.erase(std::remove_if(candidates.begin(), candidates.end(), isExcluded), candidates.end());
        if (candidates.empty())
            return "rule " + quoted(rule.id.value()) + " leaves no active target for kind " + quoted(kind.value());
    }
    return resourceShortage(m_permittedResources.at(kind), needs);
}

Inventory::Inventory(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

Inventory::~Inventory() = default;

Result<std::shared_ptr<const Inventory>> Inventory::create(Parts parts)
{
    ValidationErrors errors;
    InventoryValidator(parts, errors).run();
    if (!errors.isEmpty())
        return errors.failure();
    auto impl = std::make_unique<Impl>(std::move(parts));
    return std::shared_ptr<const Inventory>(new Inventory(std::move(impl)));
}

Result<std::shared_ptr<const Inventory>> Inventory::parse(std::string_view json)
{
    ValidationErrors errors;
    auto parts = InventoryDocument::parse(json, errors);
    InventoryValidator(parts, errors).run();
    if (!errors.isEmpty())
        return errors.failure();
    return create(std::move(parts));
}

std::string Inventory::json() const { return InventoryDocument::toJson(m_impl->parts); }

const Inventory::Parts& Inventory::parts() const { return m_impl->parts; }

const Target* Inventory::target(const TargetId& id) const { return findOrNull(m_impl->targets, id); }

const Worker* Inventory::worker(const WorkerId& id) const { return findOrNull(m_impl->workers, id); }

const Team* Inventory::team(const TeamId& id) const { return findOrNull(m_impl->teams, id); }

const FailureDomain* Inventory::failureDomain(const FailureDomainId& id) const
{
    return findOrNull(m_impl->failureDomains, id);
}

bool Inventory::isAllowed(const Target& target, const WorkKind& kind, const Resources& needs) const
{
    return m_impl->isPermitted(target, kind) && m_impl->resourcesOf(target).covers(needs);
}

std::optional<Failure> Inventory::reasonNoTargetCanRun(const WorkKind& kind, const Resources& needs) const
{
    if (m_impl->isSatisfiable(kind, needs))
        return std::nullopt;
    return Failure { FailureCode::NoEligibleTarget, RunState::NotRun, m_impl->unsatisfiableReason(kind, needs) };
}

bool Inventory::isNeverRepeated(const WorkKind& kind) const
{
    const auto rules = m_impl->rulesByKind.find(kind);
    if (rules == m_impl->rulesByKind.end())
        return false;
    return std::any_of(rules->second.begin(), rules->second.end(), [](const Rule* rule) { return rule->neverRepeat; });
}

SlotCount Inventory::totalSlots() const { return SlotCount(m_impl->totalSlots); }

}
