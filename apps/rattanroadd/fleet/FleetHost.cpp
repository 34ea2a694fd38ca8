#include "fleet/FleetHost.h"

#include "fleet/FleetMetrics.h"
#include "fleet/HttpLimitLog.h"
#include "platform/CallerHttpApi.h"
#include "platform/EvacuationKey.h"
#include "platform/PlatformKeys.h"
#include "platform/QueueConfiguration.h"
#include "platform/StoreHttpClient.h"
#include "platform/TargetHttpClient.h"
#include "rattanroad_network/rattanroad_network.h"
#include "rattanroad_shards/rattanroad_shards.h"

namespace rattanroad::daemon {

namespace {
    /** Part of the time to stop that is left for the answers to callers that still wait, and for the end of the
       process. Jobs can end until then. */
    constexpr std::chrono::milliseconds shutdownMargin { 500 };
    /** Part of it that is left for the end of the process once the answers are written. */
    constexpr std::chrono::milliseconds exitMargin { 200 };
    /** A job that is accepted later than this before the process stops could not end. */
    constexpr std::chrono::milliseconds jobTimeBeforeStop { 2600 };
    /** The platform checks every 1 s whether the host takes connections and needs up to two checks to see a drain. */
    constexpr std::chrono::milliseconds minimumDrainTime { 2300 };
    constexpr std::chrono::milliseconds drainPollInterval { 50 };
    /** Keeps connections to targets open through pauses in light traffic, since a new one costs a round trip. */
    constexpr std::chrono::milliseconds connectionIdleTimeout { 20000 };
    constexpr std::chrono::milliseconds connectTimeout { 250 };
    /** Allows four lines per job at one host's share of the current load, with headroom for bursts. */
    constexpr std::size_t maximumJobLogLinesPerSecond = 400;

    /** Requests to the readiness and metrics addresses have no body. */
    const ByteCount operationsBodySize { 1024 };
    /** Text that is served again to requests in this time: rendering it takes as long as many jobs. */
    constexpr std::chrono::milliseconds metricsLifetime { 200 };
    /** The largest message between hosts is a handover with all jobs of a shard: about 500 jobs with up to 4 KB of
        payload each at the largest load, with headroom for bursts. */
    const ByteCount maximumPeerMessageSize { 8U << 20U };

    HttpClient::Settings clientSettings()
    {
        HttpClient::Settings settings;
        settings.idleLimit = connectionIdleTimeout;
        settings.connectTimeout = connectTimeout;
        return settings;
    }

    shards::ShardNode::Settings nodeSettings(const Settings& settings, Incarnation incarnation)
    {
        shards::ShardNode::Settings node;
        node.host = settings.host;
        node.incarnation = incarnation;
        node.failureDomain = settings.failureDomain;
        node.processor = settings.processor;
        node.limits = settings.platformLimits;
        node.drainAcceptTime = settings.shutdownTime - shutdownMargin - jobTimeBeforeStop;
        node.address = settings.peerAddress;
        node.failureDomains = settings.failureDomains;
        node.operatorPrefix = adapter::operatorKeyPrefix;
        node.configurationKey = adapter::configurationKey;
        node.evacuationPrefix = adapter::evacuationKeyPrefix;
        node.targetPrefix = adapter::targetKeyPrefix;
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
        , m_storeClient(m_storeHttp, storeSettings())
        , m_targetClient(m_targetHttp, [this](Duration duration) { m_metrics.observeTargetRequest(duration); })
        , m_peerLink(loop, peerSettings(), [this](const protocol::Envelope& envelope) { m_node.received(envelope); })
        , m_node(nodeSettings(settings, incarnation), m_storeClient.keyValueStore(), m_targetClient.targetCalls(),
              timers(), clock, nodeHooks())
        , m_callerApi(m_node.entrance(), [this] { return m_node.queues(); })
        , m_limitLog(
              clock, [this](const char* event, const StateLog::Fields& fields) { m_log.write(event, fields); },
              [this](const char* event) { m_metrics.count(event); })
        , m_connections(std::make_shared<HttpConnections>(loop, settings.httpLimits,
              [this](CloseCause cause, std::size_t heldBytes) {
                  m_limitLog.add(cause, heldBytes, m_connections->account());
              }))
        , m_callerServer(loop, serverSettings(ByteCount(shards::QueueTable().maximumBodyBytes)),
              [this](HttpRequest&& request, const HttpResponder& responder) {
                  m_callerApi.handle(std::move(request), responder);
              })
        , m_readinessServer(loop, serverSettings(operationsBodySize),
              [this](HttpRequest&&, const HttpResponder& responder) {
                  HttpResponse response;
                  response.status = m_node.isReady() ? 200 : 503;
                  responder.send(response);
              })
        , m_metricsServer(loop, serverSettings(operationsBodySize),
              [this](HttpRequest&& request, const HttpResponder& responder) { serveMetrics(request, responder); })
    {
    }

    std::optional<Failure> start()
    {
        for (const auto& bound :
            { m_peerLink.bind(m_settings.peerAddress), m_callerServer.listen(m_settings.callerAddress),
                m_readinessServer.listen(m_settings.readinessAddress) }) {
            if (!bound)
                return bound.lastReason();
        }
        if (!m_settings.metricsAddress.empty()) {
            const auto bound = m_metricsServer.listen(m_settings.metricsAddress);
            if (!bound)
                return bound.lastReason();
        }
        const HttpLimits& limits = m_settings.httpLimits;
        logEvent("started",
            { { "millicores", std::to_string(m_settings.processor.value()) },
                { "caller_connections", std::to_string(limits.maximumConnections) },
                { "caller_bytes", std::to_string(limits.maximumHeldBytes.value()) } });
        m_node.start();
        return std::nullopt;
    }

    void beginDrain()
    {
        if (m_isDraining)
            return;
        m_isDraining = true;
        m_drainStartedAt = m_clock.now();
        logEvent("drain_started", {});
        m_callerServer.drain();
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
            return m_peerLink.send(address, envelope);
        };
        hooks.log
            = [this](const char* event, const shards::ShardNode::LogFields& fields) { logRateLimited(event, fields); };
        hooks.hostStarted = [this](const std::string& address) { m_peerLink.reopen(address); };
        hooks.jobDuration = [this](Duration duration) { m_metrics.observeJob(duration); };
        hooks.loopLag = [this](Duration lag) { m_metrics.observeLoopLag(lag); };
        hooks.parseTarget = &adapter::parseTargetEntry;
        hooks.parseConfiguration = [this](const std::string& document) {
            m_loop.defer([this] { applyBodyLimit(); });
            return adapter::parseQueueConfiguration(document);
        };
        hooks.parseEvacuation = &adapter::parseEvacuation;
        return hooks;
    }

    static PeerLink::Settings peerSettings()
    {
        PeerLink::Settings settings;
        settings.maximumMessageSize = maximumPeerMessageSize;
        return settings;
    }

    HttpServer::Settings serverSettings(ByteCount maximumBodySize)
    {
        HttpServer::Settings settings;
        settings.maximumBodySize = maximumBodySize;
        settings.connections = m_connections;
        return settings;
    }

    /** Has the body limit of the configuration in force apply before bodies are read. */
    void applyBodyLimit()
    {
        if (const shards::QueueTable* const queues = m_node.queues())
            m_callerServer.setMaximumBodySize(ByteCount(queues->maximumBodyBytes));
    }

    adapter::StoreHttpClient::Settings storeSettings()
    {
        adapter::StoreHttpClient::Settings settings;
        settings.address = m_settings.storeAddress;
        settings.observeDuration = [this](Duration duration) { m_metrics.observeStoreCall(duration); };
        return settings;
    }

    void serveMetrics(const HttpRequest& request, const HttpResponder& responder)
    {
        HttpResponse response;
        response.status = 404;
        response.contentType = "text/plain; version=0.0.4";
        if (request.method == "GET" && request.path == "/metrics") {
            response.status = 200;
            response.body = metricsText();
        }
        responder.send(response);
    }

    const std::string& metricsText()
    {
        const TimePoint now = m_clock.now();
        if (m_metricsText.empty() || now - m_metricsRenderedAt >= metricsLifetime) {
            m_metricsRenderedAt = now;
            m_metricsText = m_metrics.text({ m_callerServer.openRequests(), m_node.isHolding(), m_node.isReady(),
                m_peerLink.statistics(), m_connections->account().connections(), m_connections->account().heldBytes(),
                m_callerServer.parserRefusals() });
        }
        return m_metricsText;
    }

    void logEvent(const char* event, const StateLog::Fields& fields)
    {
        m_metrics.count(event);
        m_log.write(event, fields);
    }

    /** Limits the lines about jobs to maximumJobLogLinesPerSecond. When lines were dropped in a second, the next event
        about a job after it logs their number as lines_left_out. Metrics count every event.
    */
    void logRateLimited(const char* event, const StateLog::Fields& fields)
    {
        const bool isAboutJob = !fields.empty() && std::string_view(fields.front().first) == "job";
        if (!isAboutJob) {
            logEvent(event, fields);
            return;
        }
        m_metrics.count(event);
        const TimePoint now = m_clock.now();
        if (now - m_jobLogSecond >= std::chrono::seconds(1)) {
            if (m_jobLogLines > maximumJobLogLinesPerSecond)
                m_log.write(
                    "lines_left_out", { { "count", std::to_string(m_jobLogLines - maximumJobLogLinesPerSecond) } });
            m_jobLogSecond = now;
            m_jobLogLines = 0;
        }
        if (++m_jobLogLines <= maximumJobLogLinesPerSecond)
            m_log.write(event, fields);
    }

    void pollDrain()
    {
        const Duration elapsed = m_clock.now() - m_drainStartedAt;
        const std::size_t openRequests = m_callerServer.openRequests();
        const bool isIdle = openRequests == 0 && !m_node.isHolding() && elapsed >= minimumDrainTime;
        const bool isJobTimeOver = elapsed >= m_settings.shutdownTime - shutdownMargin;
        const bool areAnswersWritten = isJobTimeOver && openRequests == 0;
        if (isIdle || areAnswersWritten || elapsed >= m_settings.shutdownTime - exitMargin) {
            logEvent("stopped", { { "open_requests", std::to_string(openRequests) } });
            m_loop.stop();
            return;
        }
        if (isJobTimeOver && !m_areWaitingAnswered) {
            m_areWaitingAnswered = true;
            logEvent("waiting_answered", { { "open_requests", std::to_string(openRequests) } });
            m_node.entrance().answerWaiting();
        }
        m_loop.addTimer(drainPollInterval, [this] { pollDrain(); });
    }

    const Settings m_settings;
    Clock& m_clock;
    EventLoop& m_loop;
    StateLog m_log;
    FleetMetrics m_metrics;
    HttpClient m_storeHttp;
    HttpClient m_targetHttp;
    adapter::StoreHttpClient m_storeClient;
    adapter::TargetHttpClient m_targetClient;
    PeerLink m_peerLink;
    shards::ShardNode m_node;
    adapter::CallerHttpApi m_callerApi;
    HttpLimitLog m_limitLog;
    std::shared_ptr<HttpConnections> m_connections;
    HttpServer m_callerServer;
    HttpServer m_readinessServer;
    HttpServer m_metricsServer;
    std::string m_metricsText;
    TimePoint m_metricsRenderedAt;
    bool m_isDraining { false };
    TimePoint m_drainStartedAt;
    bool m_areWaitingAnswered { false };
    /** Start of the second in which m_jobLogLines are counted. */
    TimePoint m_jobLogSecond;
    std::size_t m_jobLogLines { 0 };
};

FleetHost::FleetHost(const Settings& settings, Clock& clock, Incarnation incarnation, EventLoop& loop)
    : m_impl(std::make_unique<Impl>(settings, clock, incarnation, loop))
{
}

FleetHost::~FleetHost() = default;

std::optional<Failure> FleetHost::start() { return m_impl->start(); }

void FleetHost::beginDrain() { m_impl->beginDrain(); }

}
