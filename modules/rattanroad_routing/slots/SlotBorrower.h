#pragma once

#include "rattanroad_core/failure/Failure.h"
#include "rattanroad_core/random/RandomSource.h"
#include "rattanroad_core/time/Clock.h"
#include "rattanroad_protocol/rattanroad_protocol.h"
#include "rattanroad_routing/slots/SlotTypes.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace rattanroad {

/** Borrows slots from keepers for the jobs of this host.

    The engine adds a demand for each job and kind of work. The borrower divides it among the keepers by their
    advertised free slots and expected waits, offers granted slots to the engine, reuses slots while their keeper allows
    it, renews their leases, and returns them after use. Not thread safe.
    @see SlotKeeper
*/
class SlotBorrower {
public:
    struct Settings {
        HostId self;
        /** 0 favours response time, 1 favours few wasted messages: the higher, the later queued requests move to
            keepers with free slots.
        */
        double wasteWeight { 0.5 };
        /** A request that is not answered within this time moves to another keeper. */
        Duration demandTimeout { std::chrono::milliseconds(50) };
    };

    /** A live keeper with its last advertisement. */
    struct KeeperOffer {
        HostId host;
        /** 0: this host; 1: same failure domain; 2: same region; 3: another region. */
        int distance { 0 };
        std::vector<protocol::FreeSlots> freeSlots;
        TimePoint advertisedAt;
    };

    struct Hooks {
        std::function<void(const HostId&, protocol::Envelope&&)> send;
        /** Offers a slot to the demand. The engine returns true when it binds a task to the slot, which lowers the
            count of the demand by one, or false to decline it; the target is then not offered to the demand again.
        */
        std::function<bool(DemandId, const BorrowedSlot&)> bind;
        /** Called when no keeper can serve the demand, now or later; the demand has ended. */
        std::function<void(DemandId, const Failure&)> refused;
    };

    SlotBorrower(Settings settings, Clock& clock, RandomSource& random, Hooks hooks);
    ~SlotBorrower();
    SlotBorrower(const SlotBorrower&) = delete;
    SlotBorrower& operator=(const SlotBorrower&) = delete;

    /** Sets the live keepers with their advertisements. Requests at keepers that are no longer listed are placed again;
        their slots are no longer renewed or returned.
    */
    void setKeepers(std::vector<KeeperOffer> keepers);

    /** Adds a demand. The next flush() sends its requests; slots are offered through Hooks::bind. */
    DemandId addDemand(const WorkDemand& demand);
    /** Sets how many slots the demand still wants; 0 withdraws it. A demand ends with the next flush() after its last
        slot was bound.
    */
    void setDemandCount(DemandId demand, std::uint32_t count);

    /** Ends the use of a bound slot. @p runTime is the time from sending the task to its answer, @p declared the run
        time that its caller declared. May call Hooks::bind again for the same slot.
    */
    void release(const BorrowedSlot& slot, SlotUse use, const WorkKind& kind, Duration runTime,
        std::chrono::milliseconds declared);

    /** Handles SlotGrant messages and requests for a SlotReport; ignores other messages. */
    void peerMessage(const HostId& from, const protocol::Envelope& envelope);

    /** Sends new and changed requests and slot returns; called once per iteration of the event loop. */
    void flush();
    /** Handles requests whose time has passed and renews leases. */
    void tick();
    TimePoint nextWakeup() const;

    /** Returns the shortest expected wait for a slot of @p kind over all keepers; zero when slots are free. */
    Duration expectedWait(const WorkKind& kind) const;

    struct Statistics {
        std::size_t slotsHeld { 0 };
        std::size_t demandsOpen { 0 };
        std::uint64_t demandsSent { 0 };
        std::uint64_t slotsReturnedUnused { 0 };
    };
    Statistics statistics() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
