#pragma once

#include "rattanroad_protocol/rattanroad_protocol.h"
#include "rattanroad_shards/placing/HealthBook.h"
#include "rattanroad_shards/placing/SpeedBook.h"
#include "rattanroad_shards/placing/TaskPlacer.h"
#include "rattanroad_shards/targets/TargetSession.h"

#include <map>
#include <memory>

namespace rattanroad::shards {

/** The targets of one shard: what the list says of them and, while the shard is held, a session with each. Chooses the
    target of a task from what the sessions know and from the speeds that were learned.
*/
class ShardTargets {
public:
    struct Settings {
        TargetSession::Settings session;
        TaskPlacer::Settings placing;
        HealthBook::Settings health;
        /** After an interruption, and after the start of this process, targets may be missing from the list: entries
            that lapsed with the store are back within two seconds, and targets write every 1.5 s. */
        std::chrono::seconds listSettled { 4 };
        /** A target whose entry is gone is forgotten after this time: entries that lapsed with the store are back
            within two seconds. */
        std::chrono::milliseconds unlistedLimit { 3500 };
        /** A run is overdue after this many times its expected time, and a little more. Estimates are off by a few
            tenths, so less than one run in thirty is overdue on a sound target. */
        double overdueFactor { 3 };
        std::chrono::milliseconds overdueSlack { 60 };
    };
    /** The session of the chosen target, and how long the task is expected to run there. */
    struct Choice {
        TargetSession* session;
        std::chrono::milliseconds predicted;
    };
    struct OverdueRun {
        TargetSession* session;
        TaskId task;
    };

    ShardTargets(Settings settings, TargetCalls& calls, Timers timers, const Clock& clock, TargetSession::Hooks hooks);
    ShardTargets(const ShardTargets&) = delete;
    ShardTargets& operator=(const ShardTargets&) = delete;

    void listed(const TargetReport& report);
    void unlisted(const TargetId& target);
    /** The list cannot be followed at the moment. */
    void listInterrupted() { m_listGapAt = m_clock.now(); }

    /** Opens a session with each listed target, and with each that is listed later. */
    void open(FencingToken token);
    bool isOpen() const { return m_token.has_value(); }
    /** Goes on with the open sessions under a new token. */
    void setToken(FencingToken token);
    /** Gives no order from now on; what is known of the runs stays. */
    void close();
    /** Forgets all sessions. */
    void clear();

    /** Returns null for a target without a session. */
    TargetSession* session(const TargetId& target) const;
    /** Returns whether no run of an earlier holder can be left on a target that is not known or has not answered. */
    bool areSettled() const;
    /** Returns whether some target runs the task, or may. */
    bool hasRun(const TaskId& task) const;
    /** Returns whether some listed target could ever run the task. */
    bool isEligibleSomewhere(const PlacingTask& task) const;
    /** Returns whether another target than @p session has room for the task now. */
    bool hasRoomBeside(const TargetSession& session, const PlacingTask& task) const;
    /** Returns the target that ends the task first, or nothing when none has room. A target of @p avoided is taken only
        when no other could run the task.
    */
    std::optional<Choice> choose(
        const TaskId& name, const PlacingTask& task, const std::vector<TargetId>& avoided) const;
    /** Takes the success of a run into account. */
    void runSucceeded(const TargetSession& session) { m_health.succeeded(session.report().id); }
    /** Takes the failure of a run into account; @p failedBefore is where the task has failed before. */
    void runFailed(const TargetSession& session, const std::vector<TargetId>& failedBefore);
    /** Takes the time since the start of a run as a sample of its target's speed. */
    void learn(const TargetSession& session, const PlacingTask& task, TimePoint startedAt);
    std::vector<OverdueRun> overdueRuns() const;
    /** Forgets targets whose entry has been gone for long and that run nothing. */
    void forgetGone();
    /** Millicores of the targets that take new work. */
    std::uint64_t usableMillicores() const;
    /** Adds number, room, racks and services of the targets that take new work. */
    void addTo(protocol::ShardLoad& load) const;

private:
    void openSession(const TargetReport& report);
    /** Returns whether the target gets new work. */
    bool isUsable(const TargetSession& session) const;
    std::vector<TargetSession*> candidates(const PlacingTask& task, const std::vector<TargetId>& avoided) const;

    Settings m_settings;
    TargetCalls& m_calls;
    Timers m_timers;
    const Clock& m_clock;
    TargetSession::Hooks m_hooks;
    TaskPlacer m_placer;
    SpeedBook m_speeds;
    HealthBook m_health;
    /** Present from open() to clear(). */
    std::optional<FencingToken> m_token;
    bool m_isClosed { false };
    /** When the list may last have been incomplete. */
    TimePoint m_listGapAt;
    std::map<TargetId, TargetReport> m_reports;
    std::map<TargetId, std::unique_ptr<TargetSession>> m_sessions;
};

}
