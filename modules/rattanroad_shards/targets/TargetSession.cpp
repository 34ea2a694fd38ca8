#include "rattanroad_shards/targets/TargetSession.h"

#include <algorithm>
#include <cassert>

namespace rattanroad::shards {

TargetSession::TargetSession(Settings settings, TargetReport report, FencingToken token, TargetCalls& calls,
    Timers timers, const Clock& clock, Hooks hooks)
    : m_settings(settings)
    , m_report(std::move(report))
    , m_token(token)
    , m_firstToken(token)
    , m_calls(calls)
    , m_timers(std::move(timers))
    , m_clock(clock)
    , m_hooks(std::move(hooks))
    , m_responses({ settings.callTimeout, settings.silenceTimeout, settings.lossWindow, settings.lossyTimeoutMargin,
                      settings.lossyTimeoutFactor, settings.maximumLossyTimeout, settings.responseTimeSamples },
          clock)
    , m_lease({ settings.clockDrift, settings.pollRetryPause }, clock)
    , m_unansweredStarts(settings.lateRequestWindow, clock)
    , m_guard(settings.lateRequestWindow, clock)
{
    // An earlier holder may have renewed the lease just now.
    m_lease.extend(m_settings.leaseDuration);
    if (m_report.isDraining)
        m_drainingIncarnationMs = m_report.bornMs;
}

TargetSession::~TargetSession() { *m_isAlive = false; }

void TargetSession::open()
{
    poll();
    checkLease();
}

void TargetSession::setToken(FencingToken token)
{
    m_token = token;
    m_firstToken = token;
    m_isClosed = false;
    m_isReady = false;
    resendStops();
}

void TargetSession::raiseToken(FencingToken token)
{
    m_token = token;
    // The other targets see the token with their next call.
    if (m_guard.isBlocked())
        pollNow();
}

void TargetSession::setReport(const TargetReport& report)
{
    m_isListed = true;
    const bool wasMoved = m_isMoved;
    m_isMoved = false;
    m_report = report;
    if (wasMoved)
        resendStops();
    if (report.isDraining)
        m_drainingIncarnationMs = report.bornMs;
}

void TargetSession::setListed(bool isListed)
{
    if (m_isListed && !isListed)
        m_unlistedSince = m_clock.now();
    m_isListed = isListed;
}

void TargetSession::setMoved()
{
    setListed(false);
    m_isMoved = true;
    m_isReady = false;
}

bool TargetSession::canStart() const
{
    const TimePoint now = m_clock.now();
    const bool isLeaseLongEnough = m_leaseLimit - now >= m_settings.startLease / 2;
    // The entry of an earlier incarnation may name other labels and another capacity than the target has now.
    const bool isEntryCurrent = m_report.bornMs == 0 || m_report.bornMs == m_incarnationMs;
    return !m_isClosed && m_isReady && m_isListed && isEntryCurrent && !m_report.isDraining
        && now >= m_startsPausedUntil && isLeaseLongEnough && !m_guard.isBlocked()
        && !m_responses.isSilenceTimeoutOver();
}

TimePoint TargetSession::leaseLimit() const
{
    TimePoint limit = TimePoint::max();
    for (const auto& entry : m_runs.all()) {
        if (m_hooks.leaseLimit)
            limit = std::min(limit, m_hooks.leaseLimit(entry.first));
    }
    return limit;
}

std::chrono::milliseconds TargetSession::limitedLease(std::chrono::milliseconds length) const
{
    const TimePoint now = m_clock.now();
    const Duration limited = std::min<Duration>(length, std::max(leaseLimit(), now) - now);
    return std::chrono::duration_cast<std::chrono::milliseconds>(limited);
}

bool TargetSession::mayRenewLease() const
{
    const bool isListed = m_isListed || m_clock.now() - m_unlistedSince < m_settings.unlistedTimeout;
    return m_lease.isTargetClockKnown() && isListed && !m_responses.isSilenceTimeoutOver();
}

TimePoint TargetSession::leaseEnd() const
{
    const auto exposedUntil = m_guard.exposedUntil();
    return exposedUntil ? std::max(m_lease.end(), *exposedUntil + m_settings.leaseDuration) : m_lease.end();
}

void TargetSession::start(const TaskId& task, std::uint32_t attempt, const std::string& payload, Resources resources,
    std::chrono::milliseconds predicted, const std::string& savedProgress, Isolation isolation)
{
    // The time limits of canStart() are not checked: they may have passed since the target was chosen.
    assert(!m_isClosed && m_isReady && m_isListed && !m_report.isDraining && !m_runs.find(task));
    Run& run = m_runs.add(task,
        { attempt, payload, resources, Run::State::Starting, m_clock.now(), std::nullopt, predicted, savedProgress, 0,
            false, std::nullopt, isolation });
    sendStart(task, run);
}

void TargetSession::sendStart(const TaskId& task, Run& run)
{
    ++run.sends;
    const auto lease = limitedLease(m_settings.startLease);
    m_leaseLimit = std::min(m_leaseLimit, leaseLimit());
    m_lease.extend(lease);
    const std::uint64_t number = m_guard.callSent();
    const StartRequest request { m_report.id, m_report.address, task, run.attempt, run.payload,
        m_lease.targetEndMs(lease), m_token, run.savedProgress, m_responses.callTimeout() };
    m_calls.start(request,
        [this, isAlive = m_isAlive, task, attempt = run.attempt, token = m_token, sentAt = m_clock.now(), number](
            const TargetReply& reply) {
            if (!*isAlive)
                return;
            m_guard.callEnded(number, reply.result != TargetCallResult::Unknown);
            m_responses.recordResponse(reply, sentAt);
            processStartReply(task, attempt, reply);
            checkFencing(reply, token);
        });
}

void TargetSession::processStartReply(const TaskId& task, std::uint32_t attempt, const TargetReply& reply)
{
    const bool isOfKnownIncarnation = updateTargetClock(reply);
    // The run may have been stopped meanwhile.
    if (reply.result == TargetCallResult::Unknown)
        m_unansweredStarts.add(task, attempt);
    Run* const found = m_runs.find(task, attempt);
    if (!found)
        return;
    Run& run = *found;
    // A definite reply to the last send says nothing about earlier sends, which may still be in flight.
    const bool mayRun = reply.result == TargetCallResult::Unknown || run.sends > 1;
    if (mayRun && reply.result != TargetCallResult::Done) {
        resolveUnconfirmedStart(task, run, reply.result);
        return;
    }
    if (reply.result == TargetCallResult::Done) {
        run.isStartConfirmed = run.isStartConfirmed || isOfKnownIncarnation;
        // The next list shows whether the incarnation that carried out the start has ended meanwhile.
        if (run.state == Run::State::Starting) {
            run.state = Run::State::Running;
            run.confirmedAt = m_clock.now();
        }
        return;
    }
    if (reply.result == TargetCallResult::Refused || reply.result == TargetCallResult::NotSent)
        m_startsPausedUntil = m_clock.now() + m_settings.refusalPause;
    if (reply.result == TargetCallResult::WrongTarget)
        m_isReady = false;
    m_runs.remove(task);
    m_hooks.rejected(*this, task, attempt, reply.result);
    m_hooks.roomChanged();
}

bool TargetSession::isStopNeeded(const TaskId& task, std::uint32_t attempt) const
{
    const Run* const run = m_runs.find(task, attempt);
    return run ? run->state == Run::State::Stopping : m_unansweredStarts.mayArriveLate(task, attempt);
}

void TargetSession::resolveUnconfirmedStart(const TaskId& task, Run& run, TargetCallResult result)
{
    if (run.state != Run::State::Starting)
        return;
    if (result == TargetCallResult::StaleAttempt) {
        // An earlier send was carried out: the next poll reports the run's completion, or shows that it was stopped.
        run.state = Run::State::Running;
        run.confirmedAt = m_clock.now();
        pollNow();
        return;
    }
    if (mayRepeatStart(run, result))
        sendStart(task, run);
    else
        stop(task);
}

bool TargetSession::mayRepeatStart(const Run& run, TargetCallResult result) const
{
    const bool isRetryable = result == TargetCallResult::Unknown || result == TargetCallResult::NotSent;
    const bool isListRecent = !m_hooks.isListRecent || m_hooks.isListRecent();
    const bool areStartsAllowed = !m_hooks.areStartsAllowed || m_hooks.areStartsAllowed();
    return isRetryable && run.sends < m_settings.maximumStartSends && isListRecent && areStartsAllowed && canStart();
}

void TargetSession::stop(const TaskId& task)
{
    Run* const run = m_runs.find(task);
    if (!run || run->state == Run::State::Stopping)
        return;
    run->state = Run::State::Stopping;
    run->confirmedAt.reset();
    sendStop(task, run->attempt);
}

void TargetSession::sendStop(const TaskId& task, std::uint32_t attempt)
{
    if (!maySend())
        return;
    m_calls.stop({ m_report.id, m_report.address, task, attempt, m_token, m_responses.callTimeout() },
        [this, isAlive = m_isAlive, task, attempt, token = m_token, sentAt = m_clock.now(),
            incarnationMs = m_incarnationMs](const TargetReply& reply) {
            if (!*isAlive)
                return;
            m_responses.recordResponse(reply, sentAt);
            updateTargetClock(reply);
            // A new incarnation was sent a stop of its own.
            if (incarnationMs == m_incarnationMs)
                processStopReply(task, attempt, reply);
            checkFencing(reply, token);
        });
}

void TargetSession::resendStops()
{
    for (const auto& entry : m_runs.all()) {
        if (entry.second.state == Run::State::Stopping && !entry.second.confirmedAt)
            sendStop(entry.first, entry.second.attempt);
    }
}

void TargetSession::checkFencing(const TargetReply& reply, FencingToken token)
{
    // A refused request with an earlier token of this host does not show another holder.
    if (reply.result == TargetCallResult::Fenced && token == m_token && maySend())
        m_hooks.fenced();
}

void TargetSession::processStopReply(const TaskId& task, std::uint32_t attempt, const TargetReply& reply)
{
    if (!isStopNeeded(task, attempt))
        return;
    if (reply.result == TargetCallResult::Done) {
        Run* const run = m_runs.find(task, attempt);
        if (!run)
            return;
        run->confirmedAt = m_clock.now();
        // A run that never started has no completion that the polling loop would report.
        pollNow();
        return;
    }
    // An unanswered call has already waited for its timeout.
    const Duration pause
        = reply.result == TargetCallResult::Unknown ? m_settings.pollRetryPause : m_settings.callTimeout;
    m_timers.after(pause, [this, isAlive = m_isAlive, task, attempt, incarnationMs = m_incarnationMs] {
        if (*isAlive && incarnationMs == m_incarnationMs && isStopNeeded(task, attempt))
            sendStop(task, attempt);
    });
}

void TargetSession::poll()
{
    const auto wait = m_responses.isLossy() ? m_settings.lossyPollWait : m_settings.pollWait;
    sendPoll(m_isReady ? wait : std::chrono::milliseconds(0), true);
}

void TargetSession::pollNow() { sendPoll(std::chrono::milliseconds(0), false); }

void TargetSession::pollAfter(Duration pause)
{
    m_timers.after(pause, [this, isAlive = m_isAlive] {
        if (*isAlive)
            poll();
    });
}

void TargetSession::sendPoll(std::chrono::milliseconds wait, bool isLoop)
{
    if (!maySend()) {
        if (isLoop)
            pollAfter(m_settings.callTimeout);
        return;
    }
    const TimePoint now = m_clock.now();
    PollRequest request { m_report.id, m_report.address, m_token, m_wasPollAnswered ? m_completions.acknowledged() : 0,
        std::nullopt, wait, m_responses.callTimeout() };
    m_leaseLimit = leaseLimit();
    if (mayRenewLease()) {
        const auto lease = limitedLease(m_settings.leaseDuration);
        request.leaseEndMs = m_lease.targetEndMs(lease);
        // A short lease is renewed in time.
        request.wait = std::min(wait, std::max(lease / 2, m_settings.lossyPollWait));
        m_lease.extend(lease);
    }
    const std::uint64_t number = request.leaseEndMs ? m_guard.callSent() : 0;
    m_calls.poll(
        request, [this, isAlive = m_isAlive, sentAt = now, isLoop, token = m_token, number](const PollReply& reply) {
            if (!*isAlive)
                return;
            m_guard.callEnded(number, reply.result != TargetCallResult::Unknown);
            m_responses.recordLoss(reply);
            m_wasPollAnswered = reply.result == TargetCallResult::Done;
            processPollReply(reply, sentAt, isLoop, token);
            checkFencing(reply, token);
        });
}

void TargetSession::processPollReply(const PollReply& reply, TimePoint sentAt, bool isLoop, FencingToken token)
{
    if (reply.result != TargetCallResult::Done || !maySend() || token < m_firstToken || !updateTargetClock(reply)) {
        if (isLoop)
            pollAfter(m_settings.pollRetryPause);
        return;
    }
    const bool wasReady = m_isReady;
    m_isReady = true;
    m_hasListedAll = (wasReady && m_hasListedAll) || !reply.mayHaveMoreCompletions;
    const bool hasNewCompletions = processCompletions(reply);
    reconcileRuns(reply, sentAt);
    if (!wasReady)
        m_hooks.ready(*this);
    checkLateCalls(token);
    if (!isLoop)
        return;
    const bool wasIdle = !hasNewCompletions && wasReady && m_clock.now() - sentAt < m_settings.pollRetryPause;
    if (wasIdle)
        pollAfter(m_settings.pollRetryPause);
    else
        poll();
}

bool TargetSession::updateTargetClock(const TargetReply& reply)
{
    if (!reply.clockMs)
        return false;
    if (reply.incarnationMs < m_incarnationMs)
        return false;
    if (reply.incarnationMs > m_incarnationMs)
        beginIncarnation(reply.incarnationMs);
    m_lease.setTargetClock(*reply.clockMs);
    m_responses.answered();
    return true;
}

void TargetSession::beginIncarnation(std::uint64_t incarnationMs)
{
    const std::uint64_t earlierMs = m_incarnationMs;
    m_incarnationMs = incarnationMs;
    if (earlierMs == 0)
        return;
    m_guard.beginIncarnation(m_token);
    // Late calls that the new incarnation has carried out so far.
    m_lease.extend(m_settings.leaseDuration);
    reportLosses(earlierMs, true);
    m_isReady = false;
    m_completions.reset();
    std::vector<TaskId> lostRuns;
    for (const TaskId& task : m_runs.tasks()) {
        Run& run = *m_runs.find(task);
        // A start without a reply may have reached the new incarnation, so a run in state Starting is kept.
        if (run.state == Run::State::Starting || mayBeInLaterIncarnation(task, run))
            continue;
        if (run.state == Run::State::Running && !m_unansweredStarts.mayArriveLate(task, run.attempt)) {
            lostRuns.push_back(task);
            continue;
        }
        // The start may still be in flight, and the new incarnation has not seen the stop.
        run.isStartConfirmed = false;
        run.state = Run::State::Stopping;
        run.confirmedAt.reset();
        sendStop(task, run.attempt);
    }
    interrupt(lostRuns);
    // The new incarnation does not know the stopped attempts and would run a start that arrives late.
    for (const UnansweredStarts::Start& start : m_unansweredStarts.starts()) {
        if (!m_runs.find(start.task, start.attempt) && m_unansweredStarts.mayArriveLate(start.task, start.attempt))
            sendStop(start.task, start.attempt);
    }
}

bool TargetSession::processCompletions(const PollReply& reply)
{
    bool hasNew = false;
    for (const RunCompletion& completion : reply.completions) {
        if (!m_completions.receive(completion.number))
            continue;
        hasNew = true;
        if (m_runs.find(completion.task, completion.attempt))
            m_runs.remove(completion.task);
        m_hooks.ended(*this, completion);
    }
    if (hasNew)
        m_hooks.roomChanged();
    return hasNew;
}

void TargetSession::reconcileRuns(const PollReply& reply, TimePoint sentAt)
{
    std::set<TaskId> active;
    for (const RunningTask& running : reply.running) {
        active.insert(running.task);
        Run* const found = m_runs.find(running.task);
        if (found && found->attempt == running.attempt) {
            Run& run = *found;
            run.savedProgress = running.savedProgress;
            run.isStartConfirmed = true;
            run.possibleLoss.reset();
            if (run.state == Run::State::Starting) {
                run.state = Run::State::Running;
                run.confirmedAt = m_clock.now();
            }
            continue;
        }
        if (found) {
            // A second attempt of a task with a run: only the run that this session tracks may continue.
            sendStop(running.task, running.attempt);
            continue;
        }
        const std::optional<Resources> adopted = m_hooks.foundRun(*this, running);
        const TimePoint now = m_clock.now();
        m_runs.add(running.task,
            { running.attempt, "", adopted.value_or(m_report.capacity), Run::State::Running, now, now,
                std::chrono::milliseconds(0), running.savedProgress, 0, true, std::nullopt, Isolation::None });
        if (!adopted)
            stop(running.task);
    }
    // A run that is not listed may be one whose completion did not fit into the list.
    if (reply.mayHaveMoreCompletions)
        return;
    const std::vector<TaskId> missing = m_runs.missingFrom(active, sentAt);
    std::vector<RunLoss> losses;
    for (const TaskId& task : missing) {
        if (const auto& loss = m_runs.find(task)->possibleLoss)
            losses.push_back(*loss);
    }
    for (const RunLoss& loss : losses)
        m_hooks.lost(*this, loss);
    interrupt(missing);
}

void TargetSession::interrupt(const std::vector<TaskId>& tasks)
{
    for (const TaskId& task : tasks) {
        const Run run = *m_runs.find(task);
        m_runs.remove(task);
        m_hooks.ended(*this, { 0, task, run.attempt, RunOutcome::Interrupted, run.savedProgress });
    }
    if (!tasks.empty())
        m_hooks.roomChanged();
}

void TargetSession::reportLosses(std::uint64_t incarnationMs, bool hasRestarted)
{
    if (incarnationMs == m_drainingIncarnationMs)
        return;
    std::vector<RunLoss> losses;
    for (const TaskId& task : m_runs.tasks()) {
        Run& run = *m_runs.find(task);
        const RunLoss loss { task, incarnationMs, run.isStartConfirmed, hasRestarted, m_runs.all().size() == 1 };
        if (!hasRestarted || !mayBeInLaterIncarnation(task, run)) {
            losses.push_back(loss);
        } else if (!run.possibleLoss) {
            run.possibleLoss = loss;
            run.possibleLoss->isStartConfirmed = true;
        }
    }
    for (const RunLoss& loss : losses)
        m_hooks.lost(*this, loss);
}

bool TargetSession::mayBeInLaterIncarnation(const TaskId& task, const Run& run) const
{
    return run.state == Run::State::Running && !run.isStartConfirmed
        && !m_unansweredStarts.mayArriveLate(task, run.attempt);
}

void TargetSession::checkLateCalls(FencingToken token)
{
    if (!m_guard.isBlocked() || m_isTokenCheckInFlight)
        return;
    const FencingToken earlier = m_guard.tokenToRefuse();
    if (token <= earlier) {
        // A call that was sent before the raise may be answered after it.
        if (m_token <= earlier && m_hooks.tokenRaiseNeeded)
            m_hooks.tokenRaiseNeeded();
        return;
    }
    // Late calls may have extended the lease until the target saw the higher token.
    m_lease.extend(m_settings.leaseDuration);
    m_isTokenCheckInFlight = true;
    const PollRequest request { m_report.id, m_report.address, earlier, 0, std::nullopt, std::chrono::milliseconds(0),
        m_responses.callTimeout() };
    m_calls.poll(request, [this, isAlive = m_isAlive, earlier](const PollReply& reply) {
        if (!*isAlive)
            return;
        m_isTokenCheckInFlight = false;
        const bool isRefused = reply.result == TargetCallResult::Fenced;
        if ((!isRefused && reply.result != TargetCallResult::Done) || earlier != m_guard.tokenToRefuse())
            return;
        m_guard.tokenChecked(isRefused);
        m_hooks.roomChanged();
    });
}

void TargetSession::checkLease()
{
    if (m_clock.now() >= leaseEnd() && m_responses.isSilenceTimeoutOver() && !m_runs.all().empty() && !m_isClosed) {
        m_isReady = false;
        reportLosses(m_incarnationMs, false);
        interrupt(m_runs.tasks());
    }
    m_timers.after(std::chrono::milliseconds(100), [this, isAlive = m_isAlive] {
        if (*isAlive)
            checkLease();
    });
}

void TargetSession::acknowledgeCompletion(std::uint64_t incarnationMs, std::uint64_t number)
{
    if (incarnationMs == m_incarnationMs)
        m_completions.acknowledge(number);
}

}
