#pragma once

#include "rattanroad_core/identifiers/Units.h"
#include "rattanroad_dispatch/job/JobTypes.h"

#include <deque>
#include <unordered_map>

namespace rattanroad {

/** Answers of finished submissions, kept so that a resubmission gets the same answer. Bounded by age and by size: the
    oldest answers go first.
*/
class AnswerCache {
public:
    AnswerCache(Clock& clock, Duration retention, ByteCount maximumSize);

    void insert(const SubmissionId& id, JobAnswer answer);
    /** Returns null when the answer is unknown or no longer held. */
    const JobAnswer* find(const SubmissionId& id) const;
    /** Drops answers that are past the retention time. */
    void expire();

    std::size_t size() const { return m_answers.size(); }
    ByteCount bytes() const { return ByteCount(m_bytes); }

private:
    void removeOldest();
    static std::uint64_t sizeOf(const JobAnswer& answer);

    struct Age {
        SubmissionId id;
        TimePoint insertedAt;
    };

    Clock& m_clock;
    Duration m_retention;
    std::uint64_t m_maximumBytes;
    std::uint64_t m_bytes { 0 };
    std::unordered_map<SubmissionId, JobAnswer> m_answers;
    std::deque<Age> m_order;
};

}
