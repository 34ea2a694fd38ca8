#pragma once

#include "fakes/Fleet.h"

#include <functional>
#include <string>
#include <vector>

namespace rattanroad {

/** Faults of one failure run, drawn from a seed: their kinds, times and durations. Everything heals by healedAt(). */
class FaultPlan {
public:
    enum class Kind {
        KillHost,
        FreezeHost,
        CutDomains,
        CutOneWay,
        CutStore,
        StoreDown,
        StoreSlow,
        StoreLosesReplies,
        StoreStale,
        DisturbNetwork,
        RaceOperators,
        LeaveTarget,
        FailTargets,
        SlowTarget,
        FreezeTarget,
        CancelWave,
        DrainHost,
    };
    static constexpr int kindCount = static_cast<int>(Kind::DrainHost) + 1;

    struct Fault {
        Kind kind { Kind::KillHost };
        Duration at { 0 };
        Duration lasts { 0 };
        std::size_t first { 0 };
        std::size_t second { 0 };
    };

    /** Draws one to six faults between @p from and @p until; sometimes two at the same moment. */
    static FaultPlan draw(RandomSource& random, std::size_t hosts, std::size_t targets, Duration from, Duration until);

    /** Schedules the faults on the fleet; @p cancelWave is called for Kind::CancelWave. */
    void schedule(Fleet& fleet, const std::function<void()>& cancelWave) const;

    /** Returns when the last fault has healed, counted like the times of the faults. */
    Duration healedAt() const;
    /** Returns one line per fault, for a failing seed. */
    std::string text() const;
    const std::vector<Fault>& faults() const { return m_faults; }

private:
    static void apply(Fleet& fleet, const Fault& fault, const std::function<void()>& cancelWave);
    static void heal(Fleet& fleet, const Fault& fault);
    static void applyStoreFault(Fleet& fleet, const Fault& fault);

    std::vector<Fault> m_faults;
};

/** Returns the name of a kind of fault, for example "kill-host". */
const char* name(FaultPlan::Kind kind);

}
