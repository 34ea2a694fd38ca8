#include "fleet/FleetHost.h"

#include "fleet/FleetMetrics.h"
#include "platform/CallerInterface.h"
#include "platform/PlatformKeys.h"
#include "platform/QueueConfiguration.h"
#include "platform/StoreWire.h"
#include "platform/TargetWire.h"
#include "rattanroad_network/rattanroad_network.h"
#include "rattanroad_shards/rattanroad_shards.h"

namespace rattanroad::daemon {

namespace {
    /** Below the time that the platform gives a process to stop, which is 6 s. */
    constexpr std::chrono::milliseconds drainLimit { 5500 };
    /** The platform notices within two of its checks, 1 s apart, that the host takes no new connections. */
    constexpr std::chrono::milliseconds drainNotice { 2300 };
    constexpr std::chrono::milliseconds drainPoll { 50 };
    /** Connections to targets are kept through the pauses of a calm day; a new one costs a round trip. */
    constexpr std::chrono::milliseconds connectionIdleLimit { 20000 };
    constexpr std::chrono::milliseconds connectTimeout { 250 };
    /** Four lines a job at the share of one host of today's load, with room for a burst. */
    constexpr std::size_t jobLinesPerSecond = 400;

    HttpClient::Settings clientSettings()
    {
        HttpClient::Settings settings;
        settings.idleLimit = connectionIdleLimit;
        settings.connectTimeout = connectTimeout;
        return settings;
    }

    shards::ShardNode::Settings nodeSettings(const Settings& settings, Incarnation incarnation)
    {
        shards::ShardNode::Settings node;
        node.host = settings.host;
        node.incarnation = incarnation;
        node.failureDomain = settings.failureDomain;
        node.address = settings.peerAddress;
        node.failureDomains = settings.failureDomains;
        node.configurationKey = adapter::configurationKey;
        node.targetPrefix = adapter::targetPrefix;
        return node;
    }
}

class FleetHost::Impl {
public:
    Impl(const Settings& settings, Clock& clock, Incarnation incarnation, EventLoop& loop)
        : m_settings(settings)
        , m_clock(clock)
        , m_loop(loop)
        , m_log(clock, settings.host.value(), settings.logFile)
        , m_storeHttp(loop, clientSettings())
        , m_targetHttp(loop, clientSettings())
        , m_store(m_storeHttp, storeSettings())
        , m_targets(m_targetHttp, [this](Duration duration) { m_metrics.observeTargetOrder(duration); })
        , m_link(loop, {}, [this](const protocol::Envelope& envelope) { m_node.received(envelope); })
        , m_node(nodeSettings(settings, incarnation), m_store.calls(), m_targets.calls(), timers(), clock, nodeHooks())
        , m_callers(m_node.entrance(), [this] { return m_node.queues(); })
        , m_server(loop, {},
              [this](HttpRequest&& request, const HttpResponder& responder) {
                  m_callers.handle(std::move(request), responder);
              })
        , m_readiness(loop, {},
              [this](HttpRequest&&, const HttpResponder& responder) {
                  HttpResponse response;
                  response.status = m_node.isReady() ? 200 : 503;
                  responder.send(response);
              })
        , m_metricsServer(loop, {},
              [this](HttpRequest&& request, const HttpResponder& responder) { serveMetrics(request, responder); })
    {
    }

    std::optional<Failure> start()
    {
        for (const auto& bound : { m_link.bind(m_settings.peerAddress), m_server.listen(m_settings.callerAddress),
                 m_readiness.listen(m_settings.readinessAddress) }) {
            if (!bound)
                return bound.lastReason();
        }
        if (!m_settings.metricsAddress.empty()) {
            const auto bound = m_metricsServer.listen(m_settings.metricsAddress);
            if (!bound)
                return bound.lastReason();
        }
        write("started", {});
        m_node.start();
        return std::nullopt;
    }

    void beginDrain()
    {
        if (m_isDraining)
            return;
        m_isDraining = true;
        m_drainStartedAt = m_clock.now();
        write("drain_started", {});
        m_server.drain();
        m_node.drain();
        pollDrain();
    }

private:
    shards::Timers timers()
    {
        return { [this](Duration delay, std::function<void()> action) { m_loop.addTimer(delay, std::move(action)); } };
    }

    shards::ShardNode::Hooks nodeHooks()
    {
        shards::ShardNode::Hooks hooks;
        hooks.send = [this](const std::string& address, const protocol::Envelope& envelope) {
            m_link.send(address, envelope);
        };
        hooks.log
            = [this](const char* event, const shards::ShardNode::LogFields& fields) { writeBounded(event, fields); };
        hooks.hostStarted = [this](const std::string& address) { m_link.reopen(address); };
        hooks.jobDuration = [this](Duration duration) { m_metrics.observeJob(duration); };
        hooks.parseTarget = &adapter::parseTargetEntry;
        hooks.parseConfiguration = &adapter::parseConfiguration;
        return hooks;
    }

    adapter::StoreWire::Settings storeSettings()
    {
        adapter::StoreWire::Settings settings;
        settings.address = m_settings.storeAddress;
        settings.observe = [this](Duration duration) { m_metrics.observeStoreCall(duration); };
        return settings;
    }

    void serveMetrics(const HttpRequest& request, const HttpResponder& responder)
    {
        HttpResponse response;
        response.status = 404;
        response.contentType = "text/plain; version=0.0.4";
        if (request.method == "GET" && request.path == "/metrics") {
            response.status = 200;
            response.body = m_metrics.text(
                { m_server.openRequests(), m_node.isHolding(), m_node.isReady(), m_link.statistics() });
        }
        responder.send(response);
    }

    void write(const char* event, const StateLog::Fields& fields)
    {
        m_metrics.count(event);
        m_log.write(event, fields);
    }

    /** Lines about jobs are limited; what was left out is counted in a line of its own. */
    void writeBounded(const char* event, const StateLog::Fields& fields)
    {
        const bool isAboutJob = !fields.empty() && std::string_view(fields.front().first) == "job";
        if (!isAboutJob) {
            write(event, fields);
            return;
        }
        m_metrics.count(event);
        const TimePoint now = m_clock.now();
        if (now - m_logSecond >= std::chrono::seconds(1)) {
            if (m_jobLines > jobLinesPerSecond)
                m_log.write("lines_left_out", { { "count", std::to_string(m_jobLines - jobLinesPerSecond) } });
            m_logSecond = now;
            m_jobLines = 0;
        }
        if (++m_jobLines <= jobLinesPerSecond)
            m_log.write(event, fields);
    }

    void pollDrain()
    {
        const Duration passed = m_clock.now() - m_drainStartedAt;
        const bool isIdle = m_server.openRequests() == 0 && !m_node.isHolding() && passed >= drainNotice;
        if (isIdle || passed >= drainLimit) {
            write("stopped", { { "open_requests", std::to_string(m_server.openRequests()) } });
            m_loop.stop();
            return;
        }
        m_loop.addTimer(drainPoll, [this] { pollDrain(); });
    }

    const Settings m_settings;
    Clock& m_clock;
    EventLoop& m_loop;
    StateLog m_log;
    FleetMetrics m_metrics;
    HttpClient m_storeHttp;
    HttpClient m_targetHttp;
    adapter::StoreWire m_store;
    adapter::TargetWire m_targets;
    PeerLink m_link;
    shards::ShardNode m_node;
    adapter::CallerInterface m_callers;
    HttpServer m_server;
    HttpServer m_readiness;
    HttpServer m_metricsServer;
    bool m_isDraining { false };
    TimePoint m_drainStartedAt;
    /** Begin of the second in which m_jobLines are counted. */
    TimePoint m_logSecond;
    std::size_t m_jobLines { 0 };
};

FleetHost::FleetHost(const Settings& settings, Clock& clock, Incarnation incarnation, EventLoop& loop)
    : m_impl(std::make_unique<Impl>(settings, clock, incarnation, loop))
{
}

FleetHost::~FleetHost() = default;

std::optional<Failure> FleetHost::start() { return m_impl->start(); }

void FleetHost::beginDrain() { m_impl->beginDrain(); }

}
