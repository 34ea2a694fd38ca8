#include "fakes/HostProcess.h"

#include <algorithm>

namespace rattanroad {

namespace {
    // The daemon's exit takes a moment; the load balancer has seen the failing readiness check by then.
    constexpr Duration exitDelay = std::chrono::milliseconds(100);
    constexpr const char* storeDomain = "store";
}

std::shared_ptr<HostProcess> HostProcess::start(
    const Environment& environment, std::size_t host, std::uint32_t startNumber, std::uint64_t seed)
{
    std::shared_ptr<HostProcess> process(new HostProcess(environment, host, startNumber, seed));
    process->begin();
    return process;
}

HostProcess::HostProcess(
    const Environment& environment, std::size_t host, std::uint32_t startNumber, std::uint64_t seed)
    : m_environment(environment)
    , m_host(host)
    , m_name(environment.settings.hostId(host).value() + "#" + std::to_string(startNumber))
    , m_random(seed)
{
    m_incarnation = Incarnation(m_random.next());
}

void HostProcess::begin()
{
    const FleetSettings& settings = m_environment.settings;
    const std::weak_ptr<HostProcess> weak = weak_from_this();
    m_connections
        = std::make_shared<TaskConnections>(TaskConnections::Environment { m_environment.queue, m_environment.network,
                                                m_environment.targets, m_environment.targetNumbers },
            place(), settings.areRejectionsProof, [weak](TaskResult result) {
                if (const auto self = weak.lock())
                    self->input([result = std::move(result)](EntryHost& engine) { engine.taskResult(result); });
            });
    m_engine = std::make_unique<EntryHost>(
        settings.engineSettings(m_host, m_incarnation), m_environment.queue.clock(), m_random, hooks());
    m_environment.network.attach(settings.hostAddress(m_host), place(), [weak](const protocol::Envelope& envelope) {
        const auto self = weak.lock();
        if (!self || !self->m_engine)
            return;
        if (self->m_isFrozen)
            self->m_inbox.emplace_back([envelope](EntryHost& engine) { engine.peerMessage(envelope); });
        else
            self->m_engine->peerMessage(envelope);
        self->scheduleTurn();
    });
    record(HistoryEvent::Kind::ProcessStarted);
    scheduleTurn();
}

EntryHostHooks HostProcess::hooks()
{
    // The engine is destroyed before this object, so its hooks may hold a plain pointer.
    EntryHostHooks hooks;
    hooks.sendToPeer = [this](const std::string& address, protocol::Envelope&& envelope) {
        m_environment.network.send(m_environment.settings.hostAddress(m_host), address, std::move(envelope));
    };
    hooks.startTask = [this](const TaskStart& start) { m_connections->start(start); };
    hooks.cancelTask = [this](const TaskKey& key) { m_connections->cancel(key); };
    hooks.changeView = [this](const ViewChange& change) { changeView(change); };
    hooks.registerKeyHome = [this] { registerKeyHome(); };
    hooks.revisionSeen = [this](const HostId& from, Revision revision) { pullConfiguration(from, revision); };
    hooks.configurationMessage
        = [this](const Member& from, const protocol::Envelope& envelope) { configurationMessage(from, envelope); };
    return hooks;
}

void HostProcess::changeView(const ViewChange& change)
{
    const std::weak_ptr<HostProcess> weak = weak_from_this();
    const FailureDomainId store(storeDomain);
    const auto deliver = [weak](const ViewChangeResult& result) {
        if (const auto self = weak.lock())
            self->input([result](EntryHost& engine) { engine.viewChangeResult(result); });
    };
    const ViewChangeResult unavailable { change.segment, ViewChangeResult::Kind::Unavailable, {} };
    if (m_environment.network.isCut(place().failureDomain, store)) {
        m_environment.queue.after(std::chrono::seconds(1), [deliver, unavailable] { deliver(unavailable); });
        return;
    }
    m_environment.store.changeView(change, [this, weak, deliver, unavailable, store](const ViewChangeResult& result) {
        const auto self = weak.lock();
        if (!self)
            return;
        if (!m_environment.network.isCut(store, place().failureDomain))
            return deliver(result);
        m_environment.queue.after(std::chrono::seconds(1), [deliver, unavailable] { deliver(unavailable); });
    });
}

void HostProcess::registerKeyHome()
{
    if (m_environment.network.isCut(place().failureDomain, FailureDomainId(storeDomain)))
        return;
    m_environment.store.registerKeyHome(m_environment.settings.hostId(m_host), m_incarnation,
        [weak = weak_from_this()](std::optional<bool> hadPredecessor) {
            const auto self = weak.lock();
            if (self && hadPredecessor)
                self->input([had = *hadPredecessor](EntryHost& engine) { engine.keyHomeRegistered(had); });
        });
}

void HostProcess::pullConfiguration(const HostId& from, Revision revision)
{
    const Revision own = m_engine->configuration().revision();
    if (revision <= own)
        return;
    protocol::Envelope envelope;
    envelope.mutable_configuration_pull()->set_known_revision(own.value());
    m_engine->sendToHost(from, std::move(envelope));
}

void HostProcess::configurationMessage(const Member& from, const protocol::Envelope& envelope)
{
    const ConfigurationValue* const own = m_engine->configuration().current();
    if (envelope.has_configuration_pull()) {
        if (!own || own->revision.value() <= envelope.configuration_pull().known_revision())
            return;
        protocol::Envelope reply;
        reply.mutable_configuration_push()->set_revision(own->revision.value());
        reply.mutable_configuration_push()->set_value(own->json());
        m_engine->sendToHost(from.host, std::move(reply));
        return;
    }
    if (own && envelope.configuration_push().revision() <= own->revision.value())
        return;
    if (Result<ConfigurationValue> value = ConfigurationValue::parse(envelope.configuration_push().value()))
        m_engine->offerConfiguration(std::move(*value));
}

void HostProcess::input(Input input)
{
    if (!m_engine)
        return;
    if (m_isFrozen) {
        m_inbox.push_back(std::move(input));
        return;
    }
    input(*m_engine);
    scheduleTurn();
}

void HostProcess::call(const std::function<void(EntryHost&, AnswerCallback)>& request, CallDone done)
{
    const Duration latency = m_environment.settings.latencies.caller;
    auto call = std::make_shared<Call>(Call { std::move(done) });
    if (!m_engine) {
        m_environment.queue.after(latency, [call] { call->done(nullptr); });
        return;
    }
    m_calls.insert(call);
    const std::weak_ptr<HostProcess> weak = weak_from_this();
    const AnswerCallback answer = [weak, call, latency](const JobAnswer& answer) {
        const auto self = weak.lock();
        if (!self)
            return;
        self->m_calls.erase(call);
        self->m_environment.queue.after(latency, [call, answer] { call->done(&answer); });
    };
    input([request, answer](EntryHost& engine) { request(engine, answer); });
}

void HostProcess::setFrozen(bool isFrozen)
{
    if (!m_engine || m_isFrozen == isFrozen)
        return;
    m_isFrozen = isFrozen;
    record(isFrozen ? HistoryEvent::Kind::HostUnreachable : HistoryEvent::Kind::HostReachable);
    if (isFrozen)
        return;
    const std::vector<Input> inbox = std::move(m_inbox);
    m_inbox.clear();
    for (const Input& input : inbox)
        input(*m_engine);
    m_tickAt = TimePoint::max();
    scheduleTurn();
}

void HostProcess::end(bool isGraceful)
{
    if (!m_engine)
        return;
    record(HistoryEvent::Kind::ProcessEnded, 0, isGraceful);
    m_environment.network.detach(m_environment.settings.hostAddress(m_host));
    m_connections->closeAll();
    m_engine.reset();
    m_inbox.clear();
    const std::set<std::shared_ptr<Call>> calls = std::move(m_calls);
    m_calls.clear();
    for (const std::shared_ptr<Call>& call : calls)
        m_environment.queue.after(m_environment.settings.latencies.caller, [call] { call->done(nullptr); });
}

void HostProcess::scheduleTurn()
{
    if (m_isTurnScheduled)
        return;
    m_isTurnScheduled = true;
    m_environment.queue.after(m_environment.settings.loopTurn, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->turn();
    });
}

void HostProcess::turn()
{
    m_isTurnScheduled = false;
    if (!m_engine || m_isFrozen)
        return;
    m_engine->flush();
    observe();
    scheduleTick();
}

void HostProcess::scheduleTick()
{
    const TimePoint earliest = m_environment.queue.now() + m_environment.settings.loopTurn;
    const TimePoint wanted = m_engine->nextWakeup();
    if (wanted == TimePoint::max() || std::max(wanted, earliest) >= m_tickAt)
        return;
    m_tickAt = std::max(wanted, earliest);
    m_environment.queue.at(m_tickAt, [weak = weak_from_this(), time = m_tickAt] {
        if (const auto self = weak.lock())
            self->tick(time);
    });
}

void HostProcess::tick(TimePoint scheduledFor)
{
    // An earlier wakeup was scheduled meanwhile and has replaced this one.
    if (!m_engine || m_isFrozen || scheduledFor != m_tickAt)
        return;
    m_tickAt = TimePoint::max();
    m_engine->tick();
    m_engine->flush();
    observe();
    scheduleTick();
}

void HostProcess::observe()
{
    const Revision revision = m_engine->configuration().revision();
    if (revision != m_seenRevision) {
        m_seenRevision = revision;
        record(HistoryEvent::Kind::RevisionSeen, revision.value());
    }
    if (!m_engine->isDrained() || m_isEnding)
        return;
    m_isEnding = true;
    m_environment.queue.after(exitDelay, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self || !self->m_engine)
            return;
        self->m_isEnding = false;
        // Something may have arrived since the engine said that it was drained.
        if (!self->m_isFrozen && self->m_engine->isDrained())
            self->end(true);
    });
}

void HostProcess::record(HistoryEvent::Kind kind, std::uint64_t revision, bool isSuccess)
{
    if (!m_environment.history)
        return;
    HistoryEvent event;
    event.kind = kind;
    event.timeUs
        = std::chrono::duration_cast<std::chrono::microseconds>(m_environment.queue.now().time_since_epoch()).count();
    event.host = m_name;
    event.revision = revision;
    event.isSuccess = isSuccess;
    m_environment.history->add(std::move(event));
}

}
