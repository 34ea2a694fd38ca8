#pragma once

#include "rattanroad_core/failure/Failure.h"
#include "rattanroad_core/time/Clock.h"
#include "rattanroad_inventory/inventory/Inventory.h"
#include "rattanroad_protocol/rattanroad_protocol.h"

#include <map>
#include <optional>

namespace rattanroad {

/** Decides whether a job may enter this host's queue.

    Every refusal happens before anything is journaled or started, so it is always "not run".
*/
class AdmissionControl {
public:
    struct Settings {
        std::size_t maximumTasksPerJob { 260 };
        ByteCount maximumJobSize { 8U << 20U };
        /** Tasks waiting on this host over all teams. */
        std::size_t maximumQueuedTasks { 20000 };
        /** Share of the queue that one team may fill, 0 to 1. */
        double maximumTeamShare { 0.5 };
        /** Largest share of a job's deadline that may pass before its first slot, 0 to 1. The rest is for the run
           itself, which may take longer than declared; a job admitted without that reserve runs in part and fails.
        */
        double maximumWaitShare { 0.25 };
        /** A host counts as overloaded for a job when tasks have lately waited longer than this share of its deadline.
           Only then are jobs refused for the expected wait, and the expected run must fit into the rest of the deadline
           as well: a job that will not finish takes slots from jobs that would.
        */
        double overloadedWaitShare { 0.05 };
        std::chrono::milliseconds maximumDeadline { std::chrono::minutes(10) };
    };

    /** What the engine knows when the job arrives. */
    struct Context {
        bool isDraining { false };
        /** Expected wait behind the tasks that this host has queued already. */
        Duration queueWait { 0 };
        /** How long tasks that got slots lately have waited. */
        Duration recentWait { 0 };
        /** Expected run time of the job's longest task; zero when it is not known. */
        Duration longestRun { 0 };
    };

    explicit AdmissionControl(Settings settings);

    /** Returns why the job is refused, or nothing when it may enter. The checks are ordered from the caller's own
       faults to the state of the system: size, team, deadline, eligible targets, draining, queue, expected wait.
    */
    std::optional<Failure> checkAdmission(
        const protocol::JobDescription& job, const Inventory& inventory, const Context& situation) const;

    /** Keep the number of waiting tasks per team up to date. */
    void addQueuedTasks(const TeamId& team, std::size_t count);
    void removeQueuedTasks(const TeamId& team, std::size_t count);

    std::size_t queuedTasks() const { return m_queuedTasks; }

private:
    Settings m_settings;
    std::size_t m_queuedTasks { 0 };
    std::map<TeamId, std::size_t> m_queuedByTeam;
};

}
