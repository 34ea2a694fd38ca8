#pragma once

#include "rattanroad_core/time/Clock.h"

#include <cstdint>

namespace rattanroad {

/** Health of one target: the share of failures among its latest tasks, and its way out of service and back.

    An ejected target gets single trial tasks with growing intervals. The first success returns it to service on
    probation, in which a single failure ejects it again.
*/
class TargetHealth {
public:
    /** Counts an ended task. Must not be called for trial tasks. @see endTrial */
    void record(bool isSuccess, TimePoint now);

    /** Returns whether the target fails most of what it starts, clearly more than its peers do.
        @param peerFailureShare mean share of failures at the other targets; a fault that all targets share lies in
        the work rather than in one target
    */
    bool shouldEject(double peerFailureShare) const;

    /** Share of failures among the latest tasks, 0 when there are too few to tell. */
    double failureShare() const;
    /** Expected share of successes, smoothed so that one failure of a new target does not condemn it. */
    double successShare() const;

    bool isEjected() const { return m_isEjected; }
    /** Returns whether an ejected target may get its next trial task. */
    bool isTrialDue(TimePoint now) const { return m_isEjected && !m_isTrialRunning && now >= m_nextTrialAt; }
    /** Time of the next trial; only meaningful while ejected with no trial running. */
    TimePoint nextTrialAt() const { return m_nextTrialAt; }
    bool isTrialRunning() const { return m_isTrialRunning; }

    void eject(TimePoint now);
    void beginTrial();
    /** Ends a trial; the target returns to service when it succeeded. */
    void endTrial(bool isSuccess, TimePoint now);
    /** Ends a trial whose slot was not used or whose result was lost; the next one may follow at once. */
    void abandonTrial(TimePoint now);

private:
    void clearWindow();

    // One bit per ended task, the latest lowest; set for failures.
    std::uint32_t m_failures { 0 };
    std::uint32_t m_samples { 0 };
    TimePoint m_lastSampleAt;
    TimePoint m_nextTrialAt;
    TimePoint m_returnedAt;
    Duration m_trialInterval { 0 };
    bool m_isEjected { false };
    bool m_isTrialRunning { false };
    bool m_isOnProbation { false };
};

}
