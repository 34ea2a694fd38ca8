#pragma once

#include "rattanroad_shards/targets/CompletionCursor.h"
#include "rattanroad_shards/targets/IncarnationGuard.h"
#include "rattanroad_shards/targets/ResponseMonitor.h"
#include "rattanroad_shards/targets/TargetLease.h"
#include "rattanroad_shards/targets/TargetRuns.h"
#include "rattanroad_shards/targets/UnansweredStarts.h"

#include <memory>

namespace rattanroad::shards {

/** Tracks one target and its runs for the holder of a shard. All requests to the target are sent from here.

    A run occupies its resources from the time that its start is sent until the target reports its completion, reports
    that it is not running, or can run nothing any more because its lease has expired.
*/
class TargetSession {
public:
    struct Settings {
        /** Longest lease that a target grants. */
        std::chrono::milliseconds leaseDuration { 1000 };
        /** Time that a poll waits for a new completion. Two polls, which renew the lease, fit into one lease. */
        std::chrono::milliseconds pollWait { 400 };
        /** Timeout of a call, without the wait of a poll: tens of round trips between failure domains. */
        std::chrono::milliseconds callTimeout { 120 };
        /** A target that left a call unanswered counts as lossy for this long while it answers others. */
        std::chrono::seconds lossWindow { 3 };
        /** Poll wait for a lossy target. Short, so that a completion in a lost reply is seen soon after. */
        std::chrono::milliseconds lossyPollWait { 30 };
        /** Timeout of a call to a lossy target: the recent response time multiplied by lossyTimeoutFactor plus this
            margin, up to maximumLossyTimeout. */
        std::chrono::milliseconds lossyTimeoutMargin { 8 };
        double lossyTimeoutFactor { 3 };
        /** The recent response time rises to a longer sample at once and falls by smoothing over this many samples. A
            target answers a few tens of requests per second. */
        int responseTimeSamples { 8 };
        std::chrono::milliseconds maximumLossyTimeout { 60 };
        /** A start is sent at most this many times before the run is stopped. Sending it again is safe: a target does
            not start an attempt twice. */
        std::uint32_t maximumStartSends { 4 };
        /** Lease in a start request. Short, so that a start that is carried out late does not run for long. */
        std::chrono::milliseconds startLease { 500 };
        /** The lease of a target that has been silent for longer is not renewed, so that its runs end. */
        std::chrono::milliseconds silenceTimeout { 650 };
        /** The lease of a target that has been missing from the target list for longer is not renewed. A later holder
            may not know the target, and waits only for as long as an earlier holder without a lease can go on. */
        std::chrono::seconds unlistedTimeout { 8 };
        /** Delay before the next poll when a poll failed, or returned at once without a new completion. */
        std::chrono::milliseconds pollRetryPause { 20 };
        /** Largest relative error by which a target's clock runs slow. */
        double clockDrift { 0.02 };
        /** Time within which an unanswered request may still be carried out. */
        std::chrono::seconds lateRequestWindow { 15 };
        /** Time without new starts after a refusal or a failed connection. */
        std::chrono::milliseconds refusalPause { 400 };
    };
    using Run = TargetRun;
    struct Hooks {
        /** The target has answered a poll under the current token for the first time. */
        std::function<void(TargetSession&)> ready;
        /** A run has ended. @c number is 0 when the target did not report the completion. */
        std::function<void(TargetSession&, const RunCompletion&)> ended;
        /** The target fell silent for longer than its lease, or restarted, while it had this run or may have had it.
            Not called for a target that was draining, because it ends by plan. */
        std::function<void(TargetSession&, const RunLoss&)> lost;
        /** The target has a run that this session did not start. Returns its resources if it may continue. */
        std::function<std::optional<Resources>(TargetSession&, const RunningTask&)> foundRun;
        /** A start was refused; the task may start elsewhere. */
        std::function<void(TargetSession&, const TaskId&, std::uint32_t attempt, TargetCallResult)> rejected;
        /** Room has become free. */
        std::function<void()> roomChanged;
        /** The target has seen a higher token. */
        std::function<void()> fenced;
        /** The target has restarted, and calls to its earlier incarnation may be carried out late. Nothing starts on it
            until raiseToken(). May be called repeatedly. An empty hook means that the token cannot be raised. */
        std::function<void()> tokenRaiseNeeded;
        /** Returns the latest time at which the lease of a target with a run of this task may end. An empty hook means
            no limit. */
        std::function<TimePoint(const TaskId&)> leaseLimit;
        /** Returns whether the evacuation of the failure domain, if there is one, leaves time for starts. An empty hook
            means that it does. */
        std::function<bool()> areStartsAllowed;
        /** Returns whether the target list is recent enough for starts. An empty hook means that it is. */
        std::function<bool()> isListRecent;
    };

    TargetSession(Settings settings, TargetReport report, FencingToken token, TargetCalls& calls, Timers timers,
        const Clock& clock, Hooks hooks);
    ~TargetSession();
    TargetSession(const TargetSession&) = delete;
    TargetSession& operator=(const TargetSession&) = delete;

    /** Starts polling the target. */
    void open();
    /** Stops sending requests until setToken(). */
    void close() { m_isClosed = true; }
    /** Begins another holding: the target has to report its runs again. */
    void setToken(FencingToken token);
    /** Uses a higher token of the same holding from now on. */
    void raiseToken(FencingToken token);
    void setReport(const TargetReport& report);
    /** Tells whether the target is in the target list. */
    void setListed(bool isListed);
    /** The target belongs to another shard now, whose holder would fence requests of this one off. Stops sending
       requests until setReport(); the runs end with the lease. */
    void setMoved();

    /** Starts a run. While it is isolated, no other may start on the target.
        @pre canStart() was true when the target was chosen */
    void start(const TaskId& task, std::uint32_t attempt, const std::string& payload, Resources resources,
        std::chrono::milliseconds predicted, const std::string& savedProgress, Isolation isolation = Isolation::None);
    /** Stops the run of a task, if there is one. */
    void stop(const TaskId& task);
    /** Lets the target forget a completion. Ignored for an earlier incarnation. */
    void acknowledgeCompletion(std::uint64_t incarnationMs, std::uint64_t number);

    /** Returns whether the target may get new starts. */
    bool canStart() const;
    bool isReady() const { return m_isReady; }
    /** Returns whether the target has reported all its runs and completions under the current token. */
    bool isReconciled() const { return m_isReady && m_hasListedAll; }
    bool isListed() const { return m_isListed; }
    /** Returns the room for another run. */
    Resources free() const
    {
        return isolation() == Isolation::None ? m_report.capacity.minus(m_runs.used()) : Resources();
    }
    const TargetReport& report() const { return m_report; }
    std::uint64_t incarnationMs() const { return m_incarnationMs; }
    const std::map<TaskId, Run>& runs() const { return m_runs.all(); }
    Isolation isolation() const { return m_runs.isolation(); }
    /** See TargetRuns::endPreferredIsolation(). */
    bool endPreferredIsolation(TimePoint startedBefore) { return m_runs.endPreferredIsolation(startedBefore); }
    /** Returns whether this incarnation of the target was draining, so that its end was planned. */
    bool wasDraining(std::uint64_t incarnationMs) const { return incarnationMs == m_drainingIncarnationMs; }
    /** Returns whether the target has answered nothing since a call to it was left unanswered. */
    bool isSilent() const { return m_responses.isSilent(); }
    TimePoint unlistedSince() const { return m_unlistedSince; }
    /** Returns the local time by which all runs on the target have ended unless the lease is renewed. */
    TimePoint leaseEnd() const;

private:
    void poll();
    void pollAfter(Duration pause);
    /** Sends an extra poll without a wait, beside the polling loop. */
    void pollNow();
    void sendPoll(std::chrono::milliseconds wait, bool isLoop);
    void processPollReply(const PollReply& reply, TimePoint sentAt, bool isLoop, FencingToken token);
    /** Handles a reply that leaves open whether a start was carried out: sends it again, stops the run, or polls for
        its completion. */
    void resolveUnconfirmedStart(const TaskId& task, Run& run, TargetCallResult result);
    bool mayRepeatStart(const Run& run, TargetCallResult result) const;
    /** Returns whether the target has to stop the attempt, or to reject it when it arrives. */
    bool isStopNeeded(const TaskId& task, std::uint32_t attempt) const;
    void checkFencing(const TargetReply& reply, FencingToken token);
    /** Updates the known clock of the target. Returns false when the reply has no clock, names no incarnation, or is of
        an earlier one. */
    bool updateTargetClock(const TargetReply& reply);
    void beginIncarnation(std::uint64_t incarnationMs);
    /** Returns whether the reply has new completions. */
    bool processCompletions(const PollReply& reply);
    void reconcileRuns(const PollReply& reply, TimePoint sentAt);
    void sendStart(const TaskId& task, Run& run);
    void processStartReply(const TaskId& task, std::uint32_t attempt, const TargetReply& reply);
    void sendStop(const TaskId& task, std::uint32_t attempt);
    /** Sends the stops again that were left unanswered when the session stopped sending requests. */
    void resendStops();
    void processStopReply(const TaskId& task, std::uint32_t attempt, const TargetReply& reply);
    void interrupt(const std::vector<TaskId>& tasks);
    /** Reports all runs as lost that this incarnation has or may have. */
    void reportLosses(std::uint64_t incarnationMs, bool hasRestarted);
    /** Returns whether the run may be in a later incarnation than the known one. The next list of runs shows it. */
    bool mayBeInLaterIncarnation(const TaskId& task, const Run& run) const;
    /** Lets the target refuse late calls to its earlier incarnation. @p token is that of a call that it answered. */
    void checkLateCalls(FencingToken token);
    void checkLease();
    bool maySend() const { return !m_isClosed && !m_isMoved; }
    /** Returns the latest time at which the lease may end because of the runs on the target. */
    TimePoint leaseLimit() const;
    /** Returns the part of a lease of this length that ends in time; at least 0. */
    std::chrono::milliseconds limitedLease(std::chrono::milliseconds length) const;
    bool mayRenewLease() const;

    Settings m_settings;
    TargetReport m_report;
    FencingToken m_token;
    /** The first token of the present holding. Replies to calls under a lower one are of an earlier holding. */
    FencingToken m_firstToken;
    TargetCalls& m_calls;
    Timers m_timers;
    const Clock& m_clock;
    Hooks m_hooks;
    TargetRuns m_runs;
    bool m_isClosed { false };
    bool m_isReady { false };
    /** A list of all completions has arrived since m_isReady was last set. */
    bool m_hasListedAll { false };
    bool m_isListed { true };
    bool m_isMoved { false };
    TimePoint m_unlistedSince;
    std::uint64_t m_incarnationMs { 0 };
    /** The latest incarnation that was listed as draining. */
    std::uint64_t m_drainingIncarnationMs { 0 };
    ResponseMonitor m_responses;
    TargetLease m_lease;
    /** The lease limit at the last poll, or that of a run that was started since. */
    TimePoint m_leaseLimit { TimePoint::max() };
    TimePoint m_startsPausedUntil { distantPast };
    CompletionCursor m_completions;
    /** The last poll was answered. Otherwise a new incarnation may be up, and would take a number that an earlier one
       has counted as an acknowledgement of its own completions. */
    bool m_wasPollAnswered { false };
    UnansweredStarts m_unansweredStarts;
    IncarnationGuard m_guard;
    bool m_isTokenCheckInFlight { false };
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
};

}
