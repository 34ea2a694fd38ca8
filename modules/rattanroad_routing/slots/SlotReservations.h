#pragma once

#include "rattanroad_protocol/rattanroad_protocol.h"
#include "rattanroad_routing/slots/LeaseManager.h"
#include "rattanroad_routing/slots/TargetPool.h"

#include <functional>
#include <set>
#include <vector>

namespace rattanroad {

/** Reserves targets that are new to this keeper: their slots are not lent until all live hosts have reported the slots
    they hold, or until one lease has passed. Report requests are repeated, as messages may be lost.
*/
class SlotReservations {
public:
    using Send = std::function<void(const HostId&, protocol::SlotReport&&)>;

    SlotReservations(const Clock& clock, TargetPool& pool, LeaseManager& leases, Duration leaseDuration, Send send);

    /** Reserves the @p added targets until the @p live hosts have reported; stops waiting for all other hosts. */
    void reserve(const std::vector<KeptTarget*>& added, const std::set<HostId>& live);
    void handleReport(const HostId& from, const protocol::SlotReport& report);
    void hostDied(const HostId& host);
    /** Ends reservations that have lasted one lease and repeats the open report requests. */
    void tick();

private:
    void sendReportRequests();
    template <typename Predicate> void stopAwaiting(Predicate isGone);

    const Clock& m_clock;
    TargetPool& m_pool;
    LeaseManager& m_leases;
    const Duration m_leaseDuration;
    const Send m_send;
};

}
