#include "daemon/Daemon.h"

#include "api/ConfigurationApi.h"
#include "api/JobApi.h"
#include "api/OperationsApi.h"
#include "api/ProblemResponse.h"
#include "daemon/ConfigurationService.h"
#include "daemon/EngineMetrics.h"
#include "daemon/KeyHomeRegistration.h"
#include "daemon/PlatformHostWatcher.h"
#include "daemon/SegmentStore.h"
#include "daemon/TargetGateway.h"
#include "rattanroad_network/rattanroad_network.h"

#include <algorithm>

namespace rattanroad::daemon {

namespace {
    constexpr std::chrono::milliseconds loopLagInterval { 100 };
    /** The host is not ready until it knows a peer, since it would open segments without backups. After two outer
       heartbeat intervals without a peer it counts as alone and becomes ready.
    */
    constexpr std::chrono::seconds joinTimeout { 2 };
    /** Closing a socket drops its unsent messages, so the loop runs on until the last ones are sent. */
    constexpr std::chrono::milliseconds finalSendDelay { 200 };

    Incarnation makeIncarnation(const Clock& clock, RandomSource& random)
    {
        // The start time in seconds in the upper half makes incarnations of one host readable in order; the lower half
        // is random.
        const auto seconds
            = std::chrono::duration_cast<std::chrono::seconds>(clock.wallNow().time_since_epoch()).count();
        return Incarnation((static_cast<std::uint64_t>(seconds) << 32U) | (random.next() & 0xffffffffU));
    }

    HttpServer::Settings serverSettings(const Settings& settings)
    {
        HttpServer::Settings server;
        server.maximumBodySize = settings.maximumRequestSize;
        server.tooLargeResponse = problemResponse({ FailureCode::RequestTooLarge, RunState::NotRun,
            "the body has more than " + std::to_string(settings.maximumRequestSize.value()) + " bytes" });
        return server;
    }

    HttpClient::Settings targetClientSettings(const Settings& settings)
    {
        HttpClient::Settings client;
        client.connectTimeout = settings.connectTimeout;
        return client;
    }
}

class Daemon::Impl {
public:
    Impl(Settings settings, Clock& clock, RandomSource& random, EventLoop& loop)
        : m_settings(std::move(settings))
        , m_clock(clock)
        , m_random(random)
        , m_loop(loop)
        , m_startedAt(clock.now())
        , m_incarnation(makeIncarnation(clock, random))
        , m_log(clock, m_settings.host.value(), m_settings.logFile)
        , m_targetHttp(loop, targetClientSettings(m_settings))
        , m_platformHttp(loop, {})
        , m_store(m_platformHttp, { m_settings.storeAddress, m_settings.storeTimeout, storeHistogram() })
        , m_traces(loop, m_platformHttp, { m_settings.host.value(), m_settings.traceFile, m_settings.traceAddress })
        , m_peers(loop, {}, [this](const protocol::Envelope& envelope) { m_engine->peerMessage(envelope); })
        , m_targets(m_targetHttp, [this](TaskResult&& result) { taskEnded(std::move(result)); })
        , m_segments(m_store, clock, m_settings.host.value() + "/" + std::to_string(m_incarnation.value()),
              [this](const ViewChangeResult& result) { m_engine->viewChangeResult(result); })
        , m_keyHome(m_store, m_settings.host, m_incarnation,
              [this](bool hadPredecessor) { m_engine->keyHomeRegistered(hadPredecessor); })
        , m_platformHosts(loop, m_store, [this](const auto& leaving) { leavingTargetsChanged(leaving); })
        , m_engine(std::make_unique<EntryHost>(engineSettings(), clock, random, engineHooks()))
        , m_configuration(std::make_unique<ConfigurationService>(
              m_engine->members().self(), clock, random, m_store, configurationHooks()))
        , m_jobApi({ m_settings.traceSampleShare }, { *m_engine, clock, random, m_metrics, m_traces })
        , m_operationsApi({ m_settings.allowsLinkCuts }, *m_engine, m_peers, m_metrics, operationsHooks())
        , m_configurationApi(*m_engine, clock, *m_configuration)
        , m_server(loop, serverSettings(m_settings),
              [this](HttpRequest&& request, const HttpResponder& responder) { handle(request, responder); })
    {
        createHistograms();
        m_isConstructed = true;
        membersChanged();
    }

    std::optional<Failure> start()
    {
        const Result<int> peers = m_peers.bind(m_settings.peerAddress);
        if (!peers)
            return peers.lastReason();
        const Result<int> callers = m_server.listen(m_settings.callerAddress);
        if (!callers)
            return callers.lastReason();
        m_platformHosts.start();
        m_loop.setIterationCallback([this] { endIteration(); });
        m_loop.setWakeupSource([this] { return std::min(m_engine->nextWakeup(), m_configuration->nextWakeup()); });
        measureLoopLag();
        m_log.write("started",
            { { "callers", m_settings.callerAddress }, { "peers", m_settings.peerAddress },
                { "incarnation", std::to_string(m_incarnation.value()) } });
        return std::nullopt;
    }

    void beginDrain()
    {
        if (m_isStopping)
            return;
        m_isStopping = true;
        m_log.write("draining", {});
        m_loop.addTimer(m_settings.drainNotice, [this] {
            m_engine->beginDrain();
            m_isDraining = true;
        });
    }

private:
    EntryHostSettings engineSettings() const
    {
        EntryHostSettings settings = m_settings.engineSettings(m_incarnation);
        settings.keyHome.self = m_settings.host;
        settings.keyHome.retention = m_settings.retention;
        return settings;
    }

    EntryHostHooks engineHooks()
    {
        EntryHostHooks hooks;
        hooks.sendToPeer
            = [this](const std::string& address, protocol::Envelope&& envelope) { m_peers.send(address, envelope); };
        hooks.startTask = [this](const TaskStart& start) { m_targets.start(start); };
        hooks.cancelTask = [this](const TaskKey& key) { m_targets.cancel(key); };
        hooks.changeView = [this](const ViewChange& change) { changeView(change); };
        hooks.registerKeyHome = [this] { m_keyHome.start(); };
        hooks.configurationInstalled = [this](const ConfigurationValue& value) { configurationInstalled(value); };
        hooks.recordSpan = [this](const SpanRecord& span) { recordSpan(span); };
        hooks.configurationMessage
            = [this](const Member&, const protocol::Envelope& envelope) { m_configuration->peerMessage(envelope); };
        hooks.revisionSeen
            = [this](const HostId& from, Revision revision) { m_configuration->heartbeatRevision(from, revision); };
        hooks.membersChanged = [this] { membersChanged(); };
        return hooks;
    }

    ConfigurationService::Hooks configurationHooks()
    {
        ConfigurationService::Hooks hooks;
        hooks.installed = [this](const ConfigurationValue& value) { m_engine->offerConfiguration(value); };
        hooks.sendToPeer = [this](const HostId& host, protocol::Envelope&& envelope) {
            m_engine->sendToHost(host, std::move(envelope));
        };
        return hooks;
    }

    OperationsApi::Hooks operationsHooks()
    {
        OperationsApi::Hooks hooks;
        hooks.beginDrain = [this] { beginDrain(); };
        hooks.isStopping = [this] { return m_isStopping; };
        hooks.hasJoined = [this] {
            return !m_engine->members().liveMembers().empty() || m_clock.now() - m_startedAt >= joinTimeout;
        };
        hooks.refreshMetrics = [this] {
            refreshMetrics(m_metrics, *m_engine, m_peers.statistics(), m_store.statistics(), m_traces.statistics());
            m_metrics.setCounter("rattanroad_caller_disconnects_total", "Callers that left before their answer",
                static_cast<double>(m_jobApi.disconnectCount()));
        };
        return hooks;
    }

    std::function<void(Duration)> storeHistogram()
    {
        const Metrics::Observe observe = m_metrics.histogram(
            "rattanroad_store_call_duration_seconds", "Duration of calls to the store", Metrics::timeBuckets());
        return [observe](Duration duration) { observe(std::chrono::duration<double>(duration).count()); };
    }

    void createHistograms()
    {
        const auto& buckets = Metrics::timeBuckets();
        m_observeTask = m_metrics.histogram(
            "rattanroad_task_duration_seconds", "Time from sending a task to the end of the attempt", buckets);
        m_observeLag
            = m_metrics.histogram("rattanroad_loop_lag_seconds", "Lateness of a timer of the event loop", buckets);
        for (const char* wait : { "slot-wait", "journal-wait", "forward" }) {
            m_observeWait[wait] = m_metrics.histogram(
                "rattanroad_wait_seconds", "Waits of traced jobs by hop", buckets, { { "hop", wait } });
        }
    }

    void handle(const HttpRequest& request, const HttpResponder& responder)
    {
        if (m_jobApi.handle(request, responder) || m_operationsApi.handle(request, responder)
            || m_configurationApi.handle(request, responder))
            return;
        responder.send(problemResponse(
            { FailureCode::NotFound, RunState::NotRun, "no " + request.method + " of " + request.path }));
    }

    void taskEnded(TaskResult&& result)
    {
        m_observeTask(std::chrono::duration<double>(result.ran).count());
        m_engine->taskResult(std::move(result));
    }

    void changeView(const ViewChange& change)
    {
        m_log.write("view-change",
            { { "segment", change.segment.text() }, { "epoch", std::to_string(change.next.epoch.value()) },
                { "owner", change.next.owner.value() } });
        m_segments.change(change);
    }

    void configurationInstalled(const ConfigurationValue& value)
    {
        m_log.write("configuration-installed",
            { { "revision", std::to_string(value.revision.value()) }, { "change_id", value.changeId.value() },
                { "author", value.author } });
        m_platformHosts.setInventory(value.inventory);
    }

    void leavingTargetsChanged(const std::set<TargetId>& leaving)
    {
        m_log.write("leaving-targets", { { "count", std::to_string(leaving.size()) } });
        m_engine->setLeavingTargets(leaving);
    }

    /** Does nothing while the members are being constructed: the engine calls it already then. */
    void membersChanged()
    {
        if (!m_isConstructed)
            return;
        const std::vector<Member> live = m_engine->members().liveMembers();
        m_configuration->setMembers(live);
        std::string hosts;
        for (const Member& member : live)
            hosts += (hosts.empty() ? "" : " ") + member.host.value() + (member.isDraining ? "(draining)" : "");
        if (hosts == m_loggedMembers)
            return;
        m_loggedMembers = hosts;
        m_log.write("members", { { "live", hosts } });
    }

    void recordSpan(const SpanRecord& record)
    {
        const auto observe = m_observeWait.find(record.name);
        if (observe != m_observeWait.end())
            observe->second(std::chrono::duration<double>(record.end - record.begin).count());
        Span span { record.context.traceId, record.context.spanId, record.parentSpanId, record.name, record.begin,
            record.end, {}, record.isError };
        span.attributes.emplace_back("subject", record.subject);
        if (!record.peer.empty())
            span.attributes.emplace_back("peer", record.peer);
        m_traces.add(std::move(span));
    }

    /** Runs at the end of each iteration of the loop. */
    void endIteration()
    {
        const TimePoint now = m_clock.now();
        if (m_engine->nextWakeup() <= now)
            m_engine->tick();
        if (m_configuration->nextWakeup() <= now)
            m_configuration->tick();
        m_engine->flush();
        if (m_isDraining && !m_isDrained && m_engine->isDrained() && m_server.openRequests() == 0) {
            m_isDrained = true;
            m_log.write("drained", {});
            m_loop.addTimer(finalSendDelay, [this] { m_loop.stop(); });
        }
    }

    void measureLoopLag()
    {
        const TimePoint due = m_clock.now() + loopLagInterval;
        m_loop.addTimer(loopLagInterval, [this, due] {
            m_observeLag(std::chrono::duration<double>(m_clock.now() - due).count());
            measureLoopLag();
        });
    }

    Settings m_settings;
    Clock& m_clock;
    RandomSource& m_random;
    EventLoop& m_loop;
    TimePoint m_startedAt;
    Incarnation m_incarnation;
    StateLog m_log;
    Metrics m_metrics;
    HttpClient m_targetHttp;
    /** Connections to the store and to the trace collector. */
    HttpClient m_platformHttp;
    platform::StoreClient m_store;
    TraceExporter m_traces;
    PeerLink m_peers;
    TargetGateway m_targets;
    SegmentStore m_segments;
    KeyHomeRegistration m_keyHome;
    PlatformHostWatcher m_platformHosts;
    /** Set when all members exist. The engine may call its hooks earlier. */
    bool m_isConstructed { false };
    std::unique_ptr<EntryHost> m_engine;
    std::unique_ptr<ConfigurationService> m_configuration;
    JobApi m_jobApi;
    OperationsApi m_operationsApi;
    ConfigurationApi m_configurationApi;
    HttpServer m_server;
    Metrics::Observe m_observeTask;
    Metrics::Observe m_observeLag;
    std::map<std::string, Metrics::Observe> m_observeWait;
    /** The initial value differs from every list of members, so that the first list is logged, even an empty one. */
    std::string m_loggedMembers { "?" };
    /** A shutdown was requested: the readiness check fails. */
    bool m_isStopping { false };
    /** The engine refuses new work. */
    bool m_isDraining { false };
    /** Everything is handed over and the loop is about to stop. */
    bool m_isDrained { false };
};

Daemon::Daemon(Settings settings, Clock& clock, RandomSource& random, EventLoop& loop)
    : m_impl(std::make_unique<Impl>(std::move(settings), clock, random, loop))
{
}

Daemon::~Daemon() = default;

std::optional<Failure> Daemon::start() { return m_impl->start(); }

void Daemon::beginDrain() { m_impl->beginDrain(); }

}
