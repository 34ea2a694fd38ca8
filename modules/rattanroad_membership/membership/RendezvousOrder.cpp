#include "rattanroad_membership/membership/MemberTable.h"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace rattanroad {

std::vector<HostId> rendezvousOrder(const std::string& key, std::vector<HostId> hosts)
{
    std::vector<std::pair<std::uint64_t, HostId>> ranked;
    ranked.reserve(hosts.size());
    for (auto& host : hosts) {
        // The separator keeps ("ab", "c") and ("a", "bc") apart.
        const auto text = key + '\0' + host.value();
        ranked.emplace_back(XXH64(text.data(), text.size(), 0), std::move(host));
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto& left, const auto& right) { return right < left; });
    hosts.clear();
    for (auto& entry : ranked)
        hosts.push_back(std::move(entry.second));
    return hosts;
}

}
