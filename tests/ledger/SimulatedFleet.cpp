#include "SimulatedFleet.h"

using namespace rattanroad;
using namespace std::chrono_literals;

namespace {

constexpr Duration faultyTime = 12s;
// Longer than any retry, suspicion or view change, so that everything that can be decided is decided.
constexpr Duration healedTime = 6s;

std::size_t hostIndex(const HostId& host) { return static_cast<std::size_t>(host.value().at(0) - 'a'); }

}

std::string SimulatedFleet::text(const SubmissionId& id, std::uint32_t task)
{
    return id.segment.text() + "#" + std::to_string(id.sequence.value()) + "/" + std::to_string(task);
}

SimulatedFleet::SimulatedFleet(std::uint64_t seed, bool isTraced)
    : m_random(seed)
    , m_isTraced(isTraced)
    , m_backupCount(seed % 2 == 0 ? 2 : 1)
    , m_startedAt(m_clock.now())
{
}

SimulatedFleet::~SimulatedFleet() = default;

std::string SimulatedFleet::run()
{
    for (std::size_t host = 0; host < hostCount; ++host)
        startProcess(host);
    at(200ms, [this] { submitLoop(); });
    at(400ms, [this] { faultLoop(); });
    at(faultyTime, [this] { heal(); });
    while (!m_events.empty() && m_violations.empty() && m_clock.now() < m_startedAt + faultyTime + healedTime) {
        const auto event = m_events.begin();
        m_clock.advanceTo(event->first);
        const auto action = std::move(event->second);
        m_events.erase(event);
        action();
    }
    if (m_violations.empty())
        checkProgress();
    return m_violations;
}

Duration SimulatedFleet::milliseconds(std::uint64_t from, std::uint64_t to)
{
    return std::chrono::microseconds(from * 1000 + below((to - from) * 1000 + 1));
}

void SimulatedFleet::at(Duration delay, Action action) { m_events.emplace(m_clock.now() + delay, std::move(action)); }

void SimulatedFleet::trace(const std::string& line)
{
    if (!m_isTraced)
        return;
    const auto time = std::chrono::duration_cast<std::chrono::microseconds>(m_clock.now() - m_startedAt).count();
    m_trace += std::to_string(time) + " us: " + line + "\n";
}

void SimulatedFleet::violation(const std::string& text)
{
    trace("VIOLATION " + text);
    m_violations += text + "\n";
}

void SimulatedFleet::startProcess(std::size_t host)
{
    m_hosts[host] = std::make_unique<Process>();
    auto* process = m_hosts[host].get();
    process->host = host;
    process->incarnation = Incarnation(m_nextIncarnation++);
    process->random = std::make_unique<PcgRandomSource>(m_random.next());
    process->lastHeard.fill(m_clock.now() - 1h);
    SubmissionLedger::Settings settings;
    settings.self = hostName(host);
    settings.failureDomain = FailureDomainId("f");
    settings.incarnation = process->incarnation;
    settings.backupCount = m_backupCount;
    settings.segmentLifetime = 3s;
    settings.retention = 4s;
    settings.viewChangeRetryInterval = 300ms;
    settings.appendRetryInterval = 50ms;
    SubmissionLedger::Hooks hooks;
    hooks.sendToPeer = [this, process](const HostId& to, protocol::Envelope&& envelope) {
        const auto from = hostName(process->host);
        trace(from.value() + " to " + to.value() + ": " + (m_isTraced ? envelope.ShortDebugString() : ""));
        send(process->host, hostIndex(to), [from, message = std::move(envelope)](Process& receiver) {
            receiver.ledger->peerMessage(from, Incarnation(message.from_incarnation()), message);
        });
    };
    hooks.changeView = [this, process](const ViewChange& change) { changeView(*process, change); };
    hooks.recovered = [this, process](RecoveredSubmission&& submission) { recovered(*process, submission); };
    hooks.superseded = [this, process](const SegmentKey& key, const SegmentView&) { superseded(*process, key); };
    process->ledger = std::make_unique<SubmissionLedger>(settings, m_clock, *process->random, hooks);
    trace("start " + hostName(host).value() + " as " + std::to_string(process->incarnation.value()));
    tickLoop(*process);
}

void SimulatedFleet::inProcess(const Process& process, Duration delay, std::function<void(Process&)> action)
{
    at(delay, [this, host = process.host, incarnation = process.incarnation, action = std::move(action)] {
        auto* target = m_hosts[host].get();
        if (target && target->incarnation == incarnation)
            turn(*target, action);
    });
}

void SimulatedFleet::turn(Process& process, const std::function<void(Process&)>& action)
{
    if (process.isFrozen) {
        process.inbox.push_back([&process, action] { action(process); });
        return;
    }
    action(process);
    process.ledger->flush();
}

void SimulatedFleet::tickLoop(const Process& process)
{
    inProcess(process, milliseconds(20, 80), [this](Process& self) {
        if (isChance(40))
            pollMembers(self);
        self.ledger->tick();
        tickLoop(self);
    });
}

void SimulatedFleet::submitLoop()
{
    if (m_isHealed)
        return;
    at(milliseconds(20, 300), [this] { submitLoop(); });
    auto& minter = m_hosts[below(hostCount)];
    if (!minter || minter->isFrozen)
        return;
    for (const auto& id : minter->ledger->mintIds(1 + below(2))) {
        m_ids.push_back(id);
        inProcess(*minter, milliseconds(0, 200), [this, id](Process& process) { submit(process, id, 0); });
        for (auto copies = below(4); copies > 0; --copies) {
            at(milliseconds(0, 6000), [this, id] {
                auto& host = m_hosts[below(hostCount)];
                if (host)
                    turn(*host, [this, id](Process& process) { submit(process, id, 0); });
            });
        }
    }
}

void SimulatedFleet::submit(Process& process, const SubmissionId& id, int hops)
{
    const auto standing = process.ledger->standing(id);
    if (standing.kind == Standing::Kind::Elsewhere && hops < 3) {
        send(process.host, hostIndex(standing.host),
            [this, id, hops](Process& receiver) { submit(receiver, id, hops + 1); });
        return;
    }
    if (standing.kind != Standing::Kind::New)
        return;
    protocol::JobDescription description;
    auto& job = process.jobs[id];
    job.tasksLeft = 1 + id.sequence.value() % 3;
    job.isStarted.resize(job.tasksLeft);
    while (static_cast<std::size_t>(description.tasks_size()) < job.tasksLeft)
        description.add_tasks();
    trace(hostName(process.host).value() + " accepts " + text(id, 0));
    process.ledger->accept(id, description);
    runJob(process, id);
}

void SimulatedFleet::runJob(Process& process, const SubmissionId& id)
{
    const auto& job = process.jobs[id];
    for (std::uint32_t task = 0; task < job.isStarted.size(); ++task) {
        if (!job.isStarted[task])
            inProcess(process, milliseconds(0, isChance(50) ? 0 : 300),
                [this, id, task](Process& self) { requestStart(self, id, task, 0); });
    }
    if (isChance(30))
        inProcess(process, milliseconds(0, 300), [this, id](Process& self) { seal(self, id, false); });
}

void SimulatedFleet::requestStart(Process& process, const SubmissionId& id, std::uint32_t task, std::uint32_t previous)
{
    if (!process.jobs.count(id))
        return;
    ++process.openVerdicts;
    trace(hostName(process.host).value() + " asks to start " + text(id, task));
    const auto isReturned = std::make_shared<bool>(false);
    const auto attempt = previous + 1;
    process.ledger->requestStart(id, TaskIndex(task), AttemptNumber(attempt), TargetId("t"),
        [this, &process, id, task, attempt, isReturned](SubmissionLedger::StartVerdict verdict) {
            --process.openVerdicts;
            if (verdict == SubmissionLedger::StartVerdict::Refused) {
                trace(hostName(process.host).value() + " may not start " + text(id, task));
                return;
            }
            const auto owner = m_soleOwners.emplace(id.segment, process.incarnation).first;
            if (!*isReturned && owner->second != process.incarnation)
                violation("two processes own " + id.segment.text());
            if (*isReturned && owner->second == process.incarnation)
                m_soleOwners.erase(owner);
            permitted(process, id, task, attempt);
        });
    *isReturned = true;
}

void SimulatedFleet::permitted(Process& process, const SubmissionId& id, std::uint32_t task, std::uint32_t attempt)
{
    trace(hostName(process.host).value() + " starts " + text(id, task));
    ++m_startCount;
    if (!m_started.insert({ id, task }).second)
        violation("second start of " + text(id, task));
    if (m_notRun.count({ id, task }))
        violation("start after \"not run\" of " + text(id, task));
    auto job = process.jobs.find(id);
    if (job == process.jobs.end())
        return;
    if (job->second.isSealed)
        violation("start after the seal of " + text(id, task));
    job->second.isStarted[task] = true;
    inProcess(process, milliseconds(5, 300),
        [this, id, task, attempt](Process& self) { taskEnded(self, id, task, attempt); });
}

void SimulatedFleet::taskEnded(Process& process, const SubmissionId& id, std::uint32_t task, std::uint32_t attempt)
{
    const auto job = process.jobs.find(id);
    if (job == process.jobs.end() || job->second.isSealed)
        return;
    const bool isProvablyNotStarted = isChance(20);
    protocol::TaskOutcome outcome;
    outcome.set_succeeded(!isProvablyNotStarted);
    process.ledger->recordOutcome(id, TaskIndex(task), AttemptNumber(attempt), isProvablyNotStarted, outcome);
    if (isProvablyNotStarted) {
        m_started.erase({ id, task });
        job->second.isStarted[task] = false;
        requestStart(process, id, task, attempt);
    } else if (--job->second.tasksLeft == 0) {
        seal(process, id, true);
    }
}

void SimulatedFleet::seal(Process& process, const SubmissionId& id, bool isComplete)
{
    const auto job = process.jobs.find(id);
    if (job == process.jobs.end() || std::exchange(job->second.isSealed, true))
        return;
    std::vector<Task> notRun;
    for (std::uint32_t task = 0; task < job->second.isStarted.size(); ++task) {
        if (!job->second.isStarted[task])
            notRun.emplace_back(id, task);
    }
    ++process.openVerdicts;
    trace(hostName(process.host).value() + " asks to seal " + text(id, 0));
    process.ledger->seal(id, isComplete, Failure {}, [this, &process, id, notRun](bool isSealed) {
        --process.openVerdicts;
        trace(hostName(process.host).value() + (isSealed ? " sealed " : " could not seal ") + text(id, 0));
        for (const auto& task : notRun) {
            if (!isSealed)
                return;
            trace(hostName(process.host).value() + " answers \"not run\" for " + text(task.first, task.second));
            if (m_started.count(task))
                violation("\"not run\" answered for a started " + text(task.first, task.second));
            m_notRun.insert(task);
        }
    });
}

void SimulatedFleet::recovered(Process& process, const RecoveredSubmission& submission)
{
    ++m_takeovers;
    if (submission.isSealed)
        return;
    trace(hostName(process.host).value() + " recovers " + text(submission.id, 0));
    auto& job = process.jobs[submission.id];
    for (std::uint32_t task = 0; task < submission.tasks.size(); ++task) {
        const auto& state = submission.tasks[task];
        const bool isStartable = state.state == RecoveredTask::State::NotStarted;
        job.isStarted.push_back(!isStartable);
        job.tasksLeft += isStartable ? 1 : 0;
        // The ledger itself refuses a task that may have run, whatever the engine asks for.
        if (!isChance(20))
            requestStart(process, submission.id, task, state.attempts.value());
    }
    if (isChance(30))
        seal(process, submission.id, false);
}

void SimulatedFleet::superseded(Process& process, const SegmentKey& segment)
{
    for (auto job = process.jobs.begin(); job != process.jobs.end();)
        job = job->first.segment == segment ? process.jobs.erase(job) : std::next(job);
}
