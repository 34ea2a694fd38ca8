#include "emulator/EmulatedTargets.h"

#include <algorithm>
#include <sstream>

namespace rattanroad::emulator {

using namespace shards;
using namespace std::chrono_literals;

namespace {
    constexpr auto latency = 1ms;
    constexpr auto stopDuration = 40ms;
    constexpr auto leaseCheckInterval = 10ms;
    /** No task starts later than this after the evacuation of a failure domain. */
    constexpr auto evacuationBound = 5000ms;
}

std::string taskPayload(std::chrono::milliseconds duration, Resources resources, bool fails)
{
    std::ostringstream text;
    text << duration.count() << ' ' << resources.millicores << ' ' << resources.memoryMb << ' ' << fails;
    return text.str();
}

void EmulatedTargets::add(const TargetReport& report)
{
    m_reports[report.id] = report;
    m_targets[report.id].incarnation = 1;
}

void EmulatedTargets::restart(const TargetId& id)
{
    beginIncarnation(id);
    writeEntryLater(id);
}

void EmulatedTargets::writeEntryLater(const TargetId& id)
{
    m_queue.after(faults.entryDelay, [this, id] {
        if (m_returnObserver && !isRemoved(id))
            m_returnObserver(id);
    });
}

void EmulatedTargets::beginIncarnation(const TargetId& id)
{
    Target& target = m_targets[id];
    for (const auto& live : target.live)
        m_runs[live.first][live.second.runIndex].endedAt = m_queue.now();
    const std::uint64_t incarnation = target.incarnation + 1;
    target = Target();
    target.incarnation = incarnation;
    target.startedAt = m_queue.now();
    m_reports[id].bornMs = incarnation;
    const auto capacity = m_nextCapacities.find(id);
    if (capacity != m_nextCapacities.end())
        m_reports[id].capacity = capacity->second;
}

void EmulatedTargets::remove(const TargetId& id)
{
    beginIncarnation(id);
    m_removed.insert(id);
}

void EmulatedTargets::crash(const TargetId& id)
{
    if (isCrashed(id))
        return;
    m_crashedTargets.insert(id);
    for (const auto& live : m_targets[id].live) {
        Run& run = m_runs[live.first][live.second.runIndex];
        run.endedAt = m_queue.now();
        run.ending = "crashed";
    }
    m_targets[id].live.clear();
    m_queue.after(faults.crashDuration, [this, id] {
        m_crashedTargets.erase(id);
        beginIncarnation(id);
        if (faults.doAddressesChange)
            m_reports[id].address += "-moved";
        writeEntryLater(id);
    });
}

std::uint64_t EmulatedTargets::clockMs(const Target& target) const
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(m_queue.now() - target.startedAt).count());
}

TimePoint EmulatedTargets::toTimePoint(const Target& target, std::uint64_t clockMs)
{
    return target.startedAt + std::chrono::milliseconds(clockMs);
}

bool EmulatedTargets::isReachable(const HostId& host, const TargetId& target) const
{
    return !isRemoved(target) && !isCrashed(target) && !faults.unreachableTargets.count(target)
        && !faults.disconnectedPairs.count({ host, target });
}

TargetReply EmulatedTargets::reply(const TargetId& target, TargetCallResult ending) const
{
    TargetReply reply;
    reply.result = ending;
    reply.clockMs = clockMs(m_targets.at(target));
    return reply;
}

bool EmulatedTargets::acceptToken(Target& target, FencingToken token) const
{
    if (token.value() < target.token)
        return faults.areOldTokensAccepted;
    target.token = token.value();
    return true;
}

void EmulatedTargets::executeLate(const TargetId& target, std::function<void()> carryOut)
{
    m_queue.after(faults.lateBy, [this, target, carryOut = std::move(carryOut)] {
        if (!isRemoved(target))
            carryOut();
    });
}

bool EmulatedTargets::arrivesInTime(const HostId& host, const TargetId& target, std::function<void()> carryOut)
{
    if (!isReachable(host, target))
        return false;
    if (faults.delayEvery == 0 || ++m_requests % faults.delayEvery != 0)
        return true;
    executeLate(target, std::move(carryOut));
    return false;
}

TargetCalls EmulatedTargets::callsFrom(const HostId& host)
{
    TargetCalls calls;
    calls.start = [this, host](const StartRequest& request, const std::function<void(const TargetReply&)>& callback) {
        m_queue.after(latency, [this, host, request, callback] {
            const auto unanswered
                = [this, request, callback] { m_queue.after(request.timeout, [callback] { callback({}); }); };
            if (!arrivesInTime(host, request.target, [this, request] { start(request); })) {
                unanswered();
            } else if (faults.doRepeatsFailToConnect && m_lateStarts.count({ request.task, request.attempt })) {
                TargetReply notSent;
                notSent.result = TargetCallResult::NotSent;
                callback(notSent);
            } else if (faults.lateStarts > 0) {
                --faults.lateStarts;
                m_lateStarts.insert({ request.task, request.attempt });
                executeLate(request.target, [this, request] { start(request); });
                unanswered();
            } else {
                checkDraining(request.target);
                checkEvacuation(host, request.target);
                const TargetCallResult ending = start(request);
                if (isCrashed(request.target)) {
                    unanswered();
                    return;
                }
                if (faults.startRepliesToLose > 0) {
                    --faults.startRepliesToLose;
                    unanswered();
                    return;
                }
                m_queue.after(latency, [answer = reply(request.target, ending), callback] { callback(answer); });
            }
        });
    };
    calls.stop = [this, host](const StopRequest& request, const std::function<void(const TargetReply&)>& callback) {
        m_queue.after(latency, [this, host, request, callback] {
            const auto carryOut = [this, request] { stop(request, [](const TargetReply&) {}); };
            const bool isLate = faults.lateStops > 0;
            if (isLate) {
                --faults.lateStops;
                executeLate(request.target, carryOut);
            }
            if (!isLate && arrivesInTime(host, request.target, carryOut))
                stop(request, callback);
            else
                m_queue.after(request.timeout, [callback] { callback({}); });
        });
    };
    calls.poll = [this, host](const PollRequest& request, const std::function<void(const PollReply&)>& callback) {
        m_queue.after(latency, [this, host, request, callback] {
            if (arrivesInTime(host, request.target, [this, request] { poll(request, [](const PollReply&) {}); }))
                poll(request, callback);
            else
                m_queue.after(request.wait + request.timeout, [callback] { callback({}); });
        });
    };
    return calls;
}

void EmulatedTargets::stop(const StopRequest& request, const std::function<void(const TargetReply&)>& callback)
{
    Target& target = m_targets[request.target];
    if (!acceptToken(target, request.token)) {
        m_queue.after(
            latency, [answer = reply(request.target, TargetCallResult::Fenced), callback] { callback(answer); });
        return;
    }
    std::uint32_t& highest = target.highestAttempts[request.task];
    highest = std::max(highest, request.attempt);
    const auto live = target.live.find(request.task);
    if (live != target.live.end() && live->second.attempt == request.attempt) {
        const std::uint64_t runId = live->second.runId;
        m_queue.after(stopDuration, [this, request, runId] {
            const auto still = m_targets[request.target].live.find(request.task);
            if (still != m_targets[request.target].live.end() && still->second.runId == runId)
                end(request.target, request.task, RunOutcome::Interrupted, "stopped");
        });
    }
    m_queue.after(latency, [answer = reply(request.target, TargetCallResult::Done), callback] { callback(answer); });
}

void EmulatedTargets::poll(const PollRequest& request, const std::function<void(const PollReply&)>& callback)
{
    Target& target = m_targets[request.target];
    if (!acceptToken(target, request.token)) {
        PollReply refused;
        static_cast<TargetReply&>(refused) = reply(request.target, TargetCallResult::Fenced);
        m_queue.after(latency, [refused, callback] { callback(refused); });
        return;
    }
    auto& ended = target.ended;
    ended.erase(std::remove_if(ended.begin(), ended.end(),
                    [&request](const RunCompletion& end) { return end.number <= request.acknowledgedCompletions; }),
        ended.end());
    if (request.leaseEndMs) {
        const TimePoint requestedEnd = toTimePoint(target, *request.leaseEndMs);
        target.leaseEnd = std::max(target.leaseEnd, std::min(requestedEnd, m_queue.now() + m_limits.targetLease));
    }
    auto isAnswered = std::make_shared<bool>(false);
    const auto answer = [this, request, callback, isAnswered, incarnation = target.incarnation] {
        if (*isAnswered || isCrashed(request.target) || m_targets[request.target].incarnation != incarnation)
            return;
        *isAnswered = true;
        answerPoll(request, callback);
    };
    if (request.wait.count() == 0 || !ended.empty()) {
        answer();
        return;
    }
    target.pendingPolls.push_back(answer);
    m_queue.after(request.wait, answer);
    // A target that restarts in the meantime never answers, so the call times out.
    m_queue.after(request.wait + request.timeout, [isAnswered, callback] {
        if (!*isAnswered) {
            *isAnswered = true;
            callback({});
        }
    });
}

void EmulatedTargets::answerPoll(const PollRequest& request, const std::function<void(const PollReply&)>& callback)
{
    const Target& target = m_targets[request.target];
    PollReply answer;
    static_cast<TargetReply&>(answer) = reply(request.target, TargetCallResult::Done);
    answer.incarnationMs = target.incarnation;
    for (const auto& live : target.live)
        answer.running.push_back({ live.first, live.second.attempt, "" });
    const std::size_t listed = std::min(target.ended.size(), faults.completionsPerReply);
    answer.completions.assign(target.ended.begin(), target.ended.begin() + static_cast<std::ptrdiff_t>(listed));
    answer.mayHaveMoreCompletions = listed == faults.completionsPerReply;
    if (faults.unreachableTargets.count(request.target))
        m_queue.after(request.timeout, [callback] { callback({}); });
    else
        m_queue.after(latency, [answer, callback] { callback(answer); });
}

TargetCallResult EmulatedTargets::start(const StartRequest& request)
{
    Target& target = m_targets[request.target];
    if (isCrashed(request.target))
        return TargetCallResult::Unknown;
    if (!acceptToken(target, request.token))
        return TargetCallResult::Fenced;
    const TimePoint now = m_queue.now();
    const TimePoint requestedEnd = toTimePoint(target, request.leaseEndMs);
    if (requestedEnd <= now)
        return TargetCallResult::LeaseExpired;
    target.leaseEnd = std::max(target.leaseEnd, std::min(requestedEnd, now + m_limits.targetLease));
    const auto present = target.live.find(request.task);
    if (present != target.live.end() && present->second.attempt == request.attempt)
        return TargetCallResult::Done;
    const auto highest = target.highestAttempts.find(request.task);
    if (highest != target.highestAttempts.end() && request.attempt <= highest->second)
        return TargetCallResult::StaleAttempt;
    std::int64_t duration = 0;
    Resources resources;
    bool fails = false;
    std::istringstream(request.payload) >> duration >> resources.millicores >> resources.memoryMb >> fails;
    for (const auto& other : m_targets) {
        if (other.second.live.count(request.task))
            m_violations.push_back("overlapping runs of one task: " + request.task.job.value() + "."
                + std::to_string(request.task.index) + " on " + other.first.value() + " and " + request.target.value());
    }
    Resources used = resources;
    for (const auto& live : target.live)
        used += live.second.resources;
    if (!used.fitsInto(m_reports[request.target].capacity))
        m_violations.push_back("capacity exceeded on " + request.target.value());
    auto& record = m_runs[request.task];
    record.push_back({ request.target, request.attempt, now, TimePoint::max(), "" });
    const std::uint64_t runId = ++m_lastRunId;
    target.live[request.task] = { request.attempt, resources, runId, record.size() - 1 };
    if (faults.crashingJobs.count(request.task.job)) {
        if (faults.crashAfter.count() == 0)
            crash(request.target);
        else
            m_queue.after(faults.crashAfter, [this, request, runId] {
                const auto live = m_targets[request.target].live.find(request.task);
                if (live != m_targets[request.target].live.end() && live->second.runId == runId)
                    crash(request.target);
            });
        return TargetCallResult::Done;
    }
    if (faults.hangingTargets.count(request.target))
        return TargetCallResult::Done;
    if (willFailAtOnce(request.task, request.target)) {
        fails = true;
        duration = 2;
    }
    m_queue.after(std::chrono::milliseconds(duration), [this, request, runId, fails] {
        const auto live = m_targets[request.target].live.find(request.task);
        if (live != m_targets[request.target].live.end() && live->second.runId == runId)
            end(request.target, request.task, fails ? RunOutcome::Failed : RunOutcome::Done, fails ? "failed" : "done");
    });
    return TargetCallResult::Done;
}

bool EmulatedTargets::willFailAtOnce(const TaskId& task, const TargetId& target) const
{
    if (faults.failingTargets.count(target))
        return true;
    const auto failures = faults.failuresBeforeSuccess.find(task.job);
    const auto runs = m_runs.find(task);
    if (failures == faults.failuresBeforeSuccess.end() || runs == m_runs.end())
        return false;
    const auto failed = std::count_if(
        runs->second.begin(), runs->second.end(), [](const Run& run) { return run.ending == "failed"; });
    return static_cast<std::size_t>(failed) < failures->second;
}

void EmulatedTargets::checkDraining(const TargetId& target)
{
    const auto since = m_drainingSince.find(target);
    if (since == m_drainingSince.end() || m_queue.now() - since->second <= m_limits.targetDrain)
        return;
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(m_queue.now() - since->second);
    m_violations.push_back(
        "start on " + target.value() + " " + std::to_string(elapsed.count()) + " ms after it began to drain");
}

void EmulatedTargets::checkEvacuation(const HostId& host, const TargetId& target)
{
    const auto since = m_evacuatedSince.find(m_reports.at(target).failureDomain);
    if (since == m_evacuatedSince.end() || (m_isInTouch && !m_isInTouch(host)))
        return;
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(m_queue.now() - since->second);
    if (elapsed > evacuationBound)
        m_violations.push_back("start on " + target.value() + " by " + host.value() + " "
            + std::to_string(elapsed.count()) + " ms after its failure domain was evacuated");
}

void EmulatedTargets::end(const TargetId& id, const TaskId& task, RunOutcome outcome, const char* name)
{
    Target& target = m_targets[id];
    const LiveRun live = target.live[task];
    target.live.erase(task);
    std::uint32_t& highest = target.highestAttempts[task];
    highest = std::max(highest, live.attempt);
    target.ended.push_back({ ++target.lastEndNumber, task, live.attempt, outcome, "" });
    Run& run = m_runs[task][live.runIndex];
    run.endedAt = m_queue.now();
    run.ending = name;
    std::vector<std::function<void()>> pendingPolls;
    pendingPolls.swap(target.pendingPolls);
    for (const auto& answer : pendingPolls)
        answer();
}

void EmulatedTargets::expireLeases()
{
    for (auto& entry : m_targets) {
        if (entry.second.leaseEnd > m_queue.now())
            continue;
        while (!entry.second.live.empty())
            end(entry.first, TaskId(entry.second.live.begin()->first), RunOutcome::Interrupted, "lapsed");
    }
    m_queue.after(leaseCheckInterval, [this] { expireLeases(); });
}

std::size_t EmulatedTargets::running() const
{
    std::size_t count = 0;
    for (const auto& target : m_targets)
        count += target.second.live.size();
    return count;
}

}
