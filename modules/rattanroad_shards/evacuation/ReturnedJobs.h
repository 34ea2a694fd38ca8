#pragma once

#include "rattanroad_shards/types/ShardTypes.h"

#include <deque>
#include <map>
#include <optional>

namespace rattanroad::shards {

/** Remembers the best-effort jobs that the holder of a shard has returned to their origins, which may have submitted
    them to other shards. A submission that was sent before its origin learned of the return must not bring the job
   back: runs of one task in two shards could overlap.
*/
class ReturnedJobs {
public:
    struct Settings {
        /** A submission that is under way for longer than a second is ignored anyway; an origin that has not received
            the notice repeats its submission for as long as its caller waits. */
        std::chrono::seconds retention { 6 };
    };

    ReturnedJobs(Settings settings, const Clock& clock)
        : m_settings(settings)
        , m_clock(clock)
    {
    }

    /** The job was returned to the host at this address. */
    void add(const JobId& job, const std::string& origin);
    void clear();
    /** Returns the origin that a job was returned to if a submission of it may have been sent before the origin knew
        that. @p isResent tells that the submission was sent before, which that of an origin that knows is not. */
    std::optional<std::string> origin(const JobId& job, bool isResent, TimePoint sentAt);

private:
    struct Entry {
        std::string origin;
        TimePoint returnedAt;
    };
    void removeExpired();

    Settings m_settings;
    const Clock& m_clock;
    std::map<JobId, Entry> m_jobs;
    /** Oldest first. */
    std::deque<std::pair<TimePoint, JobId>> m_order;
};

}
