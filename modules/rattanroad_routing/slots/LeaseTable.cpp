#include "rattanroad_routing/slots/LeaseTable.h"

namespace rattanroad {

namespace {

    // Numbers of expired leases that are kept to recognise late returns. The measurement in a late return is not worth
    // more memory.
    constexpr std::size_t maximumExpiredNumbers = 10000;

    std::uint64_t randomFirstNumber(RandomSource& random)
    {
        // The low 40 bits are left for counting and last a year at 30,000 leases per second.
        return ((random.next() >> 41U) + 1) << 40U;
    }

}

LeaseTable::LeaseTable(RandomSource& random)
    : m_firstNumber(randomFirstNumber(random))
    , m_nextNumber(m_firstNumber)
{
}

Lease& LeaseTable::create(Lease lease)
{
    // Skips numbers of adopted leases, which can be next when two keepers use the same random seed.
    while (m_leases.count(LeaseId(m_nextNumber)))
        ++m_nextNumber;
    lease.id = LeaseId(m_nextNumber++);
    return insert(std::move(lease));
}

Lease* LeaseTable::adopt(Lease lease)
{
    const auto* const known = find(lease.id);
    if (!known)
        return &insert(std::move(lease));
    if (known->target == lease.target && known->host == lease.host)
        return nullptr;
    return &create(std::move(lease));
}

Lease& LeaseTable::insert(Lease lease)
{
    m_byExpiry.emplace(lease.expiresAt, lease.id);
    return m_leases.emplace(lease.id, std::move(lease)).first->second;
}

Lease* LeaseTable::find(LeaseId id)
{
    const auto found = m_leases.find(id);
    return found == m_leases.end() ? nullptr : &found->second;
}

void LeaseTable::setExpiry(Lease& lease, TimePoint expiresAt)
{
    m_byExpiry.erase({ lease.expiresAt, lease.id });
    lease.expiresAt = expiresAt;
    m_byExpiry.emplace(expiresAt, lease.id);
}

void LeaseTable::erase(Lease& lease)
{
    const auto id = lease.id;
    m_byExpiry.erase({ lease.expiresAt, id });
    m_leases.erase(id);
}

Lease* LeaseTable::firstExpired(TimePoint now)
{
    if (m_byExpiry.empty() || m_byExpiry.begin()->first > now)
        return nullptr;
    return find(m_byExpiry.begin()->second);
}

std::optional<TimePoint> LeaseTable::firstExpiry() const
{
    if (m_byExpiry.empty())
        return std::nullopt;
    return m_byExpiry.begin()->first;
}

void LeaseTable::recordExpired(LeaseId id)
{
    if (m_expiredNumbers.size() >= maximumExpiredNumbers)
        m_expiredNumbers.clear();
    m_expiredNumbers.insert(id);
}

bool LeaseTable::acceptLateReturn(LeaseId id) { return m_expiredNumbers.erase(id) > 0 || !isOwnNumber(id); }

void LeaseTable::forEach(const std::function<void(Lease&)>& visit)
{
    for (auto& [id, lease] : m_leases)
        visit(lease);
}

}
