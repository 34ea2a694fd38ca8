#pragma once

#include "rattanroad_protocol/rattanroad_protocol.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace rattanroad {

/** Counts the messages between entry hosts without which the same answers would have come:
    - a SlotDemand after which the keeper granted no slot for this demand that was used (withdrawals included),
    - a SlotGrant of which no slot was used, or that lends none,
    - a SlotReturn that returns only unused slots.
    Messages between a host and itself never reach the network and do not count.
*/
class WasteCounter {
public:
    /** Sees every message; @p to is the receiver's address. */
    void message(const std::string& to, const std::string& from, const protocol::Envelope& envelope);

    /** Call at the end of the run, when all slots have been returned. */
    std::uint64_t wasted() const;

    struct Parts {
        std::uint64_t demands { 0 };
        std::uint64_t unusedDemands { 0 };
        std::uint64_t grants { 0 };
        std::uint64_t unusedGrants { 0 };
        /** Those of the unused grants that belong to no demand: they only tell whether slots may be reused. */
        std::uint64_t notices { 0 };
        std::uint64_t returns { 0 };
        std::uint64_t unusedReturns { 0 };
    };
    Parts parts() const;

private:
    struct Demand {
        /** One mark per SlotDemand message; set when a slot granted later was used. */
        std::vector<bool> isUseful;
    };
    struct Grant {
        std::string demand;
        /** Messages of the demand that were sent before this grant. */
        std::size_t demandMessages { 0 };
        bool isUseful { false };
    };

    void demand(const std::string& key);
    void grant(const std::string& keeper, const std::string& demandKey, const protocol::SlotGrant& grant);
    void returned(const std::string& keeper, const protocol::SlotReturn& slots);
    void markUsed(const std::string& leaseKey);

    std::unordered_map<std::string, Demand> m_demands;
    std::vector<Grant> m_grants;
    std::unordered_map<std::string, std::size_t> m_grantOfLease;
    std::uint64_t m_notices { 0 };
    std::uint64_t m_returns { 0 };
    std::uint64_t m_unusedReturns { 0 };
};

}
