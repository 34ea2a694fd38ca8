#include "measure/WasteCounter.h"

#include <algorithm>

namespace rattanroad {

namespace {

    std::string key(const std::string& borrower, const std::string& keeper, std::uint64_t number)
    {
        return borrower + ">" + keeper + "#" + std::to_string(number);
    }

}

void WasteCounter::message(const std::string& to, const std::string& from, const protocol::Envelope& envelope)
{
    if (envelope.has_slot_demand())
        demand(key(from, to, envelope.slot_demand().demand()));
    else if (envelope.has_slot_grant())
        grant(from, key(to, from, envelope.slot_grant().demand()), envelope.slot_grant());
    else if (envelope.has_slot_return())
        returned(to, envelope.slot_return());
}

void WasteCounter::demand(const std::string& key) { m_demands[key].isUseful.push_back(false); }

void WasteCounter::grant(const std::string& keeper, const std::string& demandKey, const protocol::SlotGrant& grant)
{
    if (grant.demand() == 0) {
        m_notices++;
        return;
    }
    for (const protocol::LentSlot& slot : grant.slots())
        m_grantOfLease[key({}, keeper, slot.lease())] = m_grants.size();
    m_grants.push_back({ demandKey, m_demands[demandKey].isUseful.size(), false });
}

void WasteCounter::returned(const std::string& keeper, const protocol::SlotReturn& slots)
{
    bool isAnyUsed = false;
    for (const protocol::ReturnedSlot& slot : slots.slots()) {
        if (slot.use() == protocol::ReturnedSlot::UNUSED && !slot.kept())
            continue;
        isAnyUsed = true;
        markUsed(key({}, keeper, slot.lease()));
    }
    m_returns++;
    m_unusedReturns += isAnyUsed ? 0 : 1;
}

void WasteCounter::markUsed(const std::string& leaseKey)
{
    const auto found = m_grantOfLease.find(leaseKey);
    if (found == m_grantOfLease.end())
        return;
    Grant& grant = m_grants[found->second];
    if (grant.isUseful)
        return;
    grant.isUseful = true;
    std::vector<bool>& marks = m_demands[grant.demand].isUseful;
    std::fill(marks.begin(), marks.begin() + static_cast<std::ptrdiff_t>(grant.demandMessages), true);
}

WasteCounter::Parts WasteCounter::parts() const
{
    Parts parts;
    for (const auto& entry : m_demands) {
        const std::vector<bool>& marks = entry.second.isUseful;
        parts.demands += marks.size();
        parts.unusedDemands += static_cast<std::uint64_t>(std::count(marks.begin(), marks.end(), false));
    }
    parts.grants = m_grants.size();
    parts.unusedGrants = static_cast<std::uint64_t>(
        std::count_if(m_grants.begin(), m_grants.end(), [](const Grant& grant) { return !grant.isUseful; }));
    parts.grants += m_notices;
    parts.unusedGrants += m_notices;
    parts.notices = m_notices;
    parts.returns = m_returns;
    parts.unusedReturns = m_unusedReturns;
    return parts;
}

std::uint64_t WasteCounter::wasted() const
{
    const Parts all = parts();
    return all.unusedDemands + all.unusedGrants + all.unusedReturns;
}

}
