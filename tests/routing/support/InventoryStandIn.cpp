// A minimal Inventory for the tests of routing and admission, used until the inventory module is merged.
#include "rattanroad_inventory/inventory/Inventory.h"

#include <algorithm>

namespace rattanroad {

class Inventory::Impl {
public:
    Parts parts;
};

Inventory::Inventory(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

Inventory::~Inventory() = default;

Result<std::shared_ptr<const Inventory>> Inventory::create(Parts parts)
{
    auto impl = std::make_unique<Impl>();
    impl->parts = std::move(parts);
    return std::shared_ptr<const Inventory>(new Inventory(std::move(impl)));
}

const Inventory::Parts& Inventory::parts() const { return m_impl->parts; }

const Target* Inventory::target(const TargetId& id) const
{
    const auto& all = m_impl->parts.targets;
    const auto found = std::find_if(all.begin(), all.end(), [&](const Target& each) { return each.id == id; });
    return found == all.end() ? nullptr : &*found;
}

const Team* Inventory::team(const TeamId& id) const
{
    const auto& all = m_impl->parts.teams;
    const auto found = std::find_if(all.begin(), all.end(), [&](const Team& each) { return each.id == id; });
    return found == all.end() ? nullptr : &*found;
}

bool Inventory::isAllowed(const Target& target, const WorkKind& kind, const Resources& needs) const
{
    return target.kinds.count(kind) > 0 && Resources { 32, MebibyteCount(65536), 0 }.covers(needs);
}

std::optional<Failure> Inventory::reasonNoTargetCanRun(const WorkKind& kind, const Resources& needs) const
{
    for (const auto& target : m_impl->parts.targets) {
        if (target.state == TargetState::Active && isAllowed(target, kind, needs))
            return std::nullopt;
    }
    return Failure { FailureCode::NoEligibleTarget, RunState::NotRun, "no target runs kind " + kind.value() };
}

SlotCount Inventory::totalSlots() const
{
    std::uint32_t sum = 0;
    for (const auto& target : m_impl->parts.targets)
        sum += target.state == TargetState::Active ? target.slots.value() : 0;
    return SlotCount(sum);
}

}
