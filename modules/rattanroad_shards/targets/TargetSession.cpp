#include "rattanroad_shards/targets/TargetSession.h"

#include <algorithm>
#include <cassert>

namespace rattanroad::shards {

TargetSession::TargetSession(Settings settings, TargetReport report, FencingToken token, TargetCalls& calls,
    Timers timers, const Clock& clock, Hooks hooks)
    : m_settings(settings)
    , m_report(std::move(report))
    , m_token(token)
    , m_calls(calls)
    , m_timers(std::move(timers))
    , m_clock(clock)
    , m_hooks(std::move(hooks))
    , m_leaseEnd(clock.now())
{
    // An earlier holder may have renewed the lease just now.
    extendLease(m_settings.leaseDuration);
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
    m_isClosed = false;
    m_isReady = false;
    resendStops();
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
    return !m_isClosed && m_isReady && m_isListed && !m_report.isDraining && now >= m_startsPausedUntil
        && isLeaseLongEnough && now - m_lastResponseAt < m_settings.silenceTimeout;
}

bool TargetSession::hasIsolatedRun() const
{
    return std::any_of(m_runs.begin(), m_runs.end(), [](const auto& run) { return run.second.isIsolated; });
}

TimePoint TargetSession::leaseLimit() const
{
    TimePoint limit = TimePoint::max();
    for (const auto& entry : m_runs) {
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

std::uint64_t TargetSession::targetLeaseEndMs(std::chrono::milliseconds length) const
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - m_targetClockReadAt);
    return *m_targetClockMs + static_cast<std::uint64_t>((elapsed + length).count());
}

bool TargetSession::mayRenewLease() const
{
    const TimePoint now = m_clock.now();
    const bool isListed = m_isListed || now - m_unlistedSince < m_settings.unlistedTimeout;
    return m_targetClockMs && isListed && now - m_lastResponseAt < m_settings.silenceTimeout;
}

void TargetSession::extendLease(std::chrono::milliseconds length)
{
    const auto longest = std::chrono::duration_cast<Duration>(length * (1 + m_settings.clockDrift));
    // The target read its clock up to one call duration before the reply arrived here.
    m_leaseEnd = std::max(m_leaseEnd, m_clock.now() + longest + m_settings.pollRetryPause);
}

void TargetSession::start(const TaskId& task, std::uint32_t attempt, const std::string& payload, Resources resources,
    std::chrono::milliseconds predicted, const std::string& savedProgress, bool isIsolated)
{
    // The time limits of canStart() are not checked: they may have passed since the target was chosen.
    assert(!m_isClosed && m_isReady && m_isListed && !m_report.isDraining && !m_runs.count(task));
    Run& run = m_runs[task];
    run = Run { attempt, payload, isIsolated ? m_report.capacity : resources, Run::State::Starting, m_clock.now(),
        std::nullopt, predicted, savedProgress, 0, false, std::nullopt, isIsolated };
    m_used += run.resources;
    sendStart(task, run);
}

void TargetSession::sendStart(const TaskId& task, Run& run)
{
    ++run.sends;
    const auto lease = limitedLease(m_settings.startLease);
    m_leaseLimit = std::min(m_leaseLimit, leaseLimit());
    extendLease(lease);
    const StartRequest request { m_report.id, m_report.address, task, run.attempt, run.payload, targetLeaseEndMs(lease),
        m_token, run.savedProgress, callTimeout() };
    m_calls.start(request,
        [this, isAlive = m_isAlive, task, attempt = run.attempt, token = m_token, sentAt = m_clock.now()](
            const TargetReply& reply) {
            if (!*isAlive)
                return;
            recordResponse(reply, sentAt);
            processStartReply(task, attempt, reply);
            checkFencing(reply, token);
        });
}

void TargetSession::recordResponse(const TargetReply& reply, TimePoint sentAt)
{
    recordLoss(reply);
    if (!reply.clockMs)
        return;
    const Duration sample = m_clock.now() - sentAt;
    m_responseTime = std::max(sample, m_responseTime + (sample - m_responseTime) / m_settings.responseTimeSamples);
}

void TargetSession::recordLoss(const TargetReply& reply)
{
    if (reply.result == TargetCallResult::Unknown)
        m_lastLoss = m_clock.now();
}

bool TargetSession::isLossy() const
{
    const TimePoint now = m_clock.now();
    return now - m_lastLoss < m_settings.lossWindow && now - m_lastResponseAt < m_settings.silenceTimeout;
}

std::chrono::milliseconds TargetSession::callTimeout() const
{
    if (!isLossy())
        return m_settings.callTimeout;
    const auto allowance
        = std::chrono::duration_cast<std::chrono::milliseconds>(m_responseTime * m_settings.lossyTimeoutFactor);
    return std::min(m_settings.lossyTimeoutMargin + allowance, m_settings.maximumLossyTimeout);
}

void TargetSession::processStartReply(const TaskId& task, std::uint32_t attempt, const TargetReply& reply)
{
    const bool isOfKnownIncarnation = updateTargetClock(reply);
    // The run may have been stopped meanwhile.
    if (reply.result == TargetCallResult::Unknown)
        recordUnansweredStart(task, attempt);
    const auto found = m_runs.find(task);
    if (found == m_runs.end() || found->second.attempt != attempt)
        return;
    Run& run = found->second;
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
    removeRun(task);
    m_hooks.rejected(*this, task, attempt, reply.result);
    m_hooks.roomChanged();
}

void TargetSession::recordUnansweredStart(const TaskId& task, std::uint32_t attempt)
{
    const TimePoint now = m_clock.now();
    while (!m_unansweredStarts.empty() && now - m_unansweredStarts.front().sentAt >= m_settings.lateRequestWindow)
        m_unansweredStarts.pop_front();
    m_unansweredStarts.push_back({ task, attempt, now });
}

bool TargetSession::mayStartLate(const TaskId& task, std::uint32_t highestAttempt) const
{
    return std::any_of(m_unansweredStarts.begin(), m_unansweredStarts.end(), [&](const UnansweredStart& start) {
        return start.task == task && start.attempt <= highestAttempt
            && m_clock.now() - start.sentAt < m_settings.lateRequestWindow;
    });
}

bool TargetSession::isStopNeeded(const TaskId& task, std::uint32_t attempt) const
{
    const auto found = m_runs.find(task);
    const bool isOfRun = found != m_runs.end() && found->second.attempt == attempt;
    return isOfRun ? found->second.state == Run::State::Stopping : mayStartLate(task, attempt);
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
    const auto found = m_runs.find(task);
    if (found == m_runs.end() || found->second.state == Run::State::Stopping)
        return;
    found->second.state = Run::State::Stopping;
    found->second.confirmedAt.reset();
    sendStop(task, found->second.attempt);
}

void TargetSession::sendStop(const TaskId& task, std::uint32_t attempt)
{
    if (!maySend())
        return;
    m_calls.stop({ m_report.id, m_report.address, task, attempt, m_token, callTimeout() },
        [this, isAlive = m_isAlive, task, attempt, token = m_token, sentAt = m_clock.now(),
            incarnationMs = m_incarnationMs](const TargetReply& reply) {
            if (!*isAlive)
                return;
            recordResponse(reply, sentAt);
            updateTargetClock(reply);
            // A new incarnation was sent a stop of its own.
            if (incarnationMs == m_incarnationMs)
                processStopReply(task, attempt, reply);
            checkFencing(reply, token);
        });
}

void TargetSession::resendStops()
{
    for (const auto& entry : m_runs) {
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
        const auto found = m_runs.find(task);
        if (found == m_runs.end() || found->second.attempt != attempt)
            return;
        found->second.confirmedAt = m_clock.now();
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
    const auto wait = isLossy() ? m_settings.lossyPollWait : m_settings.pollWait;
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
    PollRequest request { m_report.id, m_report.address, m_token, m_wasPollAnswered ? m_acknowledged : 0, std::nullopt,
        wait, callTimeout() };
    m_leaseLimit = leaseLimit();
    if (mayRenewLease()) {
        const auto lease = limitedLease(m_settings.leaseDuration);
        request.leaseEndMs = targetLeaseEndMs(lease);
        // A short lease is renewed in time.
        request.wait = std::min(wait, std::max(lease / 2, m_settings.lossyPollWait));
        extendLease(lease);
    }
    m_calls.poll(request, [this, isAlive = m_isAlive, sentAt = now, isLoop, token = m_token](const PollReply& reply) {
        if (!*isAlive)
            return;
        recordLoss(reply);
        m_wasPollAnswered = reply.result == TargetCallResult::Done;
        processPollReply(reply, sentAt, isLoop, token);
        checkFencing(reply, token);
    });
}

void TargetSession::processPollReply(const PollReply& reply, TimePoint sentAt, bool isLoop, FencingToken token)
{
    if (reply.result != TargetCallResult::Done || !maySend() || token != m_token || !updateTargetClock(reply)) {
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
    m_targetClockMs = reply.clockMs;
    m_targetClockReadAt = m_clock.now();
    m_lastResponseAt = m_targetClockReadAt;
    return true;
}

void TargetSession::beginIncarnation(std::uint64_t incarnationMs)
{
    const std::uint64_t earlierMs = m_incarnationMs;
    m_incarnationMs = incarnationMs;
    if (earlierMs == 0)
        return;
    reportLosses(earlierMs, true);
    m_isReady = false;
    m_lastCompletion = 0;
    m_acknowledged = 0;
    m_acknowledgedOutOfOrder.clear();
    std::vector<TaskId> lostRuns;
    for (auto& entry : m_runs) {
        Run& run = entry.second;
        // A start without a reply may have reached the new incarnation, so a run in state Starting is kept.
        if (run.state == Run::State::Starting || mayBeInLaterIncarnation(entry.first, run))
            continue;
        if (run.state == Run::State::Running && !mayStartLate(entry.first, run.attempt)) {
            lostRuns.push_back(entry.first);
            continue;
        }
        // The start may still be in flight, and the new incarnation has not seen the stop.
        run.isStartConfirmed = false;
        run.state = Run::State::Stopping;
        run.confirmedAt.reset();
        sendStop(entry.first, run.attempt);
    }
    interrupt(lostRuns);
    // The new incarnation does not know the stopped attempts and would run a start that arrives late.
    for (const UnansweredStart& start : m_unansweredStarts) {
        const auto found = m_runs.find(start.task);
        const bool isOfRun = found != m_runs.end() && found->second.attempt == start.attempt;
        if (!isOfRun && mayStartLate(start.task, start.attempt))
            sendStop(start.task, start.attempt);
    }
}

bool TargetSession::processCompletions(const PollReply& reply)
{
    bool hasNew = false;
    for (const RunCompletion& completion : reply.completions) {
        if (completion.number <= m_lastCompletion)
            continue;
        // Lower numbers that are not reported were acknowledged by an earlier holder.
        if (m_lastCompletion == 0)
            m_acknowledged = std::max(m_acknowledged, completion.number - 1);
        m_lastCompletion = completion.number;
        hasNew = true;
        const auto run = m_runs.find(completion.task);
        if (run != m_runs.end() && run->second.attempt == completion.attempt)
            removeRun(completion.task);
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
        const auto found = m_runs.find(running.task);
        if (found != m_runs.end() && found->second.attempt == running.attempt) {
            Run& run = found->second;
            run.savedProgress = running.savedProgress;
            run.isStartConfirmed = true;
            run.possibleLoss.reset();
            if (run.state == Run::State::Starting) {
                run.state = Run::State::Running;
                run.confirmedAt = m_clock.now();
            }
            continue;
        }
        if (found != m_runs.end()) {
            // A second attempt of a task with a run: only the run that this session tracks may continue.
            sendStop(running.task, running.attempt);
            continue;
        }
        const std::optional<Resources> adopted = m_hooks.foundRun(*this, running);
        const TimePoint now = m_clock.now();
        m_runs[running.task] = Run { running.attempt, "", adopted.value_or(m_report.capacity), Run::State::Running, now,
            now, std::chrono::milliseconds(0), running.savedProgress, 0, true, std::nullopt, false };
        m_used += m_runs[running.task].resources;
        if (!adopted)
            stop(running.task);
    }
    // A run that is not listed may be one whose completion did not fit into the list.
    if (reply.mayHaveMoreCompletions)
        return;
    std::vector<TaskId> missing;
    for (const auto& entry : m_runs) {
        const Run& run = entry.second;
        if (!active.count(entry.first) && run.confirmedAt && *run.confirmedAt < sentAt)
            missing.push_back(entry.first);
    }
    std::vector<RunLoss> losses;
    for (const TaskId& task : missing) {
        if (const auto& loss = m_runs[task].possibleLoss)
            losses.push_back(*loss);
    }
    for (const RunLoss& loss : losses)
        m_hooks.lost(*this, loss);
    interrupt(missing);
}

void TargetSession::interrupt(const std::vector<TaskId>& tasks)
{
    for (const TaskId& task : tasks) {
        const Run run = m_runs[task];
        removeRun(task);
        m_hooks.ended(*this, { 0, task, run.attempt, RunOutcome::Interrupted, run.savedProgress });
    }
    if (!tasks.empty())
        m_hooks.roomChanged();
}

void TargetSession::removeRun(const TaskId& task)
{
    m_runs.erase(task);
    m_used = {};
    for (const auto& entry : m_runs)
        m_used += entry.second.resources;
}

void TargetSession::interruptAll()
{
    std::vector<TaskId> tasks;
    for (const auto& entry : m_runs)
        tasks.push_back(entry.first);
    interrupt(tasks);
}

void TargetSession::reportLosses(std::uint64_t incarnationMs, bool hasRestarted)
{
    if (incarnationMs == m_drainingIncarnationMs)
        return;
    std::vector<RunLoss> losses;
    for (auto& entry : m_runs) {
        Run& run = entry.second;
        const RunLoss loss { entry.first, incarnationMs, run.isStartConfirmed, hasRestarted, m_runs.size() == 1 };
        if (!hasRestarted || !mayBeInLaterIncarnation(entry.first, run)) {
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
    return run.state == Run::State::Running && !run.isStartConfirmed && !mayStartLate(task, run.attempt);
}

void TargetSession::checkLease()
{
    const TimePoint now = m_clock.now();
    if (now >= m_leaseEnd && now - m_lastResponseAt >= m_settings.silenceTimeout && !m_runs.empty() && !m_isClosed) {
        m_isReady = false;
        reportLosses(m_incarnationMs, false);
        interruptAll();
    }
    m_timers.after(std::chrono::milliseconds(100), [this, isAlive = m_isAlive] {
        if (*isAlive)
            checkLease();
    });
}

void TargetSession::acknowledgeCompletion(std::uint64_t incarnationMs, std::uint64_t number)
{
    if (incarnationMs != m_incarnationMs || number <= m_acknowledged)
        return;
    m_acknowledgedOutOfOrder.insert(number);
    while (!m_acknowledgedOutOfOrder.empty() && *m_acknowledgedOutOfOrder.begin() == m_acknowledged + 1) {
        m_acknowledged = *m_acknowledgedOutOfOrder.begin();
        m_acknowledgedOutOfOrder.erase(m_acknowledgedOutOfOrder.begin());
    }
}

}
