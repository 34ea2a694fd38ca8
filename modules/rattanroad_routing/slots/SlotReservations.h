#pragma once

#include "rattanroad_protocol/rattanroad_protocol.h"
#include "rattanroad_routing/slots/LeaseManager.h"
#include "rattanroad_routing/slots/TargetPool.h"

#include <functional>
#include <set>
#include <vector>

namespace rattanroad {

/** Keeps targets that are new at this keeper from being lent until the live hosts have reported the slots of them that
    they hold, or a lease has passed. Requests are repeated, as messages may be lost.
*/
class SlotReservations {
public:
    using Send = std::function<void(const HostId&, protocol::SlotReport&&)>;

    SlotReservations(const Clock& clock, TargetPool& pool, LeaseManager& leases, Duration lease, Send send);

    /** Reserves the @p added targets and sets the hosts that are asked; hosts not in @p live are not awaited. */
    void begin(const std::vector<KeptTarget*>& added, const std::set<HostId>& live);
    void reported(const HostId& from, const protocol::SlotReport& report);
    void hostDied(const HostId& host);
    /** Ends reservations that have lasted a lease and repeats the open requests. */
    void tick();

private:
    void sendRequests();
    template <typename Predicate> void stopAwaiting(Predicate isGone);

    const Clock& m_clock;
    TargetPool& m_pool;
    LeaseManager& m_leases;
    const Duration m_lease;
    const Send m_send;
};

}
