#pragma once

#include "rattanroad_protocol/rattanroad_protocol.h"
#include "rattanroad_routing/slots/SlotTypes.h"

#include <map>
#include <vector>

namespace rattanroad {

/** Returned and kept slots that wait to be sent, one message per keeper. A kept slot alone is no reason to send. */
class SlotReturns {
public:
    /** Describes how a slot was used. */
    static protocol::ReturnedSlot describe(
        const BorrowedSlot& slot, SlotUse use, const WorkKind& kind, Duration ran, std::chrono::milliseconds declared);

    void add(const HostId& keeper, protocol::ReturnedSlot slot);
    /** Drops what waits for a keeper that vanished. */
    void drop(const HostId& keeper) { m_batches.erase(keeper); }

    /** Takes the messages to send now: all when @p isKeptDue, else those that return at least one slot. */
    std::map<HostId, protocol::SlotReturn> take(bool isKeptDue);
    bool isEmpty() const { return m_batches.empty(); }

private:
    struct Batch {
        protocol::SlotReturn message;
        bool hasReturn { false };
    };
    std::map<HostId, Batch> m_batches;
};

}
