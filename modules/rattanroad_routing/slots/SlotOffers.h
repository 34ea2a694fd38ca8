#pragma once

#include "rattanroad_protocol/rattanroad_protocol.h"
#include "rattanroad_routing/slots/TargetPool.h"
#include "rattanroad_routing/speed/SpeedModel.h"

#include <vector>

namespace rattanroad {

/** Computes the load that a keeper advertises: free slots and expected wait per kind of work. */
class SlotOffers {
public:
    SlotOffers(TargetPool& pool, const SpeedModel& speed);

    protocol::FreeSlots offer(const WorkKind& kind) const;
    /** Returns an offer for each kind of work that a kept target runs. */
    std::vector<protocol::FreeSlots> all() const;

private:
    std::uint64_t waitingSlots(const WorkKind& kind) const;

    TargetPool& m_pool;
    const SpeedModel& m_speed;
};

}
