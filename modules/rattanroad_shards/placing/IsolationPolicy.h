#pragma once

#include <chrono>
#include <cstddef>

namespace rattanroad::shards {

/** Whether other tasks may run beside a task that may crash its target. */
enum class Isolation {
    /** The task runs beside others. */
    None,
    /** The task gets a target without other runs if there is one, and has it to itself for a limited time. */
    Preferred,
    /** The task starts on a target without other runs only, and has it to itself until it ends. */
    Required,
};

/** Decides how far a task that has lost runs is kept apart from others. Weighs the tasks that are lost with a target
    against those that wait for one: the first loss of a run says little about its task, as everything else on the
   target was lost too, while a third may end the job as failed.
*/
class IsolationPolicy {
public:
    struct Settings {
        /** Lost runs after which a task runs beside no other. */
        std::size_t lossesBeforeRequired { 2 };
        /** Largest share of the targets for which a task is eligible that are kept for isolated tasks; at least one. */
        double maximumShare { 0.25 };
        /** Largest number of tasks with lossesBeforeRequired lost runs, by usable target of the shard. With more of
           them something else than a task has taken the targets down, and isolating each would leave no room for
           others. */
        std::size_t maximumTasksPerTarget { 2 };
        /** Time after which a target with a Preferred isolation takes other tasks again. Leaves the others time to
           start within 3 s. */
        std::chrono::milliseconds preferredDuration { 1500 };
    };
    struct Figures {
        /** Lost runs of the task that still count. */
        std::size_t lostRuns { 0 };
        /** Usable targets that could run the task if they had room. */
        std::size_t eligibleTargets { 0 };
        /** Those of them that are kept for isolated tasks. */
        std::size_t isolatedTargets { 0 };
        /** Tasks of the shard with lossesBeforeRequired lost runs or more. */
        std::size_t isolatedTasks { 0 };
        /** Usable targets of the shard. */
        std::size_t targets { 0 };
    };

    explicit IsolationPolicy(Settings settings)
        : m_settings(settings)
    {
    }

    Isolation decide(const Figures& figures) const;
    /** Returns whether another of the targets for which a task is eligible may be kept for isolated tasks. */
    bool mayIsolateAnother(std::size_t eligibleTargets, std::size_t isolatedTargets) const;
    const Settings& settings() const { return m_settings; }

private:
    Settings m_settings;
};

}
