#include "fleet/FleetHost.h"

#include "platform/CallerInterface.h"
#include "platform/PlatformKeys.h"
#include "platform/QueueConfiguration.h"
#include "platform/StoreWire.h"
#include "platform/TargetWire.h"
#include "rattanroad_network/rattanroad_network.h"
#include "rattanroad_shards/holding/StoreKeys.h"

namespace rattanroad::daemon {

using namespace shards;

namespace {
    /** A load is a tenth of a second old at most, about the length of the shortest tasks. */
    constexpr std::chrono::milliseconds loadInterval { 100 };
    /** Targets write every 1.5 s, and a draining one must get no work after 2 s: a holder sees it after a quarter. */
    constexpr std::chrono::milliseconds targetListPause { 400 };
    /** A host that holds no shard needs the list only when it takes one. */
    constexpr std::chrono::milliseconds idleTargetListPause { 4000 };
    /** Links to other hosts are opened before a job needs them. */
    constexpr std::chrono::milliseconds linkInterval { 500 };
    constexpr std::chrono::milliseconds electionInterval { 100 };
    /** Below the time that the platform gives a process to stop, which is 6 s. */
    constexpr std::chrono::milliseconds drainLimit { 5500 };
    /** The platform notices within two of its checks, 1 s apart, that the host takes no new connections. */
    constexpr std::chrono::milliseconds drainNotice { 2300 };
    constexpr std::chrono::milliseconds drainPoll { 50 };
    /** Connections to targets are kept through the pauses of a calm day; a new one costs a round trip. */
    constexpr std::chrono::milliseconds connectionIdleLimit { 20000 };
    constexpr std::chrono::milliseconds connectTimeout { 250 };

    HttpClient::Settings clientSettings()
    {
        HttpClient::Settings settings;
        settings.idleLimit = connectionIdleLimit;
        settings.connectTimeout = connectTimeout;
        return settings;
    }
}

class FleetHost::Impl {
public:
    Impl(const Settings& settings, Clock& clock, Incarnation incarnation, EventLoop& loop)
        : m_settings(settings)
        , m_clock(clock)
        , m_incarnation(incarnation)
        , m_loop(loop)
        , m_log(clock, settings.host.value(), settings.logFile)
        , m_timers({ [&loop](Duration delay, std::function<void()> action) {
            loop.addTimer(delay, std::move(action));
        } })
        , m_storeHttp(loop, clientSettings())
        , m_targetHttp(loop, clientSettings())
        , m_storeWire(m_storeHttp, { settings.storeAddress })
        , m_targetWire(m_targetHttp, {})
        , m_store(m_storeWire.calls())
        , m_targetCalls(m_targetWire.calls())
        , m_lease({}, m_store, m_timers, clock, { [this] { leaseGranted(); }, [this] { leaseLost(); } })
        , m_configuration({ adapter::configurationKey }, m_store, m_timers, clock, configurationHooks())
        , m_targetList({ adapter::targetPrefix }, m_store, m_timers, clock, targetHooks())
        , m_fleetList({ storekeys::fleetPrefix }, m_store, m_timers, clock, fleetHooks())
        , m_link(loop, {}, [this](const protocol::Envelope& envelope) { received(envelope); })
    {
        makeShards();
        m_entrance = std::make_unique<JobEntrance>(
            entranceSettings(), m_store, m_fleet, m_timers, clock, entranceHooks());
        m_callers = std::make_unique<adapter::CallerInterface>(
            *m_entrance, [this] { return m_queues ? &*m_queues : nullptr; });
        m_server = std::make_unique<HttpServer>(loop, HttpServer::Settings {},
            [this](HttpRequest&& request, const HttpResponder& responder) {
                m_callers->handle(std::move(request), responder);
            });
        m_readiness = std::make_unique<HttpServer>(loop, HttpServer::Settings {},
            [this](HttpRequest&&, const HttpResponder& responder) {
                HttpResponse response;
                response.status = isReady() ? 200 : 503;
                responder.send(response);
            });
    }

    std::optional<Failure> start()
    {
        const auto peers = m_link.bind(m_settings.peerAddress);
        if (!peers)
            return peers.lastReason();
        const auto callers = m_server->listen(m_settings.callerAddress);
        if (!callers)
            return callers.lastReason();
        m_callerPort = *callers;
        const auto readiness = m_readiness->listen(m_settings.readinessAddress);
        if (!readiness)
            return readiness.lastReason();
        m_log.write("started", { { "incarnation", std::to_string(m_incarnation.value()) } });
        m_configuration.start();
        m_targetList.start();
        m_fleetList.start();
        m_lease.start();
        sendLoads();
        openLinks();
        reviewElections();
        return std::nullopt;
    }

    void beginDrain()
    {
        if (m_isDraining)
            return;
        m_isDraining = true;
        m_drainStartedAt = m_clock.now();
        m_log.write("drain_started", {});
        m_server->drain();
        registerHost();
        for (auto& entry : m_shards) {
            entry.second.election->setCandidate(false);
            entry.second.election->release();
        }
        pollDrain();
    }

private:
    struct Shard {
        std::unique_ptr<ShardDispatcher> dispatcher;
        std::unique_ptr<ShardElection> election;
    };

    void makeShards()
    {
        for (const FailureDomainId& domain : m_settings.failureDomains) {
            const ShardId shard(domain.value());
            Shard& made = m_shards[shard];
            ShardDispatcher::Settings settings;
            settings.shard = shard;
            ShardDispatcher::Hooks hooks;
            hooks.jobEnded = [this](const ShardJob& job) { announceEnd(job); };
            hooks.keyChanged = [this, shard] { m_shards[shard].election->keyChanged(); };
            hooks.displaced = [this, shard] { m_shards[shard].election->displaced(); };
            hooks.log = [this](const char* event, const JobId& job, const std::string& detail) {
                m_log.write(event, { { "job", job.value() }, { "detail", detail } });
            };
            made.dispatcher = std::make_unique<ShardDispatcher>(
                settings, m_store, m_targetCalls, m_timers, m_clock, std::move(hooks));
            ShardElection::Hooks electionHooks;
            electionHooks.acquired = [this, shard](const ShardElection::Holding& holding) {
                m_log.write("shard_acquired",
                    { { "shard", shard.value() }, { "token", std::to_string(holding.token.value()) },
                        { "generation", std::to_string(holding.generation.value()) },
                        { "continued", holding.isContinued ? "true" : "false" } });
                m_targetList.watchNow();
                m_shards[shard].dispatcher->begin(holding);
            };
            electionHooks.lost = [this, shard](const char* reason) {
                m_log.write("shard_lost", { { "shard", shard.value() }, { "reason", reason } });
                m_shards[shard].dispatcher->end();
            };
            made.election = std::make_unique<ShardElection>(electionSettings(shard, domain), m_store, m_lease, m_fleet,
                m_timers, m_clock, std::move(electionHooks));
        }
    }

    ShardElection::Settings electionSettings(const ShardId& shard, const FailureDomainId& domain) const
    {
        ShardElection::Settings settings;
        settings.shard = shard;
        settings.preferredDomain = domain;
        settings.self = m_settings.host;
        settings.incarnation = m_incarnation;
        settings.address = m_settings.peerAddress;
        settings.selfDomain = m_settings.failureDomain;
        return settings;
    }

    JobEntrance::Settings entranceSettings() const
    {
        JobEntrance::Settings settings;
        settings.self = m_settings.host;
        settings.incarnation = m_incarnation;
        settings.failureDomain = m_settings.failureDomain;
        settings.address = m_settings.peerAddress;
        for (const FailureDomainId& domain : m_settings.failureDomains)
            settings.shards.emplace_back(domain.value());
        return settings;
    }

    JobEntrance::Hooks entranceHooks()
    {
        JobEntrance::Hooks hooks;
        hooks.send = [this](const std::string& address, const protocol::Envelope& envelope) {
            m_link.send(address, envelope);
        };
        hooks.local = [this](const ShardId& shard) -> ShardDispatcher* {
            const auto found = m_shards.find(shard);
            const bool isHeld = found != m_shards.end() && found->second.dispatcher->isHolding();
            return isHeld ? found->second.dispatcher.get() : nullptr;
        };
        hooks.log = [this](const char* event, const JobId& job, const std::string& detail) {
            m_log.write(event, { { "job", job.value() }, { "detail", detail } });
        };
        return hooks;
    }

    PrefixFollower::Hooks configurationHooks()
    {
        PrefixFollower::Hooks hooks;
        hooks.written = [this](const StoredItem& item) {
            if (item.key != adapter::configurationKey)
                return;
            auto queues = adapter::parseConfiguration(item.value);
            if (!queues || (m_queues && queues->version <= m_queues->version)) {
                m_log.write("configuration_ignored", { { "revision", std::to_string(item.revision.value()) } });
                return;
            }
            m_queues = std::move(queues);
            m_log.write("configuration_in_force", { { "version", std::to_string(m_queues->version) },
                                                      { "queues", std::to_string(m_queues->entries.size()) } });
        };
        hooks.removed = [](const std::string&) {};
        hooks.interrupted = [this] { storeInterrupted(); };
        return hooks;
    }

    PrefixFollower::Hooks targetHooks()
    {
        PrefixFollower::Hooks hooks;
        hooks.written = [this](const StoredItem& item) {
            const std::string id = item.key.substr(adapter::targetPrefix.size());
            const auto report = adapter::parseTargetEntry(id, item.value);
            if (!report) {
                m_log.write("target_ignored", { { "target", id } });
                return;
            }
            const auto shard = m_shards.find(ShardId(report->failureDomain.value()));
            if (shard == m_shards.end())
                return;
            m_shardByTarget[report->id] = shard->first;
            shard->second.dispatcher->targetListed(*report);
        };
        hooks.removed = [this](const std::string& key) {
            const TargetId id(key.substr(adapter::targetPrefix.size()));
            const auto shard = m_shardByTarget.find(id);
            if (shard == m_shardByTarget.end())
                return;
            m_shards[shard->second].dispatcher->targetUnlisted(id);
            m_shardByTarget.erase(shard);
        };
        hooks.pause = [this]() -> Duration {
            for (const auto& entry : m_shards) {
                if (entry.second.election->isHeld())
                    return targetListPause;
            }
            return idleTargetListPause;
        };
        return hooks;
    }

    PrefixFollower::Hooks fleetHooks()
    {
        PrefixFollower::Hooks hooks;
        hooks.written = [this](const StoredItem& item) {
            const auto shard = m_fleet.written(item);
            if (!shard || !m_shards.count(*shard))
                return;
            m_shards[*shard].election->review();
            handOver(*shard);
        };
        hooks.removed = [this](const std::string& key) {
            const auto shard = m_fleet.removed(key);
            if (shard && m_shards.count(*shard))
                m_shards[*shard].election->review();
            // The store takes keys away without a word to the lease's owner.
            if (key == storekeys::host(m_settings.host) && m_isRegistered)
                m_lease.replace();
        };
        hooks.interrupted = [this] { storeInterrupted(); };
        return hooks;
    }

    void storeInterrupted()
    {
        if (m_clock.now() - m_lastInterruptionLog < std::chrono::seconds(1))
            return;
        m_lastInterruptionLog = m_clock.now();
        m_log.write("store_interrupted", {});
    }

    void leaseGranted()
    {
        m_log.write("lease_granted", {});
        registerHost();
    }

    void leaseLost()
    {
        m_isRegistered = false;
        m_log.write("lease_lost", {});
        for (auto& entry : m_shards)
            entry.second.election->leaseLost();
    }

    void registerHost()
    {
        if (!m_lease.isValid())
            return;
        protocol::HostRecord record;
        record.set_incarnation(m_incarnation.value());
        record.set_address(m_settings.peerAddress);
        record.set_failure_domain(m_settings.failureDomain.value());
        record.set_draining(m_isDraining);
        KeyTransaction transaction;
        transaction.writes.push_back(
            { storekeys::host(m_settings.host), record.SerializeAsString(), m_lease.lease() });
        m_store.transact(transaction, [this, lease = m_lease.lease()](const TransactionReply& reply) {
            if (lease != m_lease.lease())
                return;
            if (reply.ending == StoreEnding::Done)
                m_isRegistered = true;
            else
                m_loop.addTimer(electionInterval, [this] { registerHost(); });
        });
    }

    void reviewElections()
    {
        // Without the other hosts' keys every host would be first.
        if (m_fleetList.isSynchronized() && m_isRegistered) {
            for (auto& entry : m_shards)
                entry.second.election->review();
        }
        m_loop.addTimer(electionInterval, [this] { reviewElections(); });
    }

    /** Sends the jobs of a shard that this host gave up to the new holder. */
    void handOver(const ShardId& shard)
    {
        const ShardHolder* const holder = m_fleet.holder(shard);
        if (m_shards[shard].election->isHeld() || !holder || holder->host == m_settings.host)
            return;
        protocol::Envelope message = envelope();
        *message.mutable_shard_handover() = m_shards[shard].dispatcher->takeHandover();
        if (message.shard_handover().jobs_size() > 0)
            m_link.send(holder->address, message);
    }

    protocol::Envelope envelope() const
    {
        protocol::Envelope envelope;
        envelope.set_version(protocol::protocolVersion);
        envelope.set_from_host(m_settings.peerAddress);
        envelope.set_from_incarnation(m_incarnation.value());
        return envelope;
    }

    void received(const protocol::Envelope& message)
    {
        if (message.has_shard_load()) {
            // A host that is cut off from the store sees here that it was replaced.
            const auto shard = m_shards.find(ShardId(message.shard_load().shard()));
            const auto& holding = shard == m_shards.end() ? std::nullopt : shard->second.election->holding();
            if (holding && message.shard_load().generation() > holding->generation.value())
                shard->second.election->displaced();
        } else if (message.has_shard_handover()) {
            const auto shard = m_shards.find(ShardId(message.shard_handover().shard()));
            if (shard != m_shards.end())
                shard->second.dispatcher->handoverReceived(message.shard_handover());
            return;
        }
        m_entrance->received(message);
    }

    void sendLoads()
    {
        for (const auto& entry : m_shards) {
            if (!entry.second.dispatcher->isHolding())
                continue;
            protocol::Envelope message = envelope();
            *message.mutable_shard_load() = entry.second.dispatcher->load();
            message.mutable_shard_load()->set_address(m_settings.peerAddress);
            for (const JobId& job : entry.second.dispatcher->newJobs())
                message.mutable_shard_load()->add_new_jobs(job.value());
            m_entrance->loadReceived(message.shard_load());
            for (const auto& host : m_fleet.hosts()) {
                if (host.first != m_settings.host)
                    m_link.send(host.second.address, message);
            }
        }
        m_loop.addTimer(loadInterval, [this] { sendLoads(); });
    }

    void openLinks()
    {
        for (const auto& entry : m_fleet.holders()) {
            if (entry.second.host != m_settings.host)
                m_link.send(entry.second.address, envelope());
        }
        m_loop.addTimer(linkInterval, [this] { openLinks(); });
    }

    void announceEnd(const ShardJob& job)
    {
        if (job.entranceAddress.empty())
            return;
        if (job.entranceAddress == m_settings.peerAddress) {
            m_entrance->jobEnded(job.id, job.state);
            return;
        }
        protocol::Envelope message = envelope();
        message.mutable_shard_job_reply()->set_id(job.id.value());
        message.mutable_shard_job_reply()->set_known(true);
        message.mutable_shard_job_reply()->set_state(static_cast<std::uint32_t>(job.state));
        m_link.send(job.entranceAddress, message);
    }

    bool isReady() const { return m_queues && !m_isDraining && m_entrance->canServe(); }

    void pollDrain()
    {
        const Duration passed = m_clock.now() - m_drainStartedAt;
        const bool isIdle = m_server->openRequests() == 0 && passed >= drainNotice;
        if (isIdle || passed >= drainLimit) {
            m_log.write("stopped", { { "open_requests", std::to_string(m_server->openRequests()) } });
            m_loop.stop();
            return;
        }
        m_loop.addTimer(drainPoll, [this] { pollDrain(); });
    }

    const Settings m_settings;
    Clock& m_clock;
    Incarnation m_incarnation;
    EventLoop& m_loop;
    StateLog m_log;
    Timers m_timers;
    HttpClient m_storeHttp;
    HttpClient m_targetHttp;
    adapter::StoreWire m_storeWire;
    adapter::TargetWire m_targetWire;
    KeyValueStore m_store;
    TargetCalls m_targetCalls;
    HostLease m_lease;
    FleetView m_fleet;
    std::map<ShardId, Shard> m_shards;
    std::map<TargetId, ShardId> m_shardByTarget;
    std::optional<QueueTable> m_queues;
    PrefixFollower m_configuration;
    PrefixFollower m_targetList;
    PrefixFollower m_fleetList;
    PeerLink m_link;
    std::unique_ptr<JobEntrance> m_entrance;
    std::unique_ptr<adapter::CallerInterface> m_callers;
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<HttpServer> m_readiness;
    int m_callerPort { 0 };
    bool m_isRegistered { false };
    bool m_isDraining { false };
    TimePoint m_drainStartedAt;
    TimePoint m_lastInterruptionLog { TimePoint::min() };
};

FleetHost::FleetHost(const Settings& settings, Clock& clock, Incarnation incarnation, EventLoop& loop)
    : m_impl(std::make_unique<Impl>(settings, clock, incarnation, loop))
{
}

FleetHost::~FleetHost() = default;

std::optional<Failure> FleetHost::start() { return m_impl->start(); }

void FleetHost::beginDrain() { m_impl->beginDrain(); }

}
