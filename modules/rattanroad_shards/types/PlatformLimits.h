#pragma once

#include <algorithm>
#include <chrono>
#include <optional>

namespace rattanroad::shards {

/** Limits of the platform that deployments set differently, and the times that follow from them. The defaults are the
    shortest limits of a known deployment.
*/
struct PlatformLimits {
    /** A target gets starts for this long after the store has acknowledged that it drains. */
    std::chrono::milliseconds targetDrain { 2000 };
    /** Longest lease that a target grants. */
    std::chrono::milliseconds targetLease { 1000 };
    /** A caller submits a best-effort job again this long after its connection broke. */
    std::chrono::milliseconds resubmission { 1300 };
    /** No task starts in an evacuated failure domain later than this after the store has acknowledged the key of the
        evacuation. Without it, starts stop as soon as a host knows. */
    std::optional<std::chrono::milliseconds> evacuation;
    /** The state of a stored job is returned for at least this long after its end. */
    std::chrono::seconds jobStatus { 120 };

    /** Nothing starts while the target list is older: a start takes up to 120 ms to reach its target, at a fifth of the
        drain time and more when that is short. */
    std::chrono::milliseconds maximumListAge() const { return targetDrain - std::min(targetDrain / 5, startTime); }
    /** Time for which a holder keeps jobs and their records after their end was shown. Callers can learn of the end
        later than the holder, by the time of a store call and of their own pauses between two questions. */
    std::chrono::seconds jobRetention() const { return jobStatus + std::chrono::seconds(10); }
    /** Pause between two checks of the target list while it is needed for starts. */
    std::chrono::milliseconds targetListPause() const { return targetDrain / 5; }
    /** No task starts when the origin of its job has been silent for longer. */
    std::chrono::milliseconds originTimeout() const { return resubmission - resubmission * 3 / 13; }
    /** Interval at which an origin repeats a submission: three repetitions within the origin timeout. */
    std::chrono::milliseconds repetition() const { return originTimeout() * 3 / 10; }
    /** No lease of a run ends later than this after the origin was last heard of. */
    std::chrono::milliseconds maximumLeaseAfterSubmission() const { return resubmission - resubmission / 26; }

private:
    static constexpr std::chrono::milliseconds startTime { 200 };
};

}
