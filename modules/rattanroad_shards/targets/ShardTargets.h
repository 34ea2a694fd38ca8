#pragma once

#include "rattanroad_protocol/rattanroad_protocol.h"
#include "rattanroad_shards/placing/OutlierDetector.h"
#include "rattanroad_shards/targets/PlacementPass.h"

#include <map>
#include <memory>

namespace rattanroad::shards {

/** The targets of one shard: their reports in the target list and, while the shard is held, a session with each.
    Chooses the target of a task by the free resources of the sessions and by the expected run times.
*/
class ShardTargets {
public:
    struct Settings {
        TargetSession::Settings session;
        TaskPlacer::Settings placement;
        OutlierDetector::Settings outliers;
        /** Time after the acquisition of a shard until no run of an earlier holder can be active: the host's lease, the
            time that a holder goes on without one, the lease of a target, the drift of its clock, and the delay of the
            target list. */
        std::chrono::milliseconds earlierHolderExpiry { 13500 };
        /** Time within which a target that lives reports its runs to a new holder. */
        std::chrono::milliseconds reportTime { 500 };
        /** Nothing starts while the target list is older. A target may get starts for 2 s after the store has
            acknowledged that it drains, and a start takes up to 120 ms to reach it. */
        std::chrono::milliseconds maximumListAge { 1800 };
        /** Time for which a target without a list entry is kept: entries whose leases expired during an outage of the
            store are back within two seconds. */
        std::chrono::milliseconds unlistedRetention { 3500 };
        /** A run is overdue after its expected run time multiplied by this factor plus overdueMargin. Estimates are off
            by a few tenths, so less than one run in thirty is overdue on a healthy target. */
        double overdueFactor { 3 };
        std::chrono::milliseconds overdueMargin { 60 };
    };
    struct OverdueRun {
        TargetSession* session;
        TaskId task;
    };

    /** @p isStoreLost returns whether the store has been out of reach for a while, so that the list cannot be read; may
        be empty. */
    ShardTargets(Settings settings, TargetCalls& calls, Timers timers, const Clock& clock, TargetSession::Hooks hooks,
        std::function<bool()> isStoreLost);
    ShardTargets(const ShardTargets&) = delete;
    ShardTargets& operator=(const ShardTargets&) = delete;

    void listed(const TargetReport& report);
    void unlisted(const TargetId& target);
    /** The target is listed in another shard. */
    void moved(const TargetId& target);
    /** The target list has all changes that the store had acknowledged before @p time. */
    void listUpdated(TimePoint time) { m_listCurrentAsOf = time; }
    /** Lets nothing start until the target list is current as of @p time. */
    void requireListSince(TimePoint time) { m_listRequiredSince = time; }
    /** Returns whether the list is recent enough to tell which targets have to get no more starts. While the store is
        lost it is, however old: the host serves its targets without the store. */
    bool isListRecent() const;
    bool hasListedTargets() const { return !m_reports.empty(); }
    /** Returns when the target list was current. */
    TimePoint listCurrentAsOf() const { return m_listCurrentAsOf; }
    /** Updates of the target list were interrupted, so targets may be missing from it. */
    void listInterrupted() { m_lastListGap = m_clock.now(); }
    /** The whole target list was read after the previous holder had stopped. */
    void listRead() { m_isListCurrent = true; }
    /** An earlier holder may have used targets that were added after the list was read. */
    void listOutdated() { m_isListCurrent = false; }

    /** Opens a session with each listed target, and with each that is listed later. */
    void open(FencingToken token);
    bool isOpen() const { return m_token.has_value(); }
    /** Keeps the open sessions and uses a new token from now on. */
    void setToken(FencingToken token);
    /** Uses a higher token of the same holding from now on. */
    void raiseToken(FencingToken token);
    /** Stops sending requests; the sessions and their runs stay known. */
    void close();
    /** Removes all sessions. */
    void clear();

    /** Returns null for a target without a session. */
    TargetSession* session(const TargetId& target) const;
    /** Returns whether every target that an earlier holder may still use has reported its runs under the current token,
        so that no unknown run can be left. The list loses targets that cannot reach the store, so it names all of them
        only when it has had no gap for as long as an earlier holder can go on. */
    bool areReconciled() const;
    /** Describes the target list for the log: how many targets it has, how many have reported their runs under the
        current token, and the time since it may last have been incomplete. */
    std::string describeList() const;
    /** Returns whether some target has a run of the task or may have one. */
    bool hasRun(const TaskId& task) const;
    /** Returns whether some listed target could run the task if it had room. */
    bool isEligibleSomewhere(const PlacementRequest& task) const;
    /** Returns whether no listed target is eligible for the task, or each that is has a run with a Required isolation.
     */
    bool isClosedFor(const PlacementRequest& task) const;
    /** Lets other runs start beside those that prefer isolation and have had it for @p duration. */
    void endPreferredIsolations(std::chrono::milliseconds duration);
    /** Returns whether a target other than that of @p session has room for the task now. */
    bool hasRoomElsewhere(const TargetSession& session, const PlacementRequest& task) const;
    /** Returns a pass over the usable targets. It is valid until the next event. */
    PlacementPass beginPass();
    /** Returns how many targets the passes have examined so far. */
    std::uint64_t examinedTargets() const { return m_examinedTargets; }
    /** Records the success of a run on its target. */
    void runSucceeded(const TargetSession& session) { m_outliers.recordSuccess(session.report().id); }
    /** Records the failure of a run on its target; @p failedBefore lists where the task failed before. */
    void runFailed(const TargetSession& session, const std::vector<TargetId>& failedBefore);
    /** Adds the time since the start of a run as a run time sample of its target. */
    void addRunTimeSample(const TargetSession& session, const PlacementRequest& task, TimePoint startedAt);
    std::vector<OverdueRun> overdueRuns() const;
    /** Returns the tasks that have a run on a target that is silent. */
    std::vector<TaskId> tasksOnSilentTargets() const;
    /** Removes targets that have been missing from the list for long and have no runs. */
    void removeUnlisted();
    /** Returns the total capacity of the targets that may get new starts. */
    std::uint64_t usableMillicores() const;
    /** Returns the same, but with the targets that have not had the time to report to this holder. */
    std::uint64_t expectedMillicores() const;
    /** Adds the number, capacity, racks and services of the targets that may get new starts. */
    void addCapacityTo(protocol::ShardLoad& load) const;

private:
    void openSession(const TargetReport& report);
    /** Updates the session with a target, or opens one. */
    void updateSession(const TargetReport& report);
    /** Returns whether the target may get new starts. */
    bool isUsable(const TargetSession& session) const;

    Settings m_settings;
    TargetCalls& m_calls;
    Timers m_timers;
    const Clock& m_clock;
    TargetSession::Hooks m_hooks;
    std::function<bool()> m_isStoreLost;
    TaskPlacer m_placer;
    RunTimeModel m_runTimes;
    OutlierDetector m_outliers;
    /** Present from open() to clear(). */
    std::optional<FencingToken> m_token;
    bool m_isClosed { false };
    /** When the targets were asked for their runs; absent until then. */
    std::optional<TimePoint> m_openedAt;
    /** The list contains all targets that an earlier holder has used. */
    bool m_isListCurrent { false };
    TimePoint m_listCurrentAsOf { distantPast };
    TimePoint m_listRequiredSince { distantPast };
    /** When the list may last have been incomplete. */
    TimePoint m_lastListGap;
    std::map<TargetId, TargetReport> m_reports;
    std::map<TargetId, std::unique_ptr<TargetSession>> m_sessions;
    std::uint64_t m_examinedTargets { 0 };
};

}
