#pragma once

#include "rattanroad_shards/scheduling/GuaranteedShares.h"
#include "rattanroad_shards/scheduling/WorkQueue.h"

namespace rattanroad::shards {

/** The order in which one scheduling pass offers jobs to targets. While everything that waits can be done in time, jobs
    are ordered by their soft deadlines. Otherwise priorities that are owed a part of their guaranteed share come first,
    then the others by priority, each by soft deadline. Late jobs come last.

    The job that was returned last may be changed or removed while the pass is under way, no other one.
*/
class ScheduleOrder {
public:
    /** @p shares is null while everything that waits can be done in time. */
    explicit ScheduleOrder(const WorkQueue& queue, const GuaranteedShares* shares = nullptr);

    /** Returns whether jobs of several priorities wait that cannot all be done in time at this rate. */
    static bool isRoomShort(const WorkQueue& queue, double rate, TimePoint now);

    /** Returns the next job, or null at the end. It is valid until it is changed. */
    const WaitingJob* next();

private:
    struct Position {
        std::uint32_t priority { 0 };
        WorkQueue::Jobs::const_iterator next {};
        WorkQueue::Jobs::const_iterator end {};
    };

    Position* firstByDeadline();
    Position* firstByPriority();

    const GuaranteedShares* m_shares;
    /** Jobs in time, by priority. */
    std::vector<Position> m_inTime;
    Position m_late;
};

}
