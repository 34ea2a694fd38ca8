#pragma once

#include "rattanroad_routing/slots/KeeperDirectory.h"
#include "rattanroad_routing/slots/OpenDemands.h"

#include <set>
#include <vector>

namespace rattanroad {

/** Spreads the open demands of a borrower over the keepers as slot requests.

    Sends requests for the slots that a demand still lacks, withdraws surplus requests, moves requests away from keepers
    that do not answer, and reports demands that every keeper refuses.
*/
class DemandPlacer {
public:
    DemandPlacer(const SlotBorrower::Settings& settings, const Clock& clock, KeeperDirectory& directory,
        const SlotBorrower::Hooks& hooks);

    OpenDemands& demands() { return m_demands; }
    const OpenDemands& demands() const { return m_demands; }

    /** Sets how many slots the demand still wants; 0 removes it. */
    void setCount(DemandId id, std::uint32_t count);
    /** Ends a request that its keeper refused. */
    void handleRefusal(SlotRequest& request, const Failure& reason);
    /** Records an answer that granted @p slots new slots; the request ends when it has received all of its slots. */
    void handleAnswer(SlotRequest& request, std::uint32_t slots);
    /** Ends a request without sending a withdrawal to its keeper. */
    void endRequest(SlotRequest& request);
    /** Ends the requests at keepers that are no longer in the directory, and places unplaced demands again. */
    void handleKeeperChange();

    /** Updates and sends the requests of demands that have changed. May call Hooks::refused. */
    void flush();
    void tick();
    TimePoint nextWakeup() const;
    std::uint64_t sentCount() const { return m_sentCount; }

private:
    void adjustRequests(OpenDemand& demand);
    void place(OpenDemand& demand, std::uint32_t missing);
    void withdrawSurplus(OpenDemand& demand, std::uint32_t surplus);
    void withdraw(SlotRequest& request);
    void giveUpOrRetry(OpenDemand& demand);
    void remove(OpenDemand& demand);
    void sendRequests(OpenDemand& demand);
    void reduceRequest(OpenDemand& demand, SlotRequest& request, std::uint32_t count);
    void moveQueuedRequests();
    void sendWithdrawals();
    void handleDueRequest(SlotRequest& request);
    void retryRefused();

    const SlotBorrower::Settings& m_settings;
    const Clock& m_clock;
    KeeperDirectory& m_directory;
    const SlotBorrower::Hooks& m_hooks;
    OpenDemands m_demands;
    std::vector<std::pair<HostId, std::uint64_t>> m_withdrawals;
    /** Demands with missing slots for which no keeper could be chosen. */
    std::set<DemandId> m_unplaced;
    /** Numbers of requests that were answered and have not received all of their slots. */
    std::set<std::uint64_t> m_queuedRequests;
    std::uint64_t m_sentCount { 0 };
};

}
