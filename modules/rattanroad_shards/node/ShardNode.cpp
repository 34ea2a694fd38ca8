#include "rattanroad_shards/node/ShardNode.h"

#include "rattanroad_shards/holding/StoreKeys.h"
#include "rattanroad_shards/node/HostLinks.h"

#include <algorithm>

namespace rattanroad::shards {

namespace {
    void applyLimits(const PlatformLimits& limits, ShardDispatcher::Settings& settings)
    {
        ShardTargets::Settings& targets = settings.targets;
        targets.maximumListAge = limits.maximumListAge();
        targets.earlierHolderExpiry += limits.targetLease - targets.session.leaseDuration;
        targets.session.silenceTimeout
            = targets.session.silenceTimeout * limits.targetLease.count() / targets.session.leaseDuration.count();
        targets.session.pollWait = limits.targetLease * 2 / 5;
        targets.session.startLease = limits.targetLease / 2;
        targets.session.leaseDuration = limits.targetLease;
        settings.running.originTimeout = limits.originTimeout();
        settings.running.maximumLeaseAfterSubmission = limits.maximumLeaseAfterSubmission();
    }
}

class ShardNode::Impl {
public:
    Impl(Settings settings, KeyValueStore store, TargetCalls targets, Timers timers, const Clock& clock, Hooks hooks)
        : m_settings(std::move(settings))
        , m_store(std::move(store))
        , m_targetCalls(std::move(targets))
        , m_timers(std::move(timers))
        , m_clock(clock)
        , m_hooks(std::move(hooks))
        , m_lease(m_settings.lease, m_store, m_timers, clock, { [this] { leaseGranted(); }, [this] { leaseLost(); } })
        , m_fleet([this](const std::string& key) {
            m_hooks.log("fleet_key_ignored", { { "key", key } });
        })
        , m_configuration({ m_settings.configurationKey }, m_store, m_timers, clock, configurationHooks())
        , m_targetList({ m_settings.targetPrefix }, m_store, m_timers, clock, targetHooks())
        , m_fleetList({ storekeys::fleetPrefix }, m_store, m_timers, clock, fleetHooks())
        , m_entrance(entranceSettings(), m_store, m_fleet, m_timers, clock, entranceHooks())
        , m_loadFeed(feedSettings(), m_fleet, m_entrance.loads(), clock,
              { [this](const std::string& address, const protocol::Envelope& message) {
                   return m_links.send(address, message);
               },
                  [this] { return envelope(); } })
        , m_links({ m_settings.address }, clock, { m_hooks.send, m_hooks.hostStarted, [this] { return envelope(); } })
    {
        makeShards();
    }

    void start()
    {
        m_configuration.start();
        m_fleetList.start();
        m_lease.start();
        updateLoads();
        openLinks();
        reviewElections();
        reviewTargetList();
    }

    void drain()
    {
        m_isDraining = true;
        m_timers.after(m_settings.drainAcceptTime, [this] { m_entrance.stopAccepting(); });
        registerHost();
        for (auto& entry : m_shards)
            entry.second.election->setCandidate(false);
        m_timers.after(m_settings.releaseDelay, [this] {
            for (auto& entry : m_shards)
                entry.second.election->release();
        });
    }

    void received(const protocol::Envelope& message)
    {
        detectPause();
        if (message.has_shard_submit() && m_clock.now() - m_resumedAt < m_settings.staleMessageWindow)
            return;
        m_links.open(message.from_host());
        if (message.has_shard_load()) {
            loadReceived(message.shard_load(), message.from_host());
            return;
        }
        if (message.has_shard_loads()) {
            loadsReceived(message);
            return;
        }
        if (message.has_load_subscription()) {
            m_loadFeed.subscribed(message.from_host());
            return;
        }
        if (message.has_shard_handover()) {
            const auto shard = m_shards.find(ShardId(message.shard_handover().shard()));
            if (shard == m_shards.end())
                return;
            shard->second.dispatcher->handoverReceived(message.shard_handover());
            readTargetList(shard->first);
            return;
        }
        m_entrance.received(message);
    }

    JobEntrance& entrance() { return m_entrance; }
    const QueueTable* queues() const { return m_queues ? &*m_queues : nullptr; }
    bool isHolding() const
    {
        return std::any_of(
            m_shards.begin(), m_shards.end(), [](const auto& entry) { return entry.second.election->isHeld(); });
    }

    bool isReady() const { return m_queues && !m_isDraining && m_entrance.canServe(); }

    ShardDispatcher* dispatcher(const ShardId& shard)
    {
        const auto found = m_shards.find(shard);
        const bool isHeld = found != m_shards.end() && found->second.dispatcher->isHolding();
        return isHeld ? found->second.dispatcher.get() : nullptr;
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
            Shard& created = m_shards[shard];
            ShardDispatcher::Settings settings;
            settings.shard = shard;
            applyLimits(m_settings.limits, settings);
            ShardDispatcher::Hooks hooks;
            hooks.jobEnded = [this](const ShardJob& job) { reportJobEnd(job); };
            hooks.keyChanged = [this, shard] { m_shards[shard].election->keyChanged(); };
            hooks.displaced = [this, shard] { m_shards[shard].election->displaced(); };
            hooks.isStoreLost = [this] { return isStoreLost(); };
            hooks.log = [this](const char* event, const JobId& job, const std::string& detail) {
                m_hooks.log(event, { { "job", job.value() }, { "detail", detail } });
            };
            created.dispatcher = std::make_unique<ShardDispatcher>(
                settings, m_store, m_targetCalls, m_timers, m_clock, std::move(hooks));
            ShardElection::Hooks electionHooks;
            electionHooks.acquired = [this, shard](const ShardElection::Holding& holding) {
                m_hooks.log("shard_acquired",
                    { { "shard", shard.value() }, { "token", std::to_string(holding.token.value()) },
                        { "generation", std::to_string(holding.generation.value()) },
                        { "continued", holding.isContinued ? "true" : "false" },
                        { "target_list_age_ms", std::to_string(targetListAge().count()) },
                        { "millicores", std::to_string(m_settings.processor.value()) } });
                m_shards[shard].dispatcher->begin(holding);
                m_entrance.homes().begin(shard, holding.generation == Generation(1) && !holding.isContinued);
                // Nothing starts until the list is current as of the acquisition.
                if (m_targetList.isStarted())
                    m_targetList.refresh();
                else
                    followTargetList();
                if (!holding.isContinued)
                    m_timers.after(m_settings.displacementTime, [this, shard] { readTargetList(shard); });
            };
            electionHooks.lost = [this, shard](const char* reason) {
                m_hooks.log("shard_lost", { { "shard", shard.value() }, { "reason", reason } });
                m_shards[shard].dispatcher->end();
                m_entrance.homes().end(shard);
            };
            electionHooks.hasOpenJobs = [this, shard] { return m_shards[shard].dispatcher->hasOpenJobs(); };
            created.election = std::make_unique<ShardElection>(electionSettings(shard, domain), m_store, m_lease,
                m_fleet, m_timers, m_clock, std::move(electionHooks));
        }
    }

    ShardElection::Settings electionSettings(const ShardId& shard, const FailureDomainId& domain) const
    {
        ShardElection::Settings settings;
        settings.shard = shard;
        settings.preferredDomain = domain;
        settings.self = m_settings.host;
        settings.incarnation = m_settings.incarnation;
        settings.address = m_settings.address;
        settings.selfDomain = m_settings.failureDomain;
        settings.selfProcessor = m_settings.processor;
        return settings;
    }

    JobEntrance::Settings entranceSettings() const
    {
        JobEntrance::Settings settings;
        settings.incarnation = m_settings.incarnation;
        settings.loads.failureDomain = m_settings.failureDomain;
        settings.address = m_settings.address;
        for (const FailureDomainId& domain : m_settings.failureDomains)
            settings.loads.shards.emplace_back(domain.value());
        settings.homes.shards = settings.loads.shards;
        settings.replyTimeout = m_settings.limits.repetition();
        return settings;
    }

    LoadFeed::Settings feedSettings() const
    {
        LoadFeed::Settings settings;
        settings.host = m_settings.host;
        settings.address = m_settings.address;
        settings.failureDomain = m_settings.failureDomain;
        return settings;
    }

    JobEntrance::Hooks entranceHooks()
    {
        JobEntrance::Hooks hooks;
        hooks.send = [this](const std::string& address, const protocol::Envelope& message) {
            return m_links.send(address, message);
        };
        hooks.localDispatcher = [this](const ShardId& shard) { return dispatcher(shard); };
        hooks.log = [this](const char* event, const JobId& job, const std::string& detail) {
            m_hooks.log(event, { { "job", job.value() }, { "detail", detail } });
        };
        return hooks;
    }

    PrefixWatcher::Hooks configurationHooks()
    {
        PrefixWatcher::Hooks hooks;
        hooks.written = [this](const StoredItem& item) {
            if (item.key != m_settings.configurationKey)
                return;
            auto queues = m_hooks.parseConfiguration(item.value);
            if (!queues || (m_queues && queues->version <= m_queues->version)) {
                m_hooks.log("configuration_ignored", { { "revision", std::to_string(item.revision.value()) } });
                return;
            }
            m_queues = std::move(queues);
            m_hooks.log("configuration_in_force",
                { { "version", std::to_string(m_queues->version) },
                    { "queues", std::to_string(m_queues->entries.size()) } });
        };
        hooks.removed = [](const std::string&) {};
        hooks.interrupted = [this] { storeInterrupted(); };
        return hooks;
    }

    PrefixWatcher::Hooks targetHooks()
    {
        PrefixWatcher::Hooks hooks;
        hooks.written = [this](const StoredItem& item) {
            const TargetId id(item.key.substr(m_settings.targetPrefix.size()));
            const auto report = m_hooks.parseTarget(id.value(), item.value);
            const auto shard = report ? m_shards.find(ShardId(report->failureDomain.value())) : m_shards.end();
            if (shard == m_shards.end()) {
                m_hooks.log("target_ignored", { { "target", id.value() } });
                unlistTarget(id);
                return;
            }
            const auto known = m_shardByTarget.find(id);
            if (known != m_shardByTarget.end() && known->second != shard->first)
                m_shards[known->second].dispatcher->targetMoved(id);
            m_shardByTarget[id] = shard->first;
            shard->second.dispatcher->targetListed(*report);
        };
        hooks.removed
            = [this](const std::string& key) { unlistTarget(TargetId(key.substr(m_settings.targetPrefix.size()))); };
        hooks.interrupted = [this] { storeInterrupted(); };
        hooks.pause = [this]() -> Duration {
            return isHolding() ? m_settings.limits.targetListPause() : m_settings.idleTargetListPause;
        };
        hooks.isChecked = [this] { return isHolding(); };
        hooks.updated = [this] {
            // Targets that left the list before it was read are not known.
            for (auto& entry : m_shards) {
                if (m_isTargetListNew)
                    entry.second.dispatcher->targetListInterrupted();
            }
            m_isTargetListNew = false;
            for (auto& entry : m_shards)
                entry.second.dispatcher->targetListUpdated(m_targetList.currentAsOf());
        };
        return hooks;
    }

    bool isStoreLost() const { return !m_lease.isValid() && m_targetList.failures() >= m_settings.lostStoreFailures; }

    std::chrono::milliseconds targetListAge() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - m_targetList.currentAsOf());
    }

    /** Removes a target from the list of its shard, if it is in one. */
    void unlistTarget(const TargetId& target)
    {
        const auto shard = m_shardByTarget.find(target);
        if (shard == m_shardByTarget.end())
            return;
        m_shards[shard->second].dispatcher->targetUnlisted(target);
        m_shardByTarget.erase(shard);
    }

    /** Called when the previous holder of the shard has stopped. By then it can have used targets that are new here. */
    void readTargetList(const ShardId& shard)
    {
        m_targetList.readNow(shard.value(), [this, shard] { m_shards[shard].dispatcher->targetListRead(); });
    }

    PrefixWatcher::Hooks fleetHooks()
    {
        PrefixWatcher::Hooks hooks;
        hooks.written = [this](const StoredItem& item) {
            const auto shard = m_fleet.keyWritten(item);
            if (const auto host = FleetView::hostOfKey(item.key))
                detectHostStart(*host);
            if (!shard || !m_shards.count(*shard))
                return;
            m_shards[*shard].election->reevaluate();
            if (const ShardHolder* const holder = m_fleet.holder(*shard))
                m_links.open(holder->address);
            handOver(*shard);
        };
        hooks.removed = [this](const std::string& key) {
            const auto shard = m_fleet.keyRemoved(key);
            if (shard && m_shards.count(*shard))
                m_shards[*shard].election->reevaluate();
            // The store can revoke a lease and remove its keys without notifying the owner of the lease.
            if (key == storekeys::host(m_settings.host) && m_isRegistered)
                m_lease.replace();
        };
        hooks.interrupted = [this] { storeInterrupted(); };
        return hooks;
    }

    void detectHostStart(const HostId& host)
    {
        const auto live = m_fleet.hosts().find(host);
        if (live == m_fleet.hosts().end() || host == m_settings.host)
            return;
        Incarnation& known = m_knownIncarnations[host];
        if (known == live->second.incarnation)
            return;
        known = live->second.incarnation;
        m_links.hostStarted(live->second.address);
    }

    void storeInterrupted()
    {
        // The watch of the targets may have paused meanwhile.
        for (auto& entry : m_shards)
            entry.second.dispatcher->targetListInterrupted();
        if (m_clock.now() - m_lastInterruptionLog < m_settings.interruptionLogInterval)
            return;
        m_lastInterruptionLog = m_clock.now();
        m_hooks.log("store_interrupted", {});
    }

    void leaseGranted()
    {
        m_hooks.log("lease_granted", {});
        registerHost();
    }

    void leaseLost()
    {
        m_isRegistered = false;
        m_hooks.log("lease_lost", {});
        for (auto& entry : m_shards)
            entry.second.election->leaseLost();
    }

    void registerHost()
    {
        if (!m_lease.isValid())
            return;
        protocol::HostRecord record;
        record.set_incarnation(m_settings.incarnation.value());
        record.set_address(m_settings.address);
        record.set_failure_domain(m_settings.failureDomain.value());
        record.set_draining(m_isDraining);
        record.set_processor_millicores(m_settings.processor.value());
        record.set_subscribes_to_loads(true);
        KeyTransaction transaction;
        transaction.writes.push_back({ storekeys::host(m_settings.host), record.SerializeAsString(), m_lease.lease() });
        m_store.transact(transaction, [this, lease = m_lease.lease()](const TransactionReply& reply) {
            if (lease != m_lease.lease())
                return;
            if (reply.status == StoreStatus::Done)
                m_isRegistered = true;
            else
                m_timers.after(m_settings.electionInterval, [this] { registerHost(); });
        });
    }

    void reviewElections()
    {
        // Before the keys of the other hosts are known, every host would rank itself first.
        const bool canTakePart = m_fleetList.isSynchronized() && m_isRegistered;
        for (auto& entry : m_shards) {
            if (canTakePart)
                entry.second.election->reevaluate();
            else
                entry.second.election->endExpiredHolding();
        }
        m_timers.after(m_settings.electionInterval, [this] { reviewElections(); });
    }

    /** Sends the best-effort jobs of a shard that this host no longer holds to the new holder. */
    void handOver(const ShardId& shard)
    {
        const ShardHolder* const holder = m_fleet.holder(shard);
        if (m_shards[shard].election->isHeld() || !holder || holder->host == m_settings.host)
            return;
        protocol::Envelope message = envelope();
        *message.mutable_shard_handover() = m_shards[shard].dispatcher->takeHandover();
        if (message.shard_handover().jobs_size() > 0)
            sendHandover(holder->address, message, m_clock.now());
    }

    /** Sends a handover as soon as the link to the new holder is open. */
    void sendHandover(const std::string& address, const protocol::Envelope& message, TimePoint since)
    {
        if (m_links.send(address, message) || m_clock.now() - since >= m_settings.handoverRetryTime)
            return;
        m_timers.after(m_settings.handoverRetryPause, [this, address, message, since, builtAt = m_clock.now()] {
            protocol::Envelope later = message;
            const auto elapsed = std::chrono::ceil<std::chrono::milliseconds>(m_clock.now() - builtAt);
            for (protocol::JobHandover& job : *later.mutable_shard_handover()->mutable_jobs()) {
                job.set_waited_ms(job.waited_ms() + static_cast<std::uint32_t>(elapsed.count()));
                job.set_silent_ms(job.silent_ms() + static_cast<std::uint32_t>(elapsed.count()));
            }
            sendHandover(address, later, since);
        });
    }

    protocol::Envelope envelope() const
    {
        protocol::Envelope envelope;
        envelope.set_version(protocol::protocolVersion);
        envelope.set_from_host(m_settings.address);
        envelope.set_from_incarnation(m_settings.incarnation.value());
        return envelope;
    }

    void detectPause()
    {
        const TimePoint now = m_clock.now();
        if (now > m_lastLoadTimerRun && now - m_lastLoadTimerRun > m_settings.pauseThreshold)
            m_resumedAt = now;
    }

    void reportLoopLag()
    {
        const TimePoint now = m_clock.now();
        if (now < m_loadTimerDue)
            return;
        const Duration lag = now - m_loadTimerDue;
        if (m_hooks.loopLag)
            m_hooks.loopLag(lag);
        if (lag <= m_settings.loopLagThreshold || now - m_lastLoopLagLog < m_settings.loopLagLogInterval)
            return;
        m_lastLoopLagLog = now;
        const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(lag).count();
        m_hooks.log("loop_late",
            { { "delay_ms", std::to_string(milliseconds) }, { "holding", isHolding() ? "true" : "false" },
                { "millicores", std::to_string(m_settings.processor.value()) } });
    }

    void updateLoads()
    {
        detectPause();
        reportLoopLag();
        m_lastLoadTimerRun = m_clock.now();
        std::vector<protocol::ShardLoad> loads;
        for (const auto& entry : m_shards) {
            if (!entry.second.dispatcher->isHolding())
                continue;
            protocol::ShardLoad load = entry.second.dispatcher->load();
            load.set_address(m_settings.address);
            load.set_clock_ms(toMilliseconds(m_clock.now()));
            load.set_serves_as_home(true);
            m_entrance.loadReceived(load);
            loads.push_back(std::move(load));
        }
        m_loadFeed.update(loads);
        m_loadTimerDue = m_clock.now() + m_settings.loadInterval;
        m_timers.after(m_settings.loadInterval, [this] { updateLoads(); });
    }

    void loadsReceived(const protocol::Envelope& message)
    {
        std::chrono::milliseconds youngestAge = std::chrono::milliseconds::max();
        for (const protocol::ShardLoad& load : message.shard_loads().loads()) {
            loadReceived(load, message.from_host());
            youngestAge = std::min(youngestAge, std::chrono::milliseconds(load.age_ms()));
        }
        m_loadFeed.loadsReceived(message.from_host(), youngestAge);
    }

    void loadReceived(const protocol::ShardLoad& load, const std::string& sender)
    {
        const ShardId shard(load.shard());
        const auto known = m_shards.find(shard);
        if (known == m_shards.end())
            return;
        const Generation generation(load.generation());
        // A host that cannot reach the store learns here that another host has taken over its shard.
        const auto& holding = known->second.election->holding();
        if (holding && generation > holding->generation)
            known->second.election->displaced();
        const bool isFromHolder = load.address() == sender;
        if (isFromHolder && m_entrance.loads().hasLaterHolder(shard, generation))
            m_loadFeed.correct(load);
        m_entrance.loadReceived(load);
        m_links.open(load.address());
    }

    void openLinks()
    {
        for (const ShardId& shard : m_entrance.loads().shards()) {
            if (const std::string* const address = m_entrance.loads().holderAddress(shard))
                m_links.open(*address);
        }
        m_links.removeUnused();
        m_timers.after(m_settings.linkInterval, [this] { openLinks(); });
    }

    /** Follows the target list while this host holds a shard or is among the next to acquire one. */
    void reviewTargetList()
    {
        m_timers.after(m_settings.followInterval, [this] { reviewTargetList(); });
        // Before the other hosts are known, every host would be the next one.
        if (!m_fleetList.isSynchronized())
            return;
        const bool isNeeded = isHolding() || (!m_isDraining && isNextHolder());
        if (isNeeded && !m_targetList.isStarted()) {
            followTargetList();
        } else if (!isNeeded && m_targetList.isStarted()) {
            m_hooks.log("target_list_left", {});
            m_targetList.stop();
        }
    }

    bool isNextHolder() const
    {
        return std::any_of(m_shards.begin(), m_shards.end(),
            [this](const auto& entry) { return entry.second.election->rank() < m_settings.followersPerShard; });
    }

    void followTargetList()
    {
        m_hooks.log("target_list_followed", {});
        m_isTargetListNew = true;
        m_targetList.start();
    }

    void reportJobEnd(const ShardJob& job)
    {
        if (m_hooks.jobDuration && job.endedAt)
            m_hooks.jobDuration(*job.endedAt - job.receivedAt);
        if (job.originAddress.empty())
            return;
        if (job.originAddress == m_settings.address) {
            m_entrance.jobEnded(job.id, job.state);
            return;
        }
        protocol::Envelope message = envelope();
        message.mutable_shard_job_reply()->set_id(job.id.value());
        message.mutable_shard_job_reply()->set_known(true);
        message.mutable_shard_job_reply()->set_state(static_cast<std::uint32_t>(job.state));
        m_links.send(job.originAddress, message);
    }

    const Settings m_settings;
    KeyValueStore m_store;
    TargetCalls m_targetCalls;
    Timers m_timers;
    const Clock& m_clock;
    Hooks m_hooks;
    HostLease m_lease;
    FleetView m_fleet;
    std::map<ShardId, Shard> m_shards;
    std::map<TargetId, ShardId> m_shardByTarget;
    std::optional<QueueTable> m_queues;
    /** The target list has not been read since this host follows it. */
    bool m_isTargetListNew { false };
    PrefixWatcher m_configuration;
    PrefixWatcher m_targetList;
    PrefixWatcher m_fleetList;
    JobEntrance m_entrance;
    LoadFeed m_loadFeed;
    std::map<HostId, Incarnation> m_knownIncarnations;
    HostLinks m_links;
    /** When the timer that sends the loads last fired. */
    TimePoint m_lastLoadTimerRun { TimePoint::max() };
    TimePoint m_loadTimerDue { TimePoint::max() };
    TimePoint m_lastLoopLagLog { distantPast };
    TimePoint m_resumedAt { distantPast };
    bool m_isRegistered { false };
    bool m_isDraining { false };
    TimePoint m_lastInterruptionLog { distantPast };
};

ShardNode::ShardNode(
    Settings settings, KeyValueStore store, TargetCalls targets, Timers timers, const Clock& clock, Hooks hooks)
    : m_impl(std::make_unique<Impl>(
        std::move(settings), std::move(store), std::move(targets), std::move(timers), clock, std::move(hooks)))
{
}

ShardNode::~ShardNode() = default;

void ShardNode::start() { m_impl->start(); }

void ShardNode::drain() { m_impl->drain(); }

void ShardNode::received(const protocol::Envelope& message) { m_impl->received(message); }

JobEntrance& ShardNode::entrance() { return m_impl->entrance(); }

const QueueTable* ShardNode::queues() const { return m_impl->queues(); }

bool ShardNode::isHolding() const { return m_impl->isHolding(); }

bool ShardNode::isReady() const { return m_impl->isReady(); }

ShardDispatcher* ShardNode::dispatcher(const ShardId& shard) { return m_impl->dispatcher(shard); }

}
