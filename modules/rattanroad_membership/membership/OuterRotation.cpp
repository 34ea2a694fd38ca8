#include "rattanroad_membership/membership/OuterRotation.h"

#include <algorithm>

namespace rattanroad {

OuterRotation::OuterRotation(RandomSource& random)
    : m_random(random)
    , m_salt(random.next())
    , m_turn(random.below(1U << 16))
{
}

std::vector<Member> OuterRotation::next(const MemberRecords& records, std::size_t count)
{
    std::map<FailureDomainId, std::vector<const Member*>> domains;
    size_t available = 0;
    for (const auto& [host, record] : records.all()) {
        if (!record.isAlive || records.isInside(record.member))
            continue;
        domains[record.member.failureDomain].push_back(&record.member);
        ++available;
    }
    std::vector<HostId> order;
    order.reserve(domains.size());
    for (const auto& [domain, members] : domains)
        order.emplace_back(domain.value());
    order = rendezvousOrder(std::to_string(m_salt), order);

    std::vector<Member> chosen;
    while (chosen.size() < std::min(count, available)) {
        auto& members = domains[FailureDomainId(order[m_turn++ % order.size()].value())];
        if (members.empty())
            continue;
        const auto position = members.begin() + static_cast<std::ptrdiff_t>(m_random.below(members.size()));
        chosen.push_back(**position);
        members.erase(position);
    }
    return chosen;
}

}
