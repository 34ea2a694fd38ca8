#include "fakes/Fleet.h"

namespace rattanroad {

namespace {
    constexpr Duration watchInterval = std::chrono::milliseconds(200);
    constexpr Duration watchLatency = std::chrono::milliseconds(4);
    // "A lagging list of live and leaving hosts" (section 1.4 of the design page).
    constexpr Duration platformListLag = std::chrono::milliseconds(500);
    constexpr int watchersPerDomain = 2;
    const FailureDomainId storeDomain("store");
}

Fleet::Fleet(FleetSettings settings, EventQueue& queue, std::uint64_t seed, History* history)
    : m_settings(std::move(settings))
    , m_queue(queue)
    , m_random(seed)
    , m_history(history)
    , m_network(queue, m_random, m_settings.latencies)
    , m_targets(queue, m_settings.targets, targetHooks())
    , m_store(queue, m_random)
    , m_startNumbers(m_settings.hosts.size())
{
    for (std::size_t index = 0; index < m_settings.targets.size(); index++)
        m_targetNumbers[m_settings.targets[index].id.value()] = index;
    m_store.accepted = [this](const ConfigurationValue& value) {
        HistoryEvent event;
        event.kind = HistoryEvent::Kind::RevisionAccepted;
        event.revision = value.revision.value();
        record(std::move(event));
    };
}

Fleet::~Fleet() = default;

HostProcess::Environment Fleet::environment()
{
    return { m_queue, m_network, m_targets, m_store, m_settings, m_targetNumbers, m_history };
}

FakeTargets::Hooks Fleet::targetHooks()
{
    if (!m_history)
        return {};
    const auto event = [](HistoryEvent::Kind kind, const TargetId& target, const FakeTargets::Request& request) {
        HistoryEvent event;
        event.kind = kind;
        event.target = target.value();
        event.submission = request.submission;
        event.task = request.task;
        return event;
    };
    FakeTargets::Hooks hooks;
    hooks.started = [this, event](const TargetId& target, const FakeTargets::Request& request) {
        record(event(HistoryEvent::Kind::Started, target, request));
    };
    hooks.ended = [this, event](const TargetId& target, const FakeTargets::Request& request,
                      const FakeTargets::Outcome& outcome) {
        HistoryEvent ended = event(HistoryEvent::Kind::Ended, target, request);
        ended.isSuccess = outcome.use == SlotUse::Succeeded;
        ended.result = outcome.result;
        record(std::move(ended));
    };
    return hooks;
}

void Fleet::start()
{
    for (std::size_t host = 0; host < m_settings.hosts.size(); host++)
        m_hosts.push_back(HostProcess::start(environment(), host, ++m_startNumbers[host], m_random.next()));
    writeConfiguration("setup");
    m_queue.after(2 * watchLatency, [this] { watch(); });
}

void Fleet::call(std::size_t host, std::function<void(EntryHost&, AnswerCallback)> request, CallDone done)
{
    // The process is looked up on arrival: the request reaches whichever process listens then.
    m_queue.after(m_settings.latencies.caller,
        [this, host, request = std::move(request), done = std::move(done)] { m_hosts[host]->call(request, done); });
}

void Fleet::submit(std::size_t host, JobRequest request, CallDone done)
{
    call(
        host,
        [request = std::move(request)](
            EntryHost& engine, AnswerCallback answer) { engine.submit(request, std::move(answer)); },
        std::move(done));
}

void Fleet::cancel(std::size_t host, const SubmissionId& id, CallDone done)
{
    call(
        host, [id](EntryHost& engine, AnswerCallback answer) { engine.cancel(id, std::move(answer)); },
        std::move(done));
}

std::vector<SubmissionId> Fleet::mintIds(std::size_t host, std::size_t count)
{
    std::vector<SubmissionId> ids;
    HostProcess& process = *m_hosts[host];
    if (process.isAlive() && !process.isFrozen() && !process.engine().isDraining())
        process.input([&](EntryHost& engine) { ids = engine.mintIds(count); });
    return ids;
}

void Fleet::kill(std::size_t host) { m_hosts[host]->end(false); }

void Fleet::restart(std::size_t host)
{
    if (m_hosts[host]->isAlive())
        return;
    m_hosts[host] = HostProcess::start(environment(), host, ++m_startNumbers[host], m_random.next());
    m_hosts[host]->input([this](EntryHost& engine) { engine.setLeavingTargets(m_leaving); });
    if (!m_isolated.count(m_settings.hosts[host].failureDomain))
        return;
    HistoryEvent event;
    event.kind = HistoryEvent::Kind::HostUnreachable;
    event.host = m_hosts[host]->name();
    record(std::move(event));
}

void Fleet::setFrozen(std::size_t host, bool isFrozen) { m_hosts[host]->setFrozen(isFrozen); }

void Fleet::drain(std::size_t host)
{
    HostProcess& process = *m_hosts[host];
    if (!process.isAlive())
        return;
    HistoryEvent event;
    event.kind = HistoryEvent::Kind::ShutdownRequested;
    event.host = process.name();
    record(std::move(event));
    process.input([](EntryHost& engine) { engine.beginDrain(); });
}

void Fleet::cut(const FailureDomainId& from, const FailureDomainId& to, bool isOneWay)
{
    m_network.cut(from, to);
    if (!isOneWay)
        m_network.cut(to, from);
    // A cut domain may be unable to learn of configurations, whichever way it is cut.
    for (const FailureDomainId& domain : { from, to })
        recordIsolation(domain, false);
}

void Fleet::healCuts()
{
    m_network.healAll();
    const std::set<FailureDomainId> isolated = std::move(m_isolated);
    m_isolated.clear();
    for (const FailureDomainId& domain : isolated)
        recordIsolation(domain, true);
}

void Fleet::recordIsolation(const FailureDomainId& domain, bool isReachable)
{
    if (!isReachable && !m_isolated.insert(domain).second)
        return;
    for (const std::shared_ptr<HostProcess>& process : m_hosts) {
        if (process->place().failureDomain != domain || !process->isAlive())
            continue;
        HistoryEvent event;
        event.kind = isReachable ? HistoryEvent::Kind::HostReachable : HistoryEvent::Kind::HostUnreachable;
        event.host = process->name();
        record(std::move(event));
    }
}

void Fleet::setLeaving(std::size_t target, bool isLeaving)
{
    const TargetId id = m_settings.targets[target].id;
    if (isLeaving)
        m_leaving.insert(id);
    else
        m_leaving.erase(id);
    HistoryEvent event;
    event.kind = isLeaving ? HistoryEvent::Kind::TargetLeaving : HistoryEvent::Kind::TargetActive;
    event.target = id.value();
    record(std::move(event));
    m_queue.after(platformListLag, [this] {
        for (const std::shared_ptr<HostProcess>& process : m_hosts)
            process->input([leaving = m_leaving](EntryHost& engine) { engine.setLeavingTargets(leaving); });
    });
}

void Fleet::writeConfiguration(const std::string& author)
{
    const std::optional<ConfigurationValue> read = m_store.readConfiguration();
    ConfigurationValue value;
    value.revision = Revision(read ? read->revision.value() + 1 : 1);
    value.changeId = ChangeId(author + "-" + std::to_string(m_nextChange++));
    value.author = author;
    value.time = "2026-01-01T00:00:00Z";
    value.inventory = m_settings.inventory({});
    m_store.writeConfiguration(value, [](FakeStore::WriteResult) {});
}

// Two hosts of each domain hold a watch on the configuration; the others pull it from their peers.
void Fleet::watch()
{
    const std::optional<ConfigurationValue> value = m_store.readConfiguration();
    std::map<FailureDomainId, int> watchers;
    for (const std::shared_ptr<HostProcess>& process : m_hosts) {
        const FailureDomainId& domain = process->place().failureDomain;
        if (!value || !process->isAlive() || process->isFrozen() || ++watchers[domain] > watchersPerDomain)
            continue;
        if (!m_network.isCut(domain, storeDomain) && !m_network.isCut(storeDomain, domain))
            offerTo(*process, *value);
    }
    m_queue.after(watchInterval, [this] { watch(); });
}

void Fleet::offerTo(HostProcess& process, const ConfigurationValue& value)
{
    if (process.offered == value.revision)
        return;
    process.offered = value.revision;
    m_queue.after(watchLatency, [weak = process.weak_from_this(), value] {
        if (const auto alive = weak.lock())
            alive->input([value](EntryHost& engine) { engine.offerConfiguration(value); });
    });
}

void Fleet::record(HistoryEvent event)
{
    if (!m_history)
        return;
    event.timeUs = std::chrono::duration_cast<std::chrono::microseconds>(m_queue.now().time_since_epoch()).count();
    m_history->add(std::move(event));
}

}
