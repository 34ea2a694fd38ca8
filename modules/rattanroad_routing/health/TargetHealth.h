#pragma once

#include "rattanroad_core/time/Clock.h"

#include <cstdint>

namespace rattanroad {

/** Health of one target: the share of failures among its latest tasks, and its ejection from service.

    An ejected target gets single trial tasks at increasing intervals. The first success returns it to service on
    probation, during which a single failure ejects it again.
*/
class TargetHealth {
public:
    /** Records a finished task. Must not be called for trial tasks. @see endTrial */
    void record(bool isSuccess, TimePoint now);

    /** Returns whether the target fails most of its tasks and clearly more than its peers, or has failed on probation.
        @param peerFailureShare mean share of failures at the other targets; a fault that all targets share is caused by
        the work rather than by one target
    */
    bool shouldEject(double peerFailureShare) const;

    /** Returns the share of failures among the latest tasks; 0 when there are too few of them. */
    double failureShare() const;
    /** Returns the expected share of successes, smoothed so that one failure of a new target has little effect. */
    double successShare() const;

    bool isEjected() const { return m_isEjected; }
    /** Returns whether an ejected target may get its next trial task. */
    bool isTrialDue(TimePoint now) const { return m_isEjected && !m_isTrialRunning && now >= m_nextTrialAt; }
    /** Returns the time of the next trial; only meaningful while the target is ejected and no trial is running. */
    TimePoint nextTrialAt() const { return m_nextTrialAt; }
    bool isTrialRunning() const { return m_isTrialRunning; }

    void eject(TimePoint now);
    void beginTrial();
    /** Ends a trial. After a success the target returns to service; after a failure the trial interval doubles. */
    void endTrial(bool isSuccess, TimePoint now);
    /** Ends a trial whose slot was not used or whose result was lost; the next trial is due at once. */
    void abandonTrial(TimePoint now);

private:
    void clearWindow();

    // One bit per finished task, set for a failure; the latest task is the lowest bit.
    std::uint32_t m_failureBits { 0 };
    std::uint32_t m_sampleCount { 0 };
    TimePoint m_lastSampleAt;
    TimePoint m_nextTrialAt;
    TimePoint m_returnedToServiceAt;
    Duration m_trialInterval { 0 };
    bool m_isEjected { false };
    bool m_isTrialRunning { false };
    bool m_isOnProbation { false };
};

}
