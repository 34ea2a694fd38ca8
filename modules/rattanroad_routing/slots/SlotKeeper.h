#pragma once

#include "rattanroad_core/random/RandomSource.h"
#include "rattanroad_core/time/Clock.h"
#include "rattanroad_inventory/inventory/Inventory.h"
#include "rattanroad_protocol/rattanroad_protocol.h"
#include "rattanroad_routing/slots/SlotTypes.h"

#include <functional>
#include <memory>
#include <vector>

namespace rattanroad {

/** Allocates the slots of the targets that this host keeps, as leases to borrowers.

    Each target has one keeper at a time, which therefore knows how many slots of the target are in use. The keeper
    queues demands by priority, then by weighted fairness between teams, then by age of the job; enforces its share of
    each team's quota, in proportion to the slots it keeps; learns speed and health of its targets from returned slots;
    and lends the best slot first. After a change of keeper, the new keeper lends no slot of a target until all live
    hosts have reported the slots they hold, or until one lease has passed. Not thread safe.
    @see SlotBorrower
*/
class SlotKeeper {
public:
    struct Settings {
        Duration leaseDuration { std::chrono::seconds(2) };
        /** Largest share of the kept targets that may be ejected at a time, 0 to 1. */
        double maximumEjectedShare { 0.3 };
        /** 0 favours response time, 1 favours few wasted messages. */
        double wasteWeight { 0.5 };
    };

    struct Hooks {
        std::function<void(const HostId&, protocol::Envelope&&)> send;
    };

    SlotKeeper(Settings settings, Clock& clock, RandomSource& random, Hooks hooks);
    ~SlotKeeper();
    SlotKeeper(const SlotKeeper&) = delete;
    SlotKeeper& operator=(const SlotKeeper&) = delete;

    /** Sets the inventory in force and the targets that this host keeps. Targets that are new to this host are reserved
        until all @p liveHosts have reported the slots they hold, or for one lease.
    */
    void setKeptTargets(std::shared_ptr<const Inventory> inventory, const std::vector<TargetId>& kept,
        const std::vector<HostId>& liveHosts);
    /** Sets the targets that the platform lists as leaving, in addition to those leaving in the inventory. */
    void setLeavingTargets(const std::set<TargetId>& leaving);
    /** Withdraws the demands of a dead host; the slots it holds stay in use until their leases end. */
    void hostDied(const HostId& host);

    /** Handles SlotDemand, SlotReturn and SlotReport messages; ignores other messages. */
    void peerMessage(const HostId& from, const protocol::Envelope& envelope);

    /** Sends the grants that have become possible; called once per iteration of the event loop. */
    void flush();
    /** Ends expired leases, offers ejected targets for due trials, and repeats report requests. */
    void tick();
    TimePoint nextWakeup() const;

    /** Returns the free slots per kind of work, to be advertised in heartbeats. */
    std::vector<protocol::FreeSlots> freeSlots() const;

    /** State of one target as shown to operators. */
    struct TargetStatus {
        TargetId id;
        SlotCount limit;
        SlotCount used;
        bool isEjected { false };
        bool isLeaving { false };
        double relativeSpeed { 1 };
        double successShare { 1 };
    };
    std::vector<TargetStatus> status() const;

    struct Statistics {
        std::uint64_t grants { 0 };
        std::uint64_t returnsUnused { 0 };
        std::uint64_t leasesExpired { 0 };
        std::uint64_t ejections { 0 };
        std::size_t demandsWaiting { 0 };
    };
    Statistics statistics() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
