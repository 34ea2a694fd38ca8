#include "rattanroad_routing/slots/SlotReturns.h"

#include <algorithm>

namespace rattanroad {

namespace {

    protocol::ReturnedSlot::Use toMessage(SlotUse use)
    {
        switch (use) {
        case SlotUse::Unused:
            return protocol::ReturnedSlot::UNUSED;
        case SlotUse::Succeeded:
            return protocol::ReturnedSlot::SUCCEEDED;
        case SlotUse::Failed:
            return protocol::ReturnedSlot::FAILED;
        case SlotUse::Rejected:
            return protocol::ReturnedSlot::REJECTED;
        case SlotUse::Unreachable:
            return protocol::ReturnedSlot::UNREACHABLE;
        case SlotUse::Unknown:
            break;
        }
        return protocol::ReturnedSlot::UNKNOWN;
    }

}

protocol::ReturnedSlot SlotReturns::describe(
    const BorrowedSlot& slot, SlotUse use, const WorkKind& kind, Duration runTime, std::chrono::milliseconds declared)
{
    protocol::ReturnedSlot returned;
    returned.set_lease(slot.lease.value());
    returned.set_target(slot.target.value());
    returned.set_use(toMessage(use));
    if (use == SlotUse::Unused)
        return returned;
    const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(runTime).count();
    returned.set_kind(kind.value());
    returned.set_declared_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(0, declared.count())));
    returned.set_run_us(static_cast<std::uint32_t>(std::clamp<std::int64_t>(microseconds, 0, UINT32_MAX)));
    return returned;
}

void SlotReturns::add(const HostId& keeper, protocol::ReturnedSlot slot)
{
    auto& batch = m_batches[keeper];
    batch.hasReturn = batch.hasReturn || !slot.kept();
    *batch.message.add_slots() = std::move(slot);
}

std::map<HostId, protocol::SlotReturn> SlotReturns::take(bool isRenewalDue)
{
    std::map<HostId, protocol::SlotReturn> messages;
    for (auto batch = m_batches.begin(); batch != m_batches.end();) {
        if (!isRenewalDue && !batch->second.hasReturn) {
            ++batch;
            continue;
        }
        messages.emplace(batch->first, std::move(batch->second.message));
        batch = m_batches.erase(batch);
    }
    return messages;
}

}
