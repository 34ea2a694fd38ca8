#pragma once

#include "rattanroad_shards/placing/RunTimeModel.h"
#include "rattanroad_shards/placing/TaskPlacer.h"
#include "rattanroad_shards/targets/TargetSession.h"

#include <map>
#include <optional>

namespace rattanroad::shards {

/** Chooses targets for the tasks of one scheduling pass. Once it is known that no target has room for a task, the tasks
    that need as much are answered without examining the targets again, so that a backlog costs little.
*/
class PlacementPass {
public:
    /** The session of the chosen target and the expected run time of the task there. */
    struct Choice {
        TargetSession* session;
        std::chrono::milliseconds predicted;
        /** Unless it is None, no other task may start on the target beside this one. */
        Isolation isolation { Isolation::None };
    };
    /** The usable targets for which a task is eligible. */
    struct EligibleTargets {
        std::size_t count { 0 };
        /** Those of them that are kept for isolated tasks. */
        std::size_t isolated { 0 };
    };
    struct Hooks {
        /** Returns whether the target may get new starts. */
        std::function<bool(const TargetSession&)> isUsable;
        /** Targets were examined. */
        std::function<void(std::size_t count)> examined;
    };

    /** Creates a pass over the usable ones of @p sessions. */
    PlacementPass(const std::vector<TargetSession*>& sessions, const TaskPlacer& placer, const RunTimeModel& runTimes,
        Hooks hooks);
    PlacementPass(const PlacementPass&) = delete;
    PlacementPass& operator=(const PlacementPass&) = delete;

    /** Returns false when no target has room for these resources; true does not promise that one has. */
    bool mayHaveRoom(const Resources& resources);
    /** Returns the total capacity of the targets that could get starts when the pass began. */
    std::uint64_t usableMillicores() const { return m_usableMillicores; }
    /** Returns the part of it that was free when the pass began. */
    std::uint64_t freeMillicores() const { return m_freeMillicores; }
    /** Returns the number of targets that could get starts when the pass began. */
    std::size_t usableTargets() const { return m_candidates.size(); }
    EligibleTargets eligibleTargets(const PlacementRequest& task);
    /** Keeps the eligible target with the fewest runs for tasks with a Required isolation: the pass places no other
       task on it, so that it becomes idle. */
    void keepForIsolation(const PlacementRequest& task);
    /** Returns the target that is expected to finish the task first, or nothing when none has room. A target of
        @p avoided is chosen only when no other usable target could run the task. A task with an isolation gets a target
        that has no run, and with a Required one, a target that is kept for such tasks; if there is none, a Preferred
        isolation is dropped, and nothing is returned for a Required one.
    */
    std::optional<Choice> choose(const TaskId& id, const PlacementRequest& task, const std::vector<TargetId>& avoided);
    /** A run was started on the chosen target. */
    void started(const TargetSession& session);

private:
    struct Candidate {
        TargetSession* session { nullptr };
        /** See RunTimeModel; absent until it is needed. */
        std::optional<double> factor;
        /** See keepForIsolation(). */
        bool isKeptForIsolation { false };
    };
    /** The candidates that match a service and a label. */
    struct Group {
        std::vector<Candidate*> candidates;
        /** Largest free amount of each resource on any candidate; absent after a start. */
        std::optional<Resources> largestRoom;
    };

    /** Returns the target among these candidates that is expected to finish the task first. */
    std::optional<Choice> chooseAmong(const std::vector<Candidate*>& candidates, const TaskId& id,
        const PlacementRequest& task, const std::vector<TargetId>& avoided);
    Group& matching(const PlacementRequest& task);
    const Resources& largestRoom(Group& group) const;
    double factor(Candidate& candidate) const;

    const TaskPlacer& m_placer;
    const RunTimeModel& m_runTimes;
    Hooks m_hooks;
    std::vector<Candidate> m_candidates;
    std::uint64_t m_usableMillicores { 0 };
    std::uint64_t m_freeMillicores { 0 };
    Group m_all;
    std::map<std::pair<ServiceId, std::string>, Group> m_groups;
};

}
