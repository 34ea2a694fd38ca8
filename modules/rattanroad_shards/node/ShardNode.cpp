#include "rattanroad_shards/node/ShardNode.h"

#include "rattanroad_shards/holding/StoreKeys.h"
#include "rattanroad_shards/node/HostLinks.h"
#include "rattanroad_shards/node/OperatorKeys.h"
#include "rattanroad_shards/node/TargetListFollower.h"

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
        settings.jobs.retention = limits.jobRetention();
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
        , m_operatorKeys(operatorSettings(), m_store, m_timers, clock, operatorHooks())
        , m_targetList(targetListSettings(), m_store, m_timers, clock, targetListHooks())
        , m_fleetList({ storekeys::fleetPrefix }, m_store, m_timers, clock, fleetHooks())
        , m_entrance(entranceSettings(), m_store, m_fleet, m_timers, clock, entranceHooks())
        , m_loadFeed(feedSettings(), m_fleet, m_entrance.loads(), clock,
              { [this](const std::string& address, const protocol::Envelope& message) {
                   return m_links.send(address, message);
               },
                  [this] { return envelope(); } })
        , m_links({ m_settings.address }, clock, { m_hooks.send, m_hooks.hostStarted, [this] { return envelope(); } })
        , m_handovers(m_settings.handover, m_timers, clock,
              [this](const std::string& address, const protocol::Envelope& message) {
                  return m_links.send(address, message);
              })
        , m_loopMonitor(m_settings.loop, clock, { m_hooks.loopLag, [this](Duration lag) { reportLateLoop(lag); } })
    {
        makeShards();
    }

    void start()
    {
        m_operatorKeys.start();
        m_fleetList.start();
        m_lease.start();
        updateLoads();
        openLinks();
        reviewElections();
        m_targetList.start();
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
        m_loopMonitor.detectPause();
        if (message.has_shard_submit() && m_clock.now() - m_loopMonitor.resumedAt() < m_settings.staleMessageWindow)
            return;
        m_links.open(message.from_host());
        if (message.has_shard_load()) {
            const protocol::ShardLoad& load = message.shard_load();
            if (load.evacuated() && load.address() == m_settings.address && m_shards.count(ShardId(load.shard())))
                m_operatorKeys.evacuationReported(FailureDomainId(load.shard()));
            else
                loadReceived(load, message.from_host());
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
            m_targetList.readFor(shard->first);
            return;
        }
        if (message.has_shard_job_transfer()) {
            transferReceived(message.shard_job_transfer(), message.from_host());
            return;
        }
        if (message.has_shard_job_transfer_reply()) {
            const protocol::ShardJobTransferReply& reply = message.shard_job_transfer_reply();
            const auto from = m_shards.find(ShardId(reply.from_shard()));
            if (from != m_shards.end())
                from->second.dispatcher->transferAcknowledged(JobId(reply.id()), ShardId(reply.to_shard()));
            return;
        }
        m_entrance.received(message);
    }

    JobEntrance& entrance() { return m_entrance; }
    const QueueTable* queues() const { return m_operatorKeys.queues(); }
    bool isHolding() const
    {
        return std::any_of(
            m_shards.begin(), m_shards.end(), [](const auto& entry) { return entry.second.election->isHeld(); });
    }

    bool isReady() const { return queues() && !m_isDraining && m_entrance.canServe(); }

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
            hooks.jobGivenUp = [this, shard](const ShardJob& job, std::chrono::milliseconds retryAfter) {
                returnJob(shard, job, retryAfter);
            };
            hooks.keyChanged = [this, shard] { m_shards[shard].election->keyChanged(); };
            hooks.displaced = [this, shard] { m_shards[shard].election->displaced(); };
            hooks.tokenRaiseNeeded = [this, shard] { m_shards[shard].election->requestTokenRaise(); };
            hooks.isStoreLost = [this] { return isStoreLost(); };
            hooks.isEvacuated = [this, domain] { return m_operatorKeys.evacuations().isEvacuated(domain); };
            hooks.areStartsAllowed
                = [this, domain] { return m_operatorKeys.evacuations().mayStart(domain, isStoreLost()); };
            hooks.chooseShard
                = [this, shard](const protocol::PlacedJob& job) { return m_entrance.loads().choose(job, shard); };
            hooks.jobAssigned = [this](const protocol::PlacedJob& job, const ShardId& to) {
                m_entrance.jobAssigned(to, job, m_settings.transferTime);
            };
            hooks.notifyTransfer
                = [this, shard](const JobId& job, const ShardId& to) { notifyTransfer(job, shard, to); };
            hooks.jobSentElsewhere = [this, shard](const JobId& job, const std::string& origin) {
                protocol::Envelope message = envelope();
                message.mutable_shard_job_returned()->set_id(job.value());
                message.mutable_shard_job_returned()->set_shard(shard.value());
                message.mutable_shard_job_returned()->set_reason(protocol::ShardJobReturned::OTHER_SHARD);
                sendOrReceive(origin, message);
            };
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
                        { "target_list_age_ms", std::to_string(m_targetList.age().count()) },
                        { "millicores", std::to_string(m_settings.processor.value()) } });
                m_shards[shard].dispatcher->begin(holding);
                m_entrance.homes().begin(shard, holding.generation == Generation(1) && !holding.isContinued);
                // Nothing starts until the list is current as of the acquisition.
                m_targetList.refresh();
                if (!holding.isContinued)
                    m_timers.after(m_settings.displacementTime, [this, shard] { m_targetList.readFor(shard); });
            };
            electionHooks.tokenRaised = [this, shard](FencingToken token) {
                m_hooks.log(
                    "shard_token_raised", { { "shard", shard.value() }, { "token", std::to_string(token.value()) } });
                m_shards[shard].dispatcher->raiseToken(token);
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
        settings.homes.maximumRunAfterAttempt = m_settings.limits.maximumLeaseAfterSubmission();
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

    OperatorKeys::Settings operatorSettings() const
    {
        EvacuationTable::Settings evacuations;
        evacuations.bound = m_settings.limits.evacuation;
        return { m_settings.operatorPrefix, m_settings.configurationKey, m_settings.evacuationPrefix,
            m_settings.failureDomains, evacuations };
    }

    OperatorKeys::Hooks operatorHooks()
    {
        OperatorKeys::Hooks hooks;
        hooks.parseConfiguration = m_hooks.parseConfiguration;
        hooks.parseEvacuation = m_hooks.parseEvacuation;
        hooks.evacuationChanged = [this](const FailureDomainId& domain) {
            const ShardId shard(domain.value());
            // First, so that jobs that are returned go to another shard.
            m_entrance.setEvacuated(shard, m_operatorKeys.evacuations().isEvacuated(domain));
            m_shards.at(shard).dispatcher->evacuationChanged();
        };
        hooks.interrupted = [this] { storeInterrupted(); };
        hooks.log = m_hooks.log;
        return hooks;
    }

    TargetListFollower::Settings targetListSettings() const
    {
        return { m_settings.targetPrefix, m_settings.followInterval, m_settings.limits.targetListPause(),
            m_settings.idleTargetListPause };
    }

    TargetListFollower::Hooks targetListHooks()
    {
        TargetListFollower::Hooks hooks;
        hooks.parseTarget = m_hooks.parseTarget;
        hooks.dispatcher = [this](const ShardId& shard) {
            const auto found = m_shards.find(shard);
            return found == m_shards.end() ? nullptr : found->second.dispatcher.get();
        };
        hooks.allDispatchers = [this] {
            std::vector<ShardDispatcher*> dispatchers;
            for (const auto& entry : m_shards)
                dispatchers.push_back(entry.second.dispatcher.get());
            return dispatchers;
        };
        hooks.isHolding = [this] { return isHolding(); };
        hooks.isNeeded = [this]() -> std::optional<bool> {
            // Before the other hosts are known, every host would be the next one.
            if (!m_fleetList.isSynchronized())
                return std::nullopt;
            return isHolding() || (!m_isDraining && isNextHolder());
        };
        hooks.interrupted = [this] { storeInterrupted(); };
        hooks.log = [this](const char* event, const TargetId& target) {
            if (target.value().empty())
                m_hooks.log(event, {});
            else
                m_hooks.log(event, { { "target", target.value() } });
        };
        return hooks;
    }

    bool isStoreLost() const { return !m_lease.isValid() && m_targetList.failures() >= m_settings.lostStoreFailures; }

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

    /** Sends the jobs of a shard that this host no longer holds to the new holder. */
    void handOver(const ShardId& shard)
    {
        const ShardHolder* const holder = m_fleet.holder(shard);
        if (m_shards[shard].election->isHeld() || !holder || holder->host == m_settings.host)
            return;
        protocol::Envelope message = envelope();
        *message.mutable_shard_handover() = m_shards[shard].dispatcher->takeHandover();
        if (message.shard_handover().jobs_size() > 0 || message.shard_handover().stored_jobs_size() > 0)
            m_handovers.send(holder->address, message);
    }

    protocol::Envelope envelope() const
    {
        protocol::Envelope envelope;
        envelope.set_version(protocol::protocolVersion);
        envelope.set_from_host(m_settings.address);
        envelope.set_from_incarnation(m_settings.incarnation.value());
        return envelope;
    }

    void reportLateLoop(Duration lag)
    {
        const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(lag).count();
        m_hooks.log("loop_late",
            { { "delay_ms", std::to_string(milliseconds) }, { "holding", isHolding() ? "true" : "false" },
                { "millicores", std::to_string(m_settings.processor.value()) } });
    }

    void updateLoads()
    {
        m_loopMonitor.timerFired();
        m_operatorKeys.removeOutdatedReports();
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
        m_loopMonitor.timerSet(m_clock.now() + m_settings.loadInterval);
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
        if (isFromHolder && !load.evacuated())
            reportEvacuation(load);
        if (isFromHolder && m_entrance.loads().hasLaterHolder(shard, generation))
            m_loadFeed.correct(load);
        m_entrance.loadReceived(load);
        m_links.open(load.address());
        handOverEnds(shard, generation, load.address());
    }

    /** Sends the ends of stored jobs that this host could not store as a holder to a later holder. A host that cannot
        reach the store learns of it from its load. */
    void handOverEnds(const ShardId& shard, Generation generation, const std::string& address)
    {
        ShardDispatcher& dispatcher = *m_shards[shard].dispatcher;
        if (m_shards[shard].election->isHeld() || generation <= dispatcher.lostGeneration())
            return;
        protocol::Envelope message = envelope();
        *message.mutable_shard_handover() = dispatcher.takeUnstoredEnds();
        if (message.shard_handover().stored_jobs_size() > 0)
            m_handovers.send(address, message);
    }

    /** Tells the holder of a shard that its failure domain is evacuated, which it seems not to know. */
    void reportEvacuation(const protocol::ShardLoad& load)
    {
        const auto* const evacuation = m_operatorKeys.evacuations().find(FailureDomainId(load.shard()));
        const bool isKnown = evacuation && evacuation->source == EvacuationTable::Source::Store
            && m_clock.now() - evacuation->knownSince >= m_settings.evacuationReportDelay;
        if (!isKnown)
            return;
        protocol::Envelope message = envelope();
        *message.mutable_shard_load() = load;
        message.mutable_shard_load()->set_evacuated(true);
        m_links.send(load.address(), message);
    }

    void notifyTransfer(const JobId& job, const ShardId& from, const ShardId& to)
    {
        const std::string* const address = dispatcher(to) ? &m_settings.address : m_entrance.loads().holderAddress(to);
        if (!address)
            return;
        protocol::Envelope message = envelope();
        message.mutable_shard_job_transfer()->set_id(job.value());
        message.mutable_shard_job_transfer()->set_from_shard(from.value());
        message.mutable_shard_job_transfer()->set_to_shard(to.value());
        sendOrReceive(std::string(*address), message);
    }

    void transferReceived(const protocol::ShardJobTransfer& transfer, const std::string& sender)
    {
        ShardDispatcher* const receiver = dispatcher(ShardId(transfer.to_shard()));
        if (!receiver)
            return;
        receiver->transferReceived(JobId(transfer.id()), [this, transfer, sender] {
            protocol::Envelope message = envelope();
            message.mutable_shard_job_transfer_reply()->set_id(transfer.id());
            message.mutable_shard_job_transfer_reply()->set_from_shard(transfer.from_shard());
            message.mutable_shard_job_transfer_reply()->set_to_shard(transfer.to_shard());
            sendOrReceive(sender, message);
        });
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

    bool isNextHolder() const
    {
        return std::any_of(m_shards.begin(), m_shards.end(),
            [this](const auto& entry) { return entry.second.election->rank() < m_settings.followersPerShard; });
    }

    void reportJobEnd(const ShardJob& job)
    {
        if (m_hooks.jobDuration && job.endedAt)
            m_hooks.jobDuration(*job.endedAt - job.receivedAt);
        if (job.originAddress.empty())
            return;
        protocol::Envelope message = envelope();
        message.mutable_shard_job_reply()->set_id(job.id.value());
        message.mutable_shard_job_reply()->set_known(true);
        message.mutable_shard_job_reply()->set_state(static_cast<std::uint32_t>(job.state));
        sendOrReceive(job.originAddress, message);
    }

    /** Sends a message to another host, or handles it if it is for this one. */
    void sendOrReceive(const std::string& address, const protocol::Envelope& message)
    {
        if (address == m_settings.address)
            received(message);
        else
            m_links.send(address, message);
    }

    /** Tells the origin of a job that its caller cannot be answered in time. */
    void returnJob(const ShardId& shard, const ShardJob& job, std::chrono::milliseconds retryAfter)
    {
        if (job.originAddress.empty())
            return;
        protocol::Envelope message = envelope();
        protocol::ShardJobReturned& returned = *message.mutable_shard_job_returned();
        returned.set_id(job.id.value());
        returned.set_shard(shard.value());
        returned.set_reason(protocol::ShardJobReturned::NO_ROOM_IN_TIME);
        returned.set_may_have_run(job.mayHaveRun());
        returned.set_retry_after_ms(static_cast<std::uint32_t>(retryAfter.count()));
        if (job.originAddress == m_settings.address)
            m_entrance.received(message);
        else
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
    OperatorKeys m_operatorKeys;
    TargetListFollower m_targetList;
    PrefixWatcher m_fleetList;
    JobEntrance m_entrance;
    LoadFeed m_loadFeed;
    std::map<HostId, Incarnation> m_knownIncarnations;
    HostLinks m_links;
    HandoverSender m_handovers;
    /** Watches the timer that sends the loads. */
    LoopMonitor m_loopMonitor;
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
