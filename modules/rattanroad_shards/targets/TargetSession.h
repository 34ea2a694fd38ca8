#pragma once

#include "rattanroad_shards/targets/TargetCalls.h"

#include <map>
#include <memory>
#include <set>

namespace rattanroad::shards {

/** What the holder of a shard knows of one target and of the runs on it, and the only place from which the target
    gets orders.

    Room counts as taken from the sending of a start until the target lists the end of the run, shows that it does not
    run, or can run nothing any more because its lease has ended.
*/
class TargetSession {
public:
    struct Settings {
        /** Longest lease that a target grants. */
        std::chrono::milliseconds longestLease { 1000 };
        /** Wait of a hold for a new end: two renewals fit into a lease. */
        std::chrono::milliseconds holdWait { 400 };
        /** Limit of a call beyond its wait: tens of round trips between failure domains. */
        std::chrono::milliseconds callTimeout { 120 };
        /** After an order without an answer, a target that still answers others counts as lossy for this long. */
        std::chrono::seconds lossMemory { 3 };
        /** Wait and limit of the holds of a lossy target: what a lost hold hides is seen soon after. */
        std::chrono::milliseconds lossyHoldWait { 30 };
        /** The limit adds this to a few times the answers of late, and has a highest value. */
        std::chrono::milliseconds lossyCallSlack { 8 };
        double lossyAnswerFactor { 3 };
        /** A longer answer counts at once, shorter ones over this many: a target answers a few tens of orders a second.
         */
        int answerSamples { 8 };
        std::chrono::milliseconds longestLossyCall { 60 };
        /** An unanswered start is sent this many times in all before the run is stopped: a target that has the attempt
            does not start it again. */
        std::uint32_t startSends { 4 };
        /** Lease of a start: short, so that one that is carried out late is harmless soon. */
        std::chrono::milliseconds startLease { 500 };
        /** A target that has been silent for longer gets no new lease, so that what runs there ends. */
        std::chrono::milliseconds silenceLimit { 650 };
        /** Pause before a hold is repeated that brought nothing new at once, or failed. */
        std::chrono::milliseconds holdPause { 20 };
        /** The target's clock may be this share slow. */
        double clockDrift { 0.02 };
        /** Orders without an answer may still be carried out within this time. */
        std::chrono::seconds lateOrderLimit { 15 };
        /** Time without new work after a refusal or a failed connection. */
        std::chrono::milliseconds refusalPause { 400 };
    };
    struct Run {
        enum class State {
            Starting,
            Running,
            Stopping,
        };
        std::uint32_t attempt { 0 };
        std::string payload;
        Resources resources;
        State state { State::Starting };
        TimePoint startedAt;
        /** When the target confirmed the run, or the stop; a hold sent later must list what still runs. */
        std::optional<TimePoint> confirmedAt;
        std::chrono::milliseconds predicted { 0 };
        std::string savedProgress;
        /** How often the start was sent. */
        std::uint32_t sends { 0 };
    };
    struct Hooks {
        /** The target has answered under the present token for the first time. */
        std::function<void(TargetSession&)> ready;
        /** A run has ended. @c number is 0 when the target did not list the end. */
        std::function<void(TargetSession&, const EndedTask&)> ended;
        /** The target runs something that was not started by this session. Returns what it takes if it may go on. */
        std::function<std::optional<Resources>(TargetSession&, const RunningTask&)> found;
        /** A start was refused; the task may start elsewhere. */
        std::function<void(TargetSession&, const TaskId&, std::uint32_t attempt, TargetEnding)> rejected;
        /** Room has become free. */
        std::function<void()> roomChanged;
        /** The target has seen a higher token. */
        std::function<void()> fenced;
    };

    TargetSession(Settings settings, TargetReport report, FencingToken token, TargetCalls& calls, Timers timers,
        const Clock& clock, Hooks hooks);
    ~TargetSession();
    TargetSession(const TargetSession&) = delete;
    TargetSession& operator=(const TargetSession&) = delete;

    /** Begins to ask the target. */
    void open();
    /** Gives no more orders. */
    void close() { m_isClosed = true; }
    void setToken(FencingToken token);
    void setReport(const TargetReport& report);
    /** The target's entry is gone. */
    void setListed(bool isListed);

    /** Starts a run. @pre canStart() was true when the target was chosen */
    void start(const TaskId& task, std::uint32_t attempt, const std::string& payload, Resources resources,
        std::chrono::milliseconds predicted, const std::string& savedProgress);
    /** Stops a run, if it is there. */
    void stop(const TaskId& task);
    /** The end with this number is no longer needed. */
    void forgetEnd(std::uint64_t bornMs, std::uint64_t number);

    /** Returns whether new work may be started. */
    bool canStart() const;
    bool isReady() const { return m_isReady; }
    bool isListed() const { return m_isListed; }
    Resources free() const { return m_report.capacity.minus(m_used); }
    const TargetReport& report() const { return m_report; }
    std::uint64_t bornMs() const { return m_bornMs; }
    const std::map<TaskId, Run>& runs() const { return m_runs; }
    TimePoint unlistedSince() const { return m_unlistedSince; }

private:
    void hold();
    void holdAfter(Duration pause);
    void look();
    void sendHold(std::chrono::milliseconds wait, bool isLoop);
    void takeHold(const HoldReply& reply, TimePoint sentAt, bool isLoop, FencingToken token);
    /** Takes an answer that leaves open whether a start runs: sends it again, stops it, or looks for its end. */
    void startUnsettled(const TaskId& task, Run& run, TargetEnding ending);
    /** Takes the time of an answer, or that there was none. */
    void noteAnswer(const TargetReply& reply, TimePoint sentAt);
    void noteLoss(const TargetReply& reply);
    bool isLossy() const;
    std::chrono::milliseconds callTimeout() const;
    void takeFence(const TargetReply& reply, FencingToken token);
    /** Returns whether the reply is of the present life of the target. */
    bool takeClock(const TargetReply& reply);
    void beginLife(std::uint64_t bornMs);
    bool takeEnds(const HoldReply& reply);
    void takeRunning(const HoldReply& reply, TimePoint sentAt);
    void sendStart(const TaskId& task, Run& run);
    void takeStart(const TaskId& task, std::uint32_t attempt, const TargetReply& reply);
    void sendStop(const TaskId& task, std::uint32_t attempt);
    void takeStop(const TaskId& task, std::uint32_t attempt, const TargetReply& reply);
    void removeRun(const TaskId& task);
    void interrupt(const std::vector<TaskId>& tasks);
    void interruptAll();
    void checkLease();
    std::uint64_t leaseEnd(std::chrono::milliseconds length) const;
    void extendLease(std::chrono::milliseconds length);

    Settings m_settings;
    TargetReport m_report;
    FencingToken m_token;
    TargetCalls& m_calls;
    Timers m_timers;
    const Clock& m_clock;
    Hooks m_hooks;
    std::map<TaskId, Run> m_runs;
    Resources m_used;
    bool m_isClosed { false };
    bool m_isReady { false };
    bool m_isListed { true };
    TimePoint m_unlistedSince;
    std::uint64_t m_bornMs { 0 };
    /** The target's clock at m_clockAt. */
    std::optional<std::uint64_t> m_targetClockMs;
    TimePoint m_clockAt;
    TimePoint m_lastAnswer { distantPast };
    TimePoint m_lastLoss { distantPast };
    /** Time of the answers to starts and stops; rises at once and falls slowly. */
    Duration m_answerTime { 0 };
    /** Own time by which everything on the target has ended unless the lease is renewed. */
    TimePoint m_leaseEnd;
    TimePoint m_noWorkUntil { distantPast };
    std::uint64_t m_lastEnd { 0 };
    std::uint64_t m_acknowledged { 0 };
    /** Ends above m_acknowledged that need not be kept. */
    std::set<std::uint64_t> m_forgettable;
    struct UnansweredStart {
        TaskId task;
        std::uint32_t attempt;
        TimePoint sentAt;
    };
    std::vector<UnansweredStart> m_unanswered;
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
};

}
