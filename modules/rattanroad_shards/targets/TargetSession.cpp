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
}

TargetSession::~TargetSession() { *m_isAlive = false; }

void TargetSession::open()
{
    hold();
    checkLease();
}

void TargetSession::setToken(FencingToken token)
{
    m_token = token;
    m_isClosed = false;
    m_isReady = false;
}

void TargetSession::setReport(const TargetReport& report)
{
    m_isListed = true;
    m_report = report;
}

void TargetSession::setListed(bool isListed)
{
    if (m_isListed && !isListed)
        m_unlistedSince = m_clock.now();
    m_isListed = isListed;
}

bool TargetSession::canStart() const
{
    const TimePoint now = m_clock.now();
    return !m_isClosed && m_isReady && m_isListed && !m_report.isDraining && now >= m_noWorkUntil
        && now - m_lastAnswer < m_settings.silenceLimit;
}

std::uint64_t TargetSession::leaseEnd(std::chrono::milliseconds length) const
{
    const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - m_clockAt);
    return *m_targetClockMs + static_cast<std::uint64_t>((passed + length).count());
}

void TargetSession::extendLease(std::chrono::milliseconds length)
{
    const auto longest = std::chrono::duration_cast<Duration>(length * (1 + m_settings.clockDrift));
    // The clock was read up to one call earlier than it arrived here.
    m_leaseEnd = std::max(m_leaseEnd, m_clock.now() + longest + m_settings.holdPause);
}

void TargetSession::start(const TaskId& task, std::uint32_t attempt, const std::string& payload, Resources resources,
    std::chrono::milliseconds predicted, const std::string& savedProgress)
{
    // The time limits of canStart() may have passed since the target was chosen.
    assert(!m_isClosed && m_isReady && m_isListed && !m_report.isDraining && !m_runs.count(task));
    Run& run = m_runs[task];
    run = Run { attempt, payload, resources, Run::State::Starting, m_clock.now(), std::nullopt, predicted,
        savedProgress, 0 };
    m_used += resources;
    sendStart(task, run);
}

void TargetSession::sendStart(const TaskId& task, Run& run)
{
    ++run.sends;
    extendLease(m_settings.startLease);
    const StartOrder order { m_report.id, m_report.address, task, run.attempt, run.payload,
        leaseEnd(m_settings.startLease), m_token, run.savedProgress, callTimeout() };
    m_calls.start(order,
        [this, isAlive = m_isAlive, task, attempt = run.attempt, token = m_token, sentAt = m_clock.now()](
            const TargetReply& reply) {
            if (!*isAlive)
                return;
            noteAnswer(reply, sentAt);
            takeStart(task, attempt, reply);
            takeFence(reply, token);
        });
}

void TargetSession::noteAnswer(const TargetReply& reply, TimePoint sentAt)
{
    noteLoss(reply);
    if (!reply.clockMs)
        return;
    const Duration taken = m_clock.now() - sentAt;
    m_answerTime = std::max(taken, m_answerTime + (taken - m_answerTime) / m_settings.answerSamples);
}

void TargetSession::noteLoss(const TargetReply& reply)
{
    if (reply.ending == TargetEnding::Unknown)
        m_lastLoss = m_clock.now();
}

bool TargetSession::isLossy() const
{
    const TimePoint now = m_clock.now();
    return now - m_lastLoss < m_settings.lossMemory && now - m_lastAnswer < m_settings.silenceLimit;
}

std::chrono::milliseconds TargetSession::callTimeout() const
{
    if (!isLossy())
        return m_settings.callTimeout;
    const auto answers
        = std::chrono::duration_cast<std::chrono::milliseconds>(m_answerTime * m_settings.lossyAnswerFactor);
    return std::min(m_settings.lossyCallSlack + answers, m_settings.longestLossyCall);
}

void TargetSession::takeStart(const TaskId& task, std::uint32_t attempt, const TargetReply& reply)
{
    const bool isPresentLife = takeClock(reply);
    const auto found = m_runs.find(task);
    if (found == m_runs.end() || found->second.attempt != attempt)
        return;
    Run& run = found->second;
    if (reply.ending == TargetEnding::Unknown)
        m_unanswered.push_back({ task, attempt, m_clock.now() });
    // What is certain of the last sending says nothing of those before, which may be on the way.
    const bool mayRun = reply.ending == TargetEnding::Unknown || run.sends > 1;
    if (mayRun && reply.ending != TargetEnding::Done) {
        startUnsettled(task, run, reply.ending);
        return;
    }
    if (reply.ending == TargetEnding::Done) {
        if (isPresentLife && run.state == Run::State::Starting) {
            run.state = Run::State::Running;
            run.confirmedAt = m_clock.now();
        }
        return;
    }
    if (reply.ending == TargetEnding::Refused || reply.ending == TargetEnding::NotSent)
        m_noWorkUntil = m_clock.now() + m_settings.refusalPause;
    if (reply.ending == TargetEnding::OtherLife)
        m_isReady = false;
    removeRun(task);
    m_hooks.rejected(*this, task, attempt, reply.ending);
    m_hooks.roomChanged();
}

void TargetSession::startUnsettled(const TaskId& task, Run& run, TargetEnding ending)
{
    if (run.state != Run::State::Starting)
        return;
    if (ending == TargetEnding::Outdated) {
        // An earlier sending has run: the next hold lists its end, or shows that it was stopped.
        run.state = Run::State::Running;
        run.confirmedAt = m_clock.now();
        look();
        return;
    }
    const bool isWorthRepeating = ending == TargetEnding::Unknown || ending == TargetEnding::NotSent;
    if (isWorthRepeating && run.sends < m_settings.startSends && canStart())
        sendStart(task, run);
    else
        stop(task);
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
    if (m_isClosed)
        return;
    m_calls.stop({ m_report.id, m_report.address, task, attempt, m_token, callTimeout() },
        [this, isAlive = m_isAlive, task, attempt, token = m_token, sentAt = m_clock.now()](const TargetReply& reply) {
            if (!*isAlive)
                return;
            noteAnswer(reply, sentAt);
            takeStop(task, attempt, reply);
            takeFence(reply, token);
        });
}

void TargetSession::takeFence(const TargetReply& reply, FencingToken token)
{
    // An order of an earlier holding of this host is refused too, which means nothing.
    if (reply.ending == TargetEnding::Fenced && token == m_token && !m_isClosed)
        m_hooks.fenced();
}

void TargetSession::takeStop(const TaskId& task, std::uint32_t attempt, const TargetReply& reply)
{
    takeClock(reply);
    const auto found = m_runs.find(task);
    if (found == m_runs.end() || found->second.attempt != attempt || found->second.state != Run::State::Stopping)
        return;
    if (reply.ending == TargetEnding::Done) {
        found->second.confirmedAt = m_clock.now();
        // A run that never began has no end to wait for.
        look();
        return;
    }
    // An answer that did not come has taken its time already.
    const Duration pause = reply.ending == TargetEnding::Unknown ? m_settings.holdPause : m_settings.callTimeout;
    m_timers.after(pause, [this, isAlive = m_isAlive, task, attempt] {
        if (!*isAlive)
            return;
        const auto run = m_runs.find(task);
        if (run != m_runs.end() && run->second.attempt == attempt && run->second.state == Run::State::Stopping)
            sendStop(task, attempt);
    });
}

void TargetSession::hold()
{
    const auto longest = isLossy() ? m_settings.lossyHoldWait : m_settings.holdWait;
    sendHold(m_isReady ? longest : std::chrono::milliseconds(0), true);
}

void TargetSession::look() { sendHold(std::chrono::milliseconds(0), false); }

void TargetSession::holdAfter(Duration pause)
{
    m_timers.after(pause, [this, isAlive = m_isAlive] {
        if (*isAlive)
            hold();
    });
}

void TargetSession::sendHold(std::chrono::milliseconds wait, bool isLoop)
{
    if (m_isClosed) {
        if (isLoop)
            holdAfter(m_settings.callTimeout);
        return;
    }
    const TimePoint now = m_clock.now();
    HoldOrder order { m_report.id, m_report.address, m_token, m_acknowledged, std::nullopt, wait, callTimeout() };
    if (m_targetClockMs && now - m_lastAnswer < m_settings.silenceLimit) {
        order.leaseEndMs = leaseEnd(m_settings.longestLease);
        extendLease(m_settings.longestLease);
    }
    m_calls.hold(order, [this, isAlive = m_isAlive, sentAt = now, isLoop, token = m_token](const HoldReply& reply) {
        if (!*isAlive)
            return;
        noteLoss(reply);
        takeHold(reply, sentAt, isLoop, token);
        takeFence(reply, token);
    });
}

void TargetSession::takeHold(const HoldReply& reply, TimePoint sentAt, bool isLoop, FencingToken token)
{
    if (reply.ending != TargetEnding::Done || m_isClosed || token != m_token || !takeClock(reply)) {
        if (isLoop)
            holdAfter(m_settings.holdPause);
        return;
    }
    const bool wasReady = m_isReady;
    m_isReady = true;
    const bool hasNewEnds = takeEnds(reply);
    takeRunning(reply, sentAt);
    if (!wasReady)
        m_hooks.ready(*this);
    if (!isLoop)
        return;
    const bool wasIdle = !hasNewEnds && wasReady && m_clock.now() - sentAt < m_settings.holdPause;
    if (wasIdle)
        holdAfter(m_settings.holdPause);
    else
        hold();
}

bool TargetSession::takeClock(const TargetReply& reply)
{
    if (!reply.clockMs)
        return false;
    if (reply.bornMs < m_bornMs)
        return false;
    if (reply.bornMs > m_bornMs)
        beginLife(reply.bornMs);
    m_targetClockMs = reply.clockMs;
    m_clockAt = m_clock.now();
    m_lastAnswer = m_clockAt;
    return true;
}

void TargetSession::beginLife(std::uint64_t bornMs)
{
    const bool isFirst = m_bornMs == 0;
    m_bornMs = bornMs;
    if (isFirst)
        return;
    m_isReady = false;
    m_lastEnd = 0;
    m_acknowledged = 0;
    m_forgettable.clear();
    std::vector<TaskId> ended;
    for (auto& entry : m_runs) {
        Run& run = entry.second;
        if (run.state == Run::State::Running) {
            ended.push_back(entry.first);
        } else if (run.state == Run::State::Stopping) {
            // Its start may be on the way, and the new life has not seen the stop.
            run.confirmedAt.reset();
            sendStop(entry.first, run.attempt);
        }
        // A start without a reply may have reached the new life.
    }
    interrupt(ended);
    // The new life knows nothing of stopped attempts, and would run a start that arrives late.
    for (const UnansweredStart& start : m_unanswered) {
        if (m_clock.now() - start.sentAt < m_settings.lateOrderLimit)
            sendStop(start.task, start.attempt);
    }
    m_unanswered.clear();
}

bool TargetSession::takeEnds(const HoldReply& reply)
{
    bool hasNew = false;
    for (const EndedTask& end : reply.ended) {
        if (end.number <= m_lastEnd)
            continue;
        // Numbers between the last one and this one were acknowledged by an earlier holder.
        if (m_lastEnd == 0)
            m_acknowledged = std::max(m_acknowledged, end.number - 1);
        m_lastEnd = end.number;
        hasNew = true;
        const auto run = m_runs.find(end.task);
        if (run != m_runs.end() && run->second.attempt == end.attempt)
            removeRun(end.task);
        m_hooks.ended(*this, end);
    }
    if (hasNew)
        m_hooks.roomChanged();
    return hasNew;
}

void TargetSession::takeRunning(const HoldReply& reply, TimePoint sentAt)
{
    std::set<TaskId> listed;
    for (const RunningTask& running : reply.running) {
        listed.insert(running.task);
        const auto found = m_runs.find(running.task);
        if (found != m_runs.end() && found->second.attempt == running.attempt) {
            Run& run = found->second;
            run.savedProgress = running.savedProgress;
            if (run.state == Run::State::Starting) {
                run.state = Run::State::Running;
                run.confirmedAt = m_clock.now();
            }
            continue;
        }
        if (found != m_runs.end()) {
            // Two attempts of one task: only the later one may go on.
            sendStop(running.task, running.attempt);
            continue;
        }
        const std::optional<Resources> taken = m_hooks.found(*this, running);
        const TimePoint now = m_clock.now();
        m_runs[running.task] = Run { running.attempt, "", taken.value_or(m_report.capacity), Run::State::Running, now,
            now, std::chrono::milliseconds(0), running.savedProgress, 0 };
        m_used += m_runs[running.task].resources;
        if (!taken)
            stop(running.task);
    }
    std::vector<TaskId> gone;
    for (const auto& entry : m_runs) {
        const Run& run = entry.second;
        if (!listed.count(entry.first) && run.confirmedAt && *run.confirmedAt < sentAt)
            gone.push_back(entry.first);
    }
    interrupt(gone);
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

void TargetSession::checkLease()
{
    const TimePoint now = m_clock.now();
    if (now >= m_leaseEnd && now - m_lastAnswer >= m_settings.silenceLimit && !m_runs.empty() && !m_isClosed) {
        m_isReady = false;
        interruptAll();
    }
    m_timers.after(std::chrono::milliseconds(100), [this, isAlive = m_isAlive] {
        if (*isAlive)
            checkLease();
    });
}

void TargetSession::forgetEnd(std::uint64_t bornMs, std::uint64_t number)
{
    if (bornMs != m_bornMs || number <= m_acknowledged)
        return;
    m_forgettable.insert(number);
    while (!m_forgettable.empty() && *m_forgettable.begin() == m_acknowledged + 1) {
        m_acknowledged = *m_forgettable.begin();
        m_forgettable.erase(m_forgettable.begin());
    }
}

}
