#include "emulator/EmulatedTargets.h"

#include <algorithm>
#include <sstream>

namespace rattanroad::emulator {

using namespace shards;
using namespace std::chrono_literals;

namespace {
    constexpr auto latency = 1ms;
    constexpr auto longestLease = 1000ms;
    constexpr auto stopTime = 40ms;
    constexpr auto leaseCheckInterval = 10ms;
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
    m_targets[report.id].life = 1;
}

void EmulatedTargets::restart(const TargetId& id)
{
    Target& target = m_targets[id];
    for (const auto& live : target.live)
        m_record[live.first][live.second.recordIndex].endedAt = m_queue.now();
    const std::uint64_t life = target.life + 1;
    target = Target();
    target.life = life;
    target.bornAt = m_queue.now();
    m_reports[id].bornMs = life;
}

std::uint64_t EmulatedTargets::clockMs(const Target& target) const
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(m_queue.now() - target.bornAt).count());
}

TimePoint EmulatedTargets::momentOf(const Target& target, std::uint64_t clockMs)
{
    return target.bornAt + std::chrono::milliseconds(clockMs);
}

bool EmulatedTargets::isReachable(const HostId& host, const TargetId& target) const
{
    return !faults.unreachable.count(target) && !faults.disconnectedPairs.count({ host, target });
}

TargetReply EmulatedTargets::reply(const TargetId& target, TargetEnding ending) const
{
    TargetReply reply;
    reply.ending = ending;
    reply.clockMs = clockMs(m_targets.at(target));
    reply.bornMs = m_targets.at(target).life;
    return reply;
}

bool EmulatedTargets::takeToken(Target& target, FencingToken token)
{
    if (token.value() < target.token)
        return false;
    target.token = token.value();
    return true;
}

bool EmulatedTargets::arrivesInTime(const HostId& host, const TargetId& target, std::function<void()> carryOut)
{
    if (!isReachable(host, target))
        return false;
    if (faults.delayEvery == 0 || ++m_orders % faults.delayEvery != 0)
        return true;
    m_queue.after(faults.lateBy, std::move(carryOut));
    return false;
}

TargetCalls EmulatedTargets::callsFrom(const HostId& host)
{
    TargetCalls calls;
    calls.start = [this, host](const StartOrder& order, const std::function<void(const TargetReply&)>& callback) {
        m_queue.after(latency, [this, host, order, callback] {
            const auto unanswered
                = [this, order, callback] { m_queue.after(order.timeout, [callback] { callback({}); }); };
            if (!arrivesInTime(host, order.target, [this, order] { start(order); })) {
                unanswered();
            } else if (faults.doRepeatsFailToConnect && m_lateStarts.count({ order.task, order.attempt })) {
                TargetReply notSent;
                notSent.ending = TargetEnding::NotSent;
                callback(notSent);
            } else if (faults.lateStarts > 0) {
                --faults.lateStarts;
                m_lateStarts.insert({ order.task, order.attempt });
                m_queue.after(faults.lateBy, [this, order] { start(order); });
                unanswered();
            } else {
                const TargetEnding ending = start(order);
                if (faults.startRepliesToLose > 0) {
                    --faults.startRepliesToLose;
                    unanswered();
                    return;
                }
                m_queue.after(latency, [answer = reply(order.target, ending), callback] { callback(answer); });
            }
        });
    };
    calls.stop = [this, host](const StopOrder& order, const std::function<void(const TargetReply&)>& callback) {
        m_queue.after(latency, [this, host, order, callback] {
            const auto carryOut = [this, order] { stop(order, [](const TargetReply&) {}); };
            const bool isLate = faults.lateStops > 0;
            if (isLate) {
                --faults.lateStops;
                m_queue.after(faults.lateBy, carryOut);
            }
            if (!isLate && arrivesInTime(host, order.target, carryOut))
                stop(order, callback);
            else
                m_queue.after(order.timeout, [callback] { callback({}); });
        });
    };
    calls.hold = [this, host](const HoldOrder& order, const std::function<void(const HoldReply&)>& callback) {
        m_queue.after(latency, [this, host, order, callback] {
            if (arrivesInTime(host, order.target, [this, order] { hold(order, [](const HoldReply&) {}); }))
                hold(order, callback);
            else
                m_queue.after(order.wait + order.timeout, [callback] { callback({}); });
        });
    };
    return calls;
}

void EmulatedTargets::stop(const StopOrder& order, const std::function<void(const TargetReply&)>& callback)
{
    Target& target = m_targets[order.target];
    if (!takeToken(target, order.token)) {
        m_queue.after(latency, [answer = reply(order.target, TargetEnding::Fenced), callback] { callback(answer); });
        return;
    }
    std::uint32_t& highest = target.highest[order.task];
    highest = std::max(highest, order.attempt);
    const auto live = target.live.find(order.task);
    if (live != target.live.end() && live->second.attempt == order.attempt) {
        const std::uint64_t serial = live->second.serial;
        m_queue.after(stopTime, [this, order, serial] {
            const auto still = m_targets[order.target].live.find(order.task);
            if (still != m_targets[order.target].live.end() && still->second.serial == serial)
                end(order.target, order.task, RunOutcome::Interrupted, "stopped");
        });
    }
    m_queue.after(latency, [answer = reply(order.target, TargetEnding::Done), callback] { callback(answer); });
}

void EmulatedTargets::hold(const HoldOrder& order, const std::function<void(const HoldReply&)>& callback)
{
    Target& target = m_targets[order.target];
    if (!takeToken(target, order.token)) {
        HoldReply refused;
        static_cast<TargetReply&>(refused) = reply(order.target, TargetEnding::Fenced);
        m_queue.after(latency, [refused, callback] { callback(refused); });
        return;
    }
    auto& ended = target.ended;
    ended.erase(std::remove_if(ended.begin(), ended.end(),
                    [&order](const EndedTask& end) { return end.number <= order.acknowledgedEnds; }),
        ended.end());
    if (order.leaseEndMs) {
        const TimePoint wanted = momentOf(target, *order.leaseEndMs);
        target.leaseEnd = std::max(target.leaseEnd, std::min(wanted, m_queue.now() + longestLease));
    }
    auto isAnswered = std::make_shared<bool>(false);
    const auto answer = [this, order, callback, isAnswered, life = target.life] {
        if (*isAnswered || m_targets[order.target].life != life)
            return;
        *isAnswered = true;
        answerHold(order, callback);
    };
    if (order.wait.count() == 0 || !ended.empty()) {
        answer();
        return;
    }
    target.waiting.push_back(answer);
    m_queue.after(order.wait, answer);
    // A target that restarts meanwhile never answers.
    m_queue.after(order.wait + order.timeout, [isAnswered, callback] {
        if (!*isAnswered) {
            *isAnswered = true;
            callback({});
        }
    });
}

void EmulatedTargets::answerHold(const HoldOrder& order, const std::function<void(const HoldReply&)>& callback)
{
    const Target& target = m_targets[order.target];
    HoldReply answer;
    static_cast<TargetReply&>(answer) = reply(order.target, TargetEnding::Done);
    for (const auto& live : target.live)
        answer.running.push_back({ live.first, live.second.attempt, "" });
    answer.ended = target.ended;
    if (faults.unreachable.count(order.target))
        m_queue.after(order.timeout, [callback] { callback({}); });
    else
        m_queue.after(latency, [answer, callback] { callback(answer); });
}

TargetEnding EmulatedTargets::start(const StartOrder& order)
{
    Target& target = m_targets[order.target];
    if (!takeToken(target, order.token))
        return TargetEnding::Fenced;
    const TimePoint now = m_queue.now();
    const TimePoint wanted = momentOf(target, order.leaseEndMs);
    if (wanted <= now)
        return TargetEnding::TooLate;
    target.leaseEnd = std::max(target.leaseEnd, std::min(wanted, now + longestLease));
    const auto present = target.live.find(order.task);
    if (present != target.live.end() && present->second.attempt == order.attempt)
        return TargetEnding::Done;
    const auto highest = target.highest.find(order.task);
    if (highest != target.highest.end() && order.attempt <= highest->second)
        return TargetEnding::Outdated;
    std::int64_t duration = 0;
    Resources resources;
    bool fails = false;
    std::istringstream(order.payload) >> duration >> resources.millicores >> resources.memoryMb >> fails;
    for (const auto& other : m_targets) {
        if (other.second.live.count(order.task))
            m_violations.push_back("two runs at the same time: " + order.task.job.value() + "."
                + std::to_string(order.task.index) + " on " + other.first.value() + " and " + order.target.value());
    }
    Resources used = resources;
    for (const auto& live : target.live)
        used += live.second.resources;
    if (!used.fitsInto(m_reports[order.target].capacity))
        m_violations.push_back("more than its room on " + order.target.value());
    auto& record = m_record[order.task];
    record.push_back({ order.target, order.attempt, now, TimePoint::max(), "" });
    const std::uint64_t serial = ++m_lastSerial;
    target.live[order.task] = { order.attempt, resources, serial, record.size() - 1 };
    if (faults.hangingTargets.count(order.target))
        return TargetEnding::Done;
    if (faults.failingTargets.count(order.target)) {
        fails = true;
        duration = 2;
    }
    m_queue.after(std::chrono::milliseconds(duration), [this, order, serial, fails] {
        const auto live = m_targets[order.target].live.find(order.task);
        if (live != m_targets[order.target].live.end() && live->second.serial == serial)
            end(order.target, order.task, fails ? RunOutcome::Failed : RunOutcome::Done, fails ? "failed" : "done");
    });
    return TargetEnding::Done;
}

void EmulatedTargets::end(const TargetId& id, const TaskId& task, RunOutcome how, const char* name)
{
    Target& target = m_targets[id];
    const Live live = target.live[task];
    target.live.erase(task);
    std::uint32_t& highest = target.highest[task];
    highest = std::max(highest, live.attempt);
    target.ended.push_back({ ++target.lastEnd, task, live.attempt, how, "" });
    Run& run = m_record[task][live.recordIndex];
    run.endedAt = m_queue.now();
    run.ending = name;
    std::vector<std::function<void()>> waiting;
    waiting.swap(target.waiting);
    for (const auto& answer : waiting)
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
