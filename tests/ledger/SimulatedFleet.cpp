#include "SimulatedFleet.h"

using namespace rattanroad;
using namespace std::chrono_literals;

namespace {

constexpr Duration faultyTime = 12s;
// Longer than any retry, suspicion or view change, so that everything that can be decided is decided.
constexpr Duration healedTime = 6s;
constexpr Duration suspicionTime = 800ms;

HostId hostName(std::size_t index) { return HostId(std::string(1, static_cast<char>('a' + index))); }
std::size_t hostIndex(const HostId& host) { return static_cast<std::size_t>(host.value().at(0) - 'a'); }

std::string text(const SubmissionId& id, std::uint32_t task)
{
    return id.segment.text() + "#" + std::to_string(id.sequence.value()) + "/" + std::to_string(task);
}

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

void SimulatedFleet::send(std::size_t from, std::size_t to, const std::function<void(Process&)>& deliver)
{
    if (!m_isHealed && isChance(4))
        return;
    const int copies = !m_isHealed && isChance(4) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        // The copy of a repeated message is often late, as it is the sender's retry or a queue that drains.
        const bool isLate = !m_isHealed && isChance(copy > 0 ? 50 : 3);
        const auto delay = isLate ? milliseconds(10, 2000) : milliseconds(1, 4);
        at(delay, [this, from, to, deliver] {
            // As with a queueing transport, whoever runs at the address now gets the message.
            if (!m_isCut[from][to] && m_hosts[to])
                turn(*m_hosts[to], deliver);
        });
    }
}

void SimulatedFleet::pollMembers(Process& process)
{
    std::vector<std::pair<HostId, Incarnation>> live;
    for (std::size_t step = 1; step < hostCount; ++step) {
        const auto peer = (process.host + step) % hostCount;
        const auto* target = m_hosts[peer].get();
        const bool isHeard = target && !target->isFrozen && !m_isCut[peer][process.host];
        if (isHeard && (m_isHealed || !isChance(2))) {
            process.lastHeard[peer] = m_clock.now();
            process.heardIncarnation[peer] = target->incarnation;
        }
        if (m_clock.now() - process.lastHeard[peer] < suspicionTime)
            live.emplace_back(hostName(peer), process.heardIncarnation[peer]);
    }
    if (!m_isHealed && isChance(1))
        live.clear();
    process.ledger->setLivePeers(live);
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

void SimulatedFleet::changeView(Process& process, const ViewChange& change)
{
    const auto answer = [this, &process](Duration delay, const ViewChangeResult& result) {
        inProcess(process, delay, [result](Process& self) { self.ledger->viewChangeResult(result); });
    };
    const ViewChangeResult unavailable { change.segment, ViewChangeResult::Kind::Unavailable, {} };
    if (m_store == StoreState::Down || m_isCutFromStore[process.host]) {
        answer(100ms, unavailable);
        return;
    }
    const auto delay = m_store == StoreState::Slow ? milliseconds(100, 2000) : milliseconds(1, 10);
    const auto fault = m_isHealed ? 100 : below(100);
    if (fault < 15) { // the answer is lost, and the write may take effect later than the caller gives up
        at(delay, [this, change] { executeAtStore(change); });
        answer(isChance(50) ? 20ms : 300ms, unavailable);
        return;
    }
    at(delay, [this, change, host = process.host, incarnation = process.incarnation] {
        const auto result = executeAtStore(change);
        auto* target = m_hosts[host].get();
        if (target && target->incarnation == incarnation)
            inProcess(*target, milliseconds(1, 10), [result](Process& self) { self.ledger->viewChangeResult(result); });
    });
}

ViewChangeResult SimulatedFleet::executeAtStore(const ViewChange& change)
{
    auto& view = m_views[change.segment];
    const bool isWon = view.epoch == change.expectedEpoch;
    if (isWon)
        view = change.next;
    trace("store: " + change.segment.text() + " epoch " + std::to_string(change.next.epoch.value()) + " for "
        + change.next.owner.value() + (isWon ? " won" : " lost"));
    return { change.segment, isWon ? ViewChangeResult::Kind::Won : ViewChangeResult::Kind::Lost, view };
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

void SimulatedFleet::faultLoop()
{
    if (m_isHealed)
        return;
    injectFault();
    at(milliseconds(50, 600), [this] { faultLoop(); });
}

void SimulatedFleet::injectFault()
{
    const auto host = below(hostCount);
    const auto kind = below(10);
    if (kind == 0 || kind == 1) {
        kill(host);
    } else if (kind <= 4 && m_hosts[host]) {
        freeze(*m_hosts[host]);
    } else if (kind <= 7) {
        cutLinks(host);
    } else if (kind == 8) {
        m_store = static_cast<StoreState>(below(3));
        trace("store state " + std::to_string(static_cast<int>(m_store)));
    } else if (m_hosts[host] && !m_hosts[host]->isFrozen) {
        auto& process = *m_hosts[host];
        for (const auto& job : process.jobs) {
            if (!job.second.isSealed)
                return;
        }
        trace("release " + hostName(host).value());
        turn(process, [](Process& self) { self.ledger->releaseAll(); });
    }
}

void SimulatedFleet::kill(std::size_t host)
{
    trace("kill " + hostName(host).value());
    m_hosts[host].reset();
    // Failures come together: often another host stops soon after this one is back.
    const auto downtime = isChance(40) ? milliseconds(5, 100) : milliseconds(100, 3000);
    if (isChance(40)) {
        at(downtime + milliseconds(10, 400), [this] {
            auto& other = m_hosts[below(hostCount)];
            if (other && !other->isFrozen && !m_isHealed)
                freeze(*other);
        });
    }
    at(downtime, [this, host] {
        if (!m_hosts[host])
            startProcess(host);
    });
}

void SimulatedFleet::freeze(Process& process)
{
    trace("freeze " + hostName(process.host).value());
    process.isFrozen = true;
    at(milliseconds(100, 4000), [this, host = process.host, incarnation = process.incarnation] {
        if (m_hosts[host] && m_hosts[host]->incarnation == incarnation)
            thaw(*m_hosts[host]);
    });
}

void SimulatedFleet::thaw(Process& process)
{
    trace("thaw " + hostName(process.host).value());
    process.isFrozen = false;
    for (auto inbox = std::exchange(process.inbox, {}); !inbox.empty(); inbox.pop_front())
        inbox.front()();
    process.ledger->flush();
}

void SimulatedFleet::cutLinks(std::size_t host)
{
    const auto kind = below(4);
    const auto other = below(hostCount);
    trace("cut " + hostName(host).value() + " kind " + std::to_string(kind) + " " + hostName(other).value());
    for (std::size_t peer = 0; peer < hostCount; ++peer) {
        if (kind == 3 || peer == other) {
            m_isCut[host][peer] = true;
            m_isCut[peer][host] = m_isCut[peer][host] || kind >= 1;
        }
    }
    m_isCutFromStore[host] = kind == 3 && isChance(50);
    at(milliseconds(100, 4000), [this, host] {
        for (std::size_t peer = 0; peer < hostCount; ++peer)
            m_isCut[host][peer] = m_isCut[peer][host] = false;
        m_isCutFromStore[host] = false;
    });
}

void SimulatedFleet::heal()
{
    trace("heal");
    m_isHealed = true;
    m_store = StoreState::Up;
    m_isCut = {};
    m_isCutFromStore = {};
    for (std::size_t host = 0; host < hostCount; ++host) {
        if (!m_hosts[host])
            startProcess(host);
        else if (m_hosts[host]->isFrozen)
            thaw(*m_hosts[host]);
    }
}

void SimulatedFleet::checkProgress()
{
    for (const auto& process : m_hosts) {
        if (process->openVerdicts > 0)
            violation(hostName(process->host).value() + " has decisions that never ended");
        for (const auto& id : m_ids) {
            if (process->ledger->standing(id).kind == Standing::Kind::Pending)
                violation(text(id, 0) + " stays pending at " + hostName(process->host).value());
        }
    }
}
