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

    The engine states what each job wants; the borrower spreads the demand over keepers by their advertised free slots
   and expected wait, binds a slot to a demand when the grant arrives, reuses slots while the keeper allows it, and
   returns the others. Not thread safe.
    @see SlotKeeper
*/
class SlotBorrower {
public:
    struct Settings {
        HostId self;
        /** 0 favours response time (asks more keepers), 1 favours few wasted messages (asks the best keeper only). */
        double wasteWeight { 0.5 };
        /** An unanswered demand moves to another keeper after this time. */
        Duration demandTimeout { std::chrono::milliseconds(50) };
    };

    /** A keeper and what it advertised last. */
    struct KeeperOffer {
        HostId host;
        /** 0: this host; 1: same failure domain; 2: same region; 3: another region. */
        int distance { 0 };
        std::vector<protocol::FreeSlots> freeSlots;
        TimePoint advertisedAt;
    };

    struct Hooks {
        std::function<void(const HostId&, protocol::Envelope&&)> send;
        /** Offers a slot to the demand. The engine returns true when it binds a task to it now, which lowers the count
           of the demand by one, and false to give it back; the same target is then not offered to the demand again.
         */
        std::function<bool(DemandId, const BorrowedSlot&)> bind;
        /** No keeper can serve the demand, now or later. */
        std::function<void(DemandId, const Failure&)> refused;
    };

    SlotBorrower(Settings settings, Clock& clock, RandomSource& random, Hooks hooks);
    ~SlotBorrower();
    SlotBorrower(const SlotBorrower&) = delete;
    SlotBorrower& operator=(const SlotBorrower&) = delete;

    /** Sets the live keepers with their advertisements; demands and slots at hosts that vanished are moved or dropped.
     */
    void setKeepers(std::vector<KeeperOffer> keepers);

    /** States a new demand; slots arrive through Hooks::bind, at the earliest in the next flush(). */
    DemandId addDemand(const WorkDemand& demand);
    /** Changes how many slots the demand still wants; 0 withdraws it. A demand ends with the next flush() after its
       last slot was bound.
    */
    void setDemandCount(DemandId demand, std::uint32_t count);

    /** Ends the use of a bound slot. @p ran is the time from sending to the answer; @p declared the task's declared
       time. May call Hooks::bind again for the same slot.
    */
    void release(
        const BorrowedSlot& slot, SlotUse use, const WorkKind& kind, Duration ran, std::chrono::milliseconds declared);

    /** Handles SlotGrant and SlotReport requests. */
    void peerMessage(const HostId& from, const protocol::Envelope& envelope);

    void flush();
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
