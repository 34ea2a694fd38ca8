#pragma once

#include "rattanroad_core/failure/Failure.h"
#include "rattanroad_core/time/Clock.h"
#include "rattanroad_inventory/inventory/Inventory.h"
#include "rattanroad_protocol/rattanroad_protocol.h"

#include <map>
#include <optional>

namespace rattanroad {

/** Decides whether a job may enter this host's queue.

    A job is refused before any part of it is journaled or started, so the run state of every refusal is NotRun.
*/
class AdmissionControl {
public:
    struct Settings {
        std::size_t maximumTasksPerJob { 260 };
        /** Limit on the total size of the task payloads of a job. */
        ByteCount maximumJobSize { 8U << 20U };
        /** Limit on the tasks of all teams that wait in the queue of this host. */
        std::size_t maximumQueuedTasks { 20000 };
        /** Share of the queue that one team may fill, 0 to 1. */
        double maximumTeamShare { 0.5 };
        /** Maximum expected queue wait on an overloaded host, as a share of the job's deadline, 0 to 1. The rest is
            reserved for the run, which may take longer than declared. Without the reserve, only a part of the job would
            run before its deadline, and the job would fail.
        */
        double maximumWaitShare { 0.25 };
        /** The host is overloaded for a job when both the expected and the recent queue wait exceed this share of the
            job's deadline, 0 to 1. Only then is a job refused for its expected wait or because the expected run time
            does not fit into the rest of the deadline: a job that cannot finish in time takes slots from jobs that can.
        */
        double overloadedWaitShare { 0.05 };
        std::chrono::milliseconds maximumDeadline { std::chrono::minutes(10) };
    };

    /** State of this host, and estimates for the job, at the time the job arrives. */
    struct Context {
        bool isDraining { false };
        /** Expected wait behind the tasks that are already queued on this host. */
        Duration queueWait { 0 };
        /** Mean wait of the tasks that got slots recently. */
        Duration recentWait { 0 };
        /** Expected run time of the job's longest task; zero when unknown. */
        Duration longestRunTime { 0 };
    };

    explicit AdmissionControl(Settings settings);

    /** Returns the reason for refusing the job, or nullopt when it is admitted. Faults of the request are checked
        before the state of the system: size, team, deadline, eligible targets, draining, queue limits, expected wait.
    */
    std::optional<Failure> checkAdmission(
        const protocol::JobDescription& job, const Inventory& inventory, const Context& context) const;

    /** Updates the number of queued tasks of @p team. */
    void addQueuedTasks(const TeamId& team, std::size_t count);
    void removeQueuedTasks(const TeamId& team, std::size_t count);

    std::size_t queuedTasks() const { return m_queuedTasks; }

private:
    Settings m_settings;
    std::size_t m_queuedTasks { 0 };
    std::map<TeamId, std::size_t> m_queuedByTeam;
};

}
