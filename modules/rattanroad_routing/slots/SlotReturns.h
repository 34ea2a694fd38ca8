#pragma once

#include "rattanroad_protocol/rattanroad_protocol.h"
#include "rattanroad_routing/slots/SlotTypes.h"

#include <map>
#include <vector>

namespace rattanroad {

/** Batches slot returns and lease renewals into one message per keeper. Renewals alone are not sent at once; they wait
    for the next return or the next renewal time.
*/
class SlotReturns {
public:
    /** Builds the message entry that describes how a slot was used. */
    static protocol::ReturnedSlot describe(const BorrowedSlot& slot, SlotUse use, const WorkKind& kind,
        Duration runTime, std::chrono::milliseconds declared);

    void add(const HostId& keeper, protocol::ReturnedSlot slot);
    /** Drops the batch for a keeper that is no longer live. */
    void drop(const HostId& keeper) { m_batches.erase(keeper); }

    /** Removes and returns the messages to send: all if @p isRenewalDue, else those with at least one returned slot. */
    std::map<HostId, protocol::SlotReturn> take(bool isRenewalDue);
    bool isEmpty() const { return m_batches.empty(); }

private:
    struct Batch {
        protocol::SlotReturn message;
        bool hasReturn { false };
    };
    std::map<HostId, Batch> m_batches;
};

}
