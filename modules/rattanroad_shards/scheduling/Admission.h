#pragma once

#include "rattanroad_core/time/Clock.h"

#include <cstdint>

namespace rattanroad::shards {

/** Decides whether a shard accepts a job, or refuses it at once because it could not be answered in time. */
class Admission {
public:
    struct Settings {
        /** Expected run times are multiplied by this factor: estimates are off by up to 40 %, and a job ends with its
            slowest task. */
        double runTimeMargin { 1.3 };
        /** A stored job, whose caller does not wait, is refused when its expected wait is longer than this many times
            its latency objective. */
        double storedWaitFactor { 2 };
        /** Share of the room that each priority gets at least while its jobs wait. */
        double guaranteedShare { 0.1 };
        /** Shortest retry delay that a refusal advises. */
        std::chrono::milliseconds minimumRetryAfter { 100 };
    };
    /** A submitted job. */
    struct Request {
        std::chrono::milliseconds objective { 0 };
        TimePoint softDeadline;
        /** Expected time from the start of its first task to its end. */
        std::chrono::milliseconds runTime { 0 };
        bool isStored { false };
    };
    /** The state of the shard. Work is in millicores times milliseconds. */
    struct Figures {
        /** Work that starts before the job: see WorkQueue::workBefore(). */
        std::uint64_t workBefore { 0 };
        /** The part of it that has the priority of the job. */
        std::uint64_t workOfPriority { 0 };
        /** Late stored work. It is never given up, so it counts for stored jobs, whose number would have no bound
            otherwise. */
        std::uint64_t lateStoredWork { 0 };
        /** Work that the shard starts in a millisecond. */
        double rate { 0 };
        /** Work of higher priorities that arrives in a millisecond. */
        double higherPriorityRate { 0 };
        /** Number of lower priorities that have jobs in time. Each keeps its guaranteed share. */
        std::size_t lowerPriorities { 0 };
    };
    struct Decision {
        bool isAccepted { false };
        /** Expected wait of the job. */
        std::chrono::milliseconds wait { 0 };
        /** Longest wait with which it is accepted. */
        std::chrono::milliseconds maximumWait { 0 };
        std::chrono::milliseconds retryAfter { 0 };
    };

    explicit Admission(Settings settings)
        : m_settings(settings)
    {
    }

    Decision decide(const Request& request, const Figures& figures, TimePoint now) const;
    /** Returns the time until all the work that goes before the job has started. */
    std::chrono::milliseconds expectedWait(const Figures& figures) const;

private:
    Settings m_settings;
};

}
