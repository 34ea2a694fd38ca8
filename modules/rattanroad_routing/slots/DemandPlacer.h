#pragma once

#include "rattanroad_routing/slots/KeeperDirectory.h"
#include "rattanroad_routing/slots/OpenDemands.h"

#include <set>
#include <vector>

namespace rattanroad {

/** Keeps the asks at the keepers in step with what the open demands want: places what is missing, takes back what is
    too much, leaves keepers that do not answer, and reports demands that every keeper refuses.
*/
class DemandPlacer {
public:
    DemandPlacer(const SlotBorrower::Settings& settings, const Clock& clock, KeeperDirectory& directory,
        const SlotBorrower::Hooks& hooks);

    OpenDemands& demands() { return m_demands; }
    const OpenDemands& demands() const { return m_demands; }

    /** Changes the count on behalf of the engine; 0 removes the demand. */
    void setCount(DemandId id, std::uint32_t count);
    /** Handles the refusal of an ask by its keeper. */
    void refused(Ask& ask, const Failure& reason);
    /** Notes an answer that brought @p slots new slots for the ask; the ask ends when it has all. */
    void answered(Ask& ask, std::uint32_t slots);
    /** Ends an ask whose keeper need not be told. */
    void endAsk(Ask& ask);
    /** Moves demands away from keepers that @p isLive does not accept, and looks again for those that were refused. */
    void keepersChanged();

    /** Places and sends what has changed. May call Hooks::refused. */
    void flush();
    void tick();
    TimePoint nextWakeup() const;
    std::uint64_t sentCount() const { return m_sentCount; }

private:
    void adjust(OpenDemand& demand);
    void place(OpenDemand& demand, std::uint32_t missing);
    void reduce(OpenDemand& demand, std::uint32_t surplus);
    void withdraw(Ask& ask);
    void giveUpOrRetry(OpenDemand& demand);
    void remove(OpenDemand& demand);
    void sendAsks(OpenDemand& demand);
    void cut(OpenDemand& demand, Ask& ask, std::uint32_t count);
    void moveQueued();
    void sendWithdrawals();
    void leaveOrRefresh(Ask& ask);
    void retryRefused();

    const SlotBorrower::Settings& m_settings;
    const Clock& m_clock;
    KeeperDirectory& m_directory;
    const SlotBorrower::Hooks& m_hooks;
    OpenDemands m_demands;
    std::vector<std::pair<HostId, std::uint64_t>> m_withdrawals;
    /** Demands that no keeper serves for now. */
    std::set<DemandId> m_unplaced;
    /** Asks that their keepers have answered and still owe slots. */
    std::set<std::uint64_t> m_queued;
    std::uint64_t m_sentCount { 0 };
};

}
