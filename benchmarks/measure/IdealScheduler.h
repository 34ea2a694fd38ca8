#pragma once

#include "measure/Trace.h"

#include <vector>

namespace rattanroad {

/** Scheduler that the policies are compared with: it knows all true run times and speeds and needs no messages. List
    scheduling: whenever a slot is free and a task waits, the longest task of the oldest job starts on the fastest
   target with a free slot. Nothing waits for a faster slot while a slower one is free.
*/
class IdealScheduler {
public:
    /** Returns the response time of each job of @p trace. */
    static std::vector<Duration> responses(const Workload& workload, const Trace& trace);
};

}
