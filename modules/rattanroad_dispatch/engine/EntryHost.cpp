#include "rattanroad_dispatch/engine/EntryHost.h"

#include "rattanroad_dispatch/engine/AnswerCache.h"
#include "rattanroad_dispatch/engine/Forwarder.h"
#include "rattanroad_dispatch/engine/KeeperAssignment.h"
#include "rattanroad_dispatch/engine/SubmissionRouter.h"

#include <algorithm>
#include <cassert>
#include <deque>

namespace rattanroad {

namespace {

    // Local messages can trigger further ones; a longer chain than this within one flush would be an endless loop.
    constexpr int maximumLocalRounds = 1000;
    constexpr Duration cacheExpiryInterval = std::chrono::seconds(1);
    // Short against the shortest tasks; a refresh costs some microseconds for each known keeper.
    constexpr Duration ownOfferAge = std::chrono::milliseconds(10);
    constexpr Duration keyHomeRetryInterval = std::chrono::seconds(2);

    protocol::ForwardedAnswer messageFromAnswer(std::uint64_t request, const JobAnswer& answer)
    {
        protocol::ForwardedAnswer message;
        message.set_request(request);
        if (answer.submissionId)
            message.set_submission_id(answer.submissionId->text());
        message.set_complete(answer.isComplete);
        message.set_in_progress(answer.isInProgress);
        for (const auto& result : answer.results)
            message.add_results(result);
        if (!answer.isComplete)
            *message.mutable_failure() = protocol::toMessage(answer.failure);
        return message;
    }

}

class EntryHost::Impl {
public:
    Impl(EntryHostSettings settings, Clock& clock, RandomSource& random, EntryHostHooks hooks);

    void submit(JobRequest request, Forwarder::Kind kind, AnswerCallback answer);
    void peerMessage(const protocol::Envelope& envelope);
    void offerConfiguration(ConfigurationValue value) { m_configuration.offer(std::move(value)); }
    void beginDrain();
    bool isDrained() const { return m_isReleased && isIdle(); }
    void keyHomeRegistered(bool hadPredecessor);
    void flush();
    void tick();
    TimePoint nextWakeup() const;
    Statistics statistics() const;
    SubmissionRouter::Request request(Forwarder::Kind kind, const SubmissionId& id, AnswerCallback answer) const;
    void sendToHost(const HostId& host, protocol::Envelope&& envelope);

    EntryHostSettings m_settings;
    Clock& m_clock;
    RandomSource& m_random;
    EntryHostHooks m_hooks;
    TimerQueue m_timers;
    ConfigurationHolder m_configuration;
    MemberTable m_members;
    SubmissionLedger m_ledger;
    SlotKeeper m_keeper;
    SlotBorrower m_borrower;
    AdmissionControl m_admission;
    RetryPolicy m_retry;
    QueueWaitEstimator m_queueWaitEstimator;
    RunTimeEstimator m_runTimeEstimator;
    AnswerCache m_answers;
    KeyHome m_keyHome;
    JobRunner m_runner;
    Forwarder m_forwarder;
    SubmissionRouter m_router;
    std::vector<TargetId> m_keptTargets;
    bool m_isDraining { false };
    bool m_isReleased { false };

private:
    MemberTable::Hooks memberHooks();
    SubmissionLedger::Hooks ledgerHooks();
    SlotBorrower::Hooks borrowerHooks();
    JobRunner::Hooks runnerHooks();
    std::shared_ptr<const Inventory> inventory() const;

    void decide(SubmissionRouter::Request request);
    void decideByKey(SubmissionRouter::Request request);
    void registerKeyHome();
    void deliver(const protocol::Envelope& envelope);
    void forwardedSubmission(const protocol::Envelope& envelope);
    void forwardedRequest(
        const HostId& from, Forwarder::Kind kind, std::uint64_t number, const std::string& id, std::uint32_t hops);
    void answerPeer(const HostId& host, std::uint64_t number, const JobAnswer& answer);
    void membersChanged();
    void assignKeepers();
    void updateOffers();
    void superseded(const SegmentKey& segment);
    void recovered(RecoveredSubmission&& submission);
    void releaseWhenIdle();
    /** Nothing that a caller waits for is in progress, and no attempt holds a slot. */
    bool isIdle() const
    {
        return m_runner.activeJobs() == 0 && m_forwarder.outstanding() == 0 && m_router.waiting() == 0;
    }
    bool areAllFlushed() const { return m_localMessages.empty(); }

    std::deque<protocol::Envelope> m_localMessages;
    std::map<HostId, std::pair<std::vector<protocol::FreeSlots>, TimePoint>> m_freeSlots;
    // Requests of other hosts in progress here, so that a repeated one does not add a second waiter.
    std::set<std::pair<HostId, std::uint64_t>> m_forwardedHere;
    TimePoint m_nextExpiry;
    bool m_isKeyHomeRegistered { false };
    bool m_areOffersStale { true };
    TimePoint m_offersUpdatedAt;
    std::uint64_t m_messagesSent { 0 };
};

EntryHost::Impl::Impl(EntryHostSettings settings, Clock& clock, RandomSource& random, EntryHostHooks hooks)
    : m_settings(std::move(settings))
    , m_clock(clock)
    , m_random(random)
    , m_hooks(std::move(hooks))
    , m_configuration([this](const ConfigurationValue& value) {
        m_keyHome.configurationInstalled(*value.inventory);
        assignKeepers();
        if (m_hooks.configurationInstalled)
            m_hooks.configurationInstalled(value);
    })
    , m_members(m_settings.membership, clock, random, memberHooks())
    , m_ledger(m_settings.ledger, clock, random, ledgerHooks())
    , m_keeper(m_settings.keeper, clock, random,
          { [this](const HostId& host, protocol::Envelope&& envelope) { sendToHost(host, std::move(envelope)); } })
    , m_borrower(m_settings.borrower, clock, random, borrowerHooks())
    , m_admission(m_settings.admission)
    , m_retry(m_settings.retry, random)
    , m_queueWaitEstimator(clock)
    , m_answers(clock, m_settings.ledger.retention, m_settings.answerCacheSize)
    , m_keyHome(m_settings.keyHome, clock)
    , m_runner(m_settings.runner,
          { clock, random, m_timers, m_ledger, m_borrower, m_admission, m_retry, m_queueWaitEstimator,
              m_runTimeEstimator },
          runnerHooks())
    , m_forwarder(clock,
          { [this](const HostId& host, protocol::Envelope&& envelope) { sendToHost(host, std::move(envelope)); },
              [this](Forwarder::Request&& request) {
                  ++request.hops;
                  decide(std::move(request));
              } })
    , m_router(
          { clock, m_ledger, m_runner, m_answers, m_forwarder, m_admission, m_queueWaitEstimator, m_runTimeEstimator },
          { [this] { return inventory(); }, [this] { return m_isDraining; },
              [this](const HostId& host) { return m_members.find(host) != nullptr; } })
    , m_nextExpiry(clock.now() + cacheExpiryInterval)
{
    membersChanged();
    registerKeyHome();
}

void EntryHost::Impl::keyHomeRegistered(bool hadPredecessor)
{
    m_isKeyHomeRegistered = true;
    m_keyHome.registered(hadPredecessor);
}

void EntryHost::Impl::registerKeyHome()
{
    if (m_isKeyHomeRegistered || !m_hooks.registerKeyHome)
        return;
    m_timers.schedule(m_clock.now(), [this] { m_hooks.registerKeyHome(); });
    m_timers.schedule(m_clock.now() + keyHomeRetryInterval, [this] { registerKeyHome(); });
}

std::shared_ptr<const Inventory> EntryHost::Impl::inventory() const
{
    const auto current = m_configuration.current();
    return current ? current->inventory : nullptr;
}

MemberTable::Hooks EntryHost::Impl::memberHooks()
{
    MemberTable::Hooks hooks;
    // The member table has put this host's name on its messages already.
    hooks.send = [this](const std::string& address, protocol::Envelope&& envelope) {
        ++m_messagesSent;
        m_hooks.sendToPeer(address, std::move(envelope));
    };
    hooks.fillHeartbeat = [this](protocol::Heartbeat& heartbeat) {
        heartbeat.set_configuration_revision(m_configuration.revision().value());
        for (auto& slots : m_keeper.freeSlots())
            *heartbeat.add_free_slots() = std::move(slots);
    };
    hooks.changed = [this] { membersChanged(); };
    return hooks;
}

SubmissionLedger::Hooks EntryHost::Impl::ledgerHooks()
{
    SubmissionLedger::Hooks hooks;
    hooks.sendToPeer
        = [this](const HostId& host, protocol::Envelope&& envelope) { sendToHost(host, std::move(envelope)); };
    hooks.changeView = [this](const ViewChange& change) { m_hooks.changeView(change); };
    hooks.recovered = [this](RecoveredSubmission&& submission) { recovered(std::move(submission)); };
    hooks.superseded = [this](const SegmentKey& segment, const SegmentView&) { superseded(segment); };
    hooks.standingChanged = [this](const SegmentKey& segment) {
        // Deferred, so that the ledger has finished its own change before it is asked again.
        m_timers.schedule(m_clock.now(), [this, segment] { m_router.standingChanged(segment); });
    };
    return hooks;
}

SlotBorrower::Hooks EntryHost::Impl::borrowerHooks()
{
    SlotBorrower::Hooks hooks;
    hooks.send = [this](const HostId& host, protocol::Envelope&& envelope) { sendToHost(host, std::move(envelope)); };
    hooks.bind = [this](DemandId demand, const BorrowedSlot& slot) { return m_runner.bind(demand, slot); };
    hooks.refused = [this](DemandId demand, const Failure& failure) { m_runner.demandRefused(demand, failure); };
    return hooks;
}

JobRunner::Hooks EntryHost::Impl::runnerHooks()
{
    JobRunner::Hooks hooks;
    hooks.startTask = [this](const TaskStart& start) { m_hooks.startTask(start); };
    hooks.cancelTask = [this](const TaskKey& key) { m_hooks.cancelTask(key); };
    hooks.ended = [this](const SubmissionId& id, const JobAnswer& answer) { m_answers.insert(id, answer); };
    hooks.recordSpan = m_hooks.recordSpan;
    hooks.inventory = [this] { return inventory(); };
    return hooks;
}

void EntryHost::Impl::sendToHost(const HostId& host, protocol::Envelope&& envelope)
{
    const auto& self = m_settings.membership.self;
    envelope.set_version(protocol::protocolVersion);
    envelope.set_from_host(self.host.value());
    envelope.set_from_incarnation(self.incarnation.value());
    if (host == self.host) {
        m_localMessages.push_back(std::move(envelope));
        return;
    }
    const auto member = m_members.find(host);
    if (!member)
        return;
    ++m_messagesSent;
    m_hooks.sendToPeer(member->address, std::move(envelope));
}

void EntryHost::Impl::submit(JobRequest job, Forwarder::Kind kind, AnswerCallback answer)
{
    SubmissionRouter::Request request;
    request.kind = kind;
    request.deadline = m_clock.now() + std::chrono::milliseconds(job.job.deadline_left_ms()) + m_settings.forwardGrace;
    request.answer = std::move(answer);
    request.job = std::move(job);
    decide(std::move(request));
}

void EntryHost::Impl::decide(SubmissionRouter::Request request)
{
    // Demands go where offers say that slots are free, and those of the own keeper change without a message.
    if (m_clock.now() >= m_offersUpdatedAt + ownOfferAge) {
        m_areOffersStale = true;
        updateOffers();
    }
    if (request.job.submissionId)
        return m_router.route(std::move(request));
    if (!request.job.job.idempotency_key().empty())
        return decideByKey(std::move(request));
    if (m_isDraining)
        return SubmissionRouter::answerFailure(
            request, { FailureCode::Draining, RunState::NotRun, "this host is shutting down" });
    request.job.submissionId = m_ledger.mintIds(1).front();
    m_router.route(std::move(request));
}

void EntryHost::Impl::decideByKey(SubmissionRouter::Request request)
{
    // The key may have been used before at a host that cannot be asked, so "not run" could be wrong.
    const auto fail = [&request](FailureCode code, const std::string& detail) {
        SubmissionRouter::answerFailure(request, { code, RunState::OutcomeUnknown, detail });
    };
    const auto current = inventory();
    if (!current)
        return fail(FailureCode::ConfigurationMissing, "this host has no configuration yet");
    const KeyHome::Key key { TeamId(request.job.job.team()), request.job.job.idempotency_key() };
    const auto home = KeyHome::homeOf(key, *current);
    if (!home)
        return fail(FailureCode::NotDecidedHere, "the configuration lists no entry host that could decide about a key");
    if (*home != m_settings.membership.self.host) {
        if (request.hops > 0 || !m_members.find(*home))
            return fail(FailureCode::NotDecidedHere,
                "host " + home->value() + " decides about the key and cannot be reached from here");
        return m_forwarder.forward(*home, std::move(request));
    }
    if (const auto known = m_keyHome.find(key)) {
        request.job.submissionId = *known;
        return m_router.route(std::move(request));
    }
    if (const auto refusal = m_keyHome.refusal(key))
        return fail(refusal->code, refusal->detail);
    if (m_isDraining)
        return fail(FailureCode::Draining, "this host is shutting down");
    request.job.submissionId = m_ledger.mintIds(1).front();
    m_keyHome.bind(key, *request.job.submissionId);
    m_router.route(std::move(request));
}

SubmissionRouter::Request EntryHost::Impl::request(
    Forwarder::Kind kind, const SubmissionId& id, AnswerCallback answer) const
{
    SubmissionRouter::Request request;
    request.kind = kind;
    request.job.submissionId = id;
    request.answer = std::move(answer);
    request.deadline = m_clock.now() + m_settings.queryTimeout;
    return request;
}

void EntryHost::Impl::peerMessage(const protocol::Envelope& envelope)
{
    if (envelope.version() != protocol::protocolVersion || envelope.from_host().empty())
        return;
    const HostId from(envelope.from_host());
    const auto heartbeat = envelope.has_heartbeat() ? &envelope.heartbeat() : nullptr;
    m_members.heardFrom(from, Incarnation(envelope.from_incarnation()), heartbeat);
    const auto member = m_members.find(from);
    // A message of an earlier incarnation, delayed in the network, must not act for the present one.
    if (!member || member->incarnation != Incarnation(envelope.from_incarnation()))
        return;
    if (heartbeat) {
        m_freeSlots[from] = { { heartbeat->free_slots().begin(), heartbeat->free_slots().end() }, m_clock.now() };
        m_areOffersStale = true;
        if (m_hooks.revisionSeen)
            m_hooks.revisionSeen(from, Revision(heartbeat->configuration_revision()));
        return;
    }
    deliver(envelope);
}

void EntryHost::Impl::deliver(const protocol::Envelope& envelope)
{
    const HostId from(envelope.from_host());
    const Incarnation incarnation(envelope.from_incarnation());
    using Body = protocol::Envelope::BodyCase;
    switch (envelope.body_case()) {
    case Body::kSegmentOpen:
    case Body::kSegmentOpenReply:
    case Body::kJournalAppend:
    case Body::kJournalAcknowledgement:
        return m_ledger.peerMessage(from, incarnation, envelope);
    case Body::kSlotDemand:
    case Body::kSlotReturn:
        return m_keeper.peerMessage(from, envelope);
    case Body::kSlotGrant:
        return m_borrower.peerMessage(from, envelope);
    case Body::kSlotReport:
        return envelope.slot_report().request() ? m_borrower.peerMessage(from, envelope)
                                                : m_keeper.peerMessage(from, envelope);
    case Body::kForwardedSubmission:
        return forwardedSubmission(envelope);
    case Body::kForwardedQuery: {
        const auto& query = envelope.forwarded_query();
        return forwardedRequest(from, Forwarder::Kind::Query, query.request(), query.submission_id(), query.hops());
    }
    case Body::kForwardedCancel: {
        const auto& cancel = envelope.forwarded_cancel();
        return forwardedRequest(from, Forwarder::Kind::Cancel, cancel.request(), cancel.submission_id(), cancel.hops());
    }
    case Body::kForwardedAnswer:
        return m_forwarder.answerReceived(envelope.forwarded_answer());
    case Body::kConfigurationPull:
    case Body::kConfigurationPush:
        if (const auto member = m_members.find(from); member && m_hooks.configurationMessage)
            m_hooks.configurationMessage(*member, envelope);
        return;
    case Body::kHeartbeat:
    case Body::BODY_NOT_SET:
    // Messages of hosts whose jobs live in the platform's store.
    case Body::kShardSubmit:
    case Body::kShardSubmitReply:
    case Body::kShardQuery:
    case Body::kShardCancel:
    case Body::kShardJobReply:
    case Body::kShardLoad:
    case Body::kShardHandover:
    case Body::kShardLoads:
    case Body::kLoadSubscription:
        return;
    }
}

void EntryHost::Impl::answerPeer(const HostId& host, std::uint64_t number, const JobAnswer& answer)
{
    protocol::Envelope envelope;
    *envelope.mutable_forwarded_answer() = messageFromAnswer(number, answer);
    sendToHost(host, std::move(envelope));
}

void EntryHost::Impl::forwardedSubmission(const protocol::Envelope& envelope)
{
    const HostId from(envelope.from_host());
    const auto& message = envelope.forwarded_submission();
    const auto number = message.request();
    const auto key = std::make_pair(from, number);
    JobAnswer answer;
    SubmissionRouter::Request request;
    const bool isByKey = message.submission_id().empty() && !message.job().idempotency_key().empty();
    if (!isByKey) {
        const auto id = SubmissionId::parse(message.submission_id());
        if (!id) {
            answer.failure = id.lastReason();
            return answerPeer(from, number, answer);
        }
        request.job.submissionId = *id;
    }
    if (!m_forwardedHere.insert(key).second) {
        answer.submissionId = request.job.submissionId;
        answer.isInProgress = true;
        return answerPeer(from, number, answer);
    }
    request.kind = message.asynchronous() ? Forwarder::Kind::AsynchronousSubmission : Forwarder::Kind::Submission;
    request.job.job = message.job();
    request.hops = message.hops();
    request.deadline = m_clock.now() + std::chrono::milliseconds(message.job().deadline_left_ms());
    request.answer = [this, from, number, key](const JobAnswer& result) {
        m_forwardedHere.erase(key);
        answerPeer(from, number, result);
    };
    decide(std::move(request));
}

void EntryHost::Impl::forwardedRequest(
    const HostId& from, Forwarder::Kind kind, std::uint64_t number, const std::string& id, std::uint32_t hops)
{
    const auto parsed = SubmissionId::parse(id);
    if (!parsed) {
        JobAnswer answer;
        answer.failure = parsed.lastReason();
        return answerPeer(from, number, answer);
    }
    auto forwarded
        = request(kind, *parsed, [this, from, number](const JobAnswer& answer) { answerPeer(from, number, answer); });
    forwarded.hops = hops;
    m_router.route(std::move(forwarded));
}

void EntryHost::Impl::membersChanged()
{
    const auto live = m_members.liveMembers();
    std::set<HostId> hosts;
    std::vector<std::pair<int, const Member*>> ranked;
    const auto& self = m_settings.membership.self;
    for (const auto& member : live) {
        hosts.insert(member.host);
        if (member.isDraining)
            continue;
        // Backups: own domain before others (latency), another rack before the own one (common failure).
        const int distance = member.failureDomain != self.failureDomain ? (member.region == self.region ? 2 : 3)
                                                                        : (member.rack == self.rack ? 1 : 0);
        ranked.emplace_back(distance, &member);
    }
    std::stable_sort(
        ranked.begin(), ranked.end(), [](const auto& left, const auto& right) { return left.first < right.first; });
    std::vector<std::pair<HostId, Incarnation>> peers;
    peers.reserve(live.size());
    for (const auto& [distance, member] : ranked)
        peers.emplace_back(member->host, member->incarnation);
    // Draining peers still hold journals, so they count as alive, but last.
    for (const auto& member : live) {
        if (member.isDraining)
            peers.emplace_back(member.host, member.incarnation);
    }
    for (auto entry = m_freeSlots.begin(); entry != m_freeSlots.end();) {
        if (hosts.count(entry->first)) {
            ++entry;
            continue;
        }
        m_keeper.hostDied(entry->first);
        entry = m_freeSlots.erase(entry);
    }
    m_ledger.setLivePeers(peers);
    m_forwarder.setLiveHosts(hosts);
    m_areOffersStale = true;
    assignKeepers();
    if (m_hooks.membersChanged)
        m_hooks.membersChanged();
}

void EntryHost::Impl::assignKeepers()
{
    const auto current = inventory();
    if (!current)
        return;
    auto members = m_members.liveMembers();
    std::vector<HostId> liveHosts;
    liveHosts.reserve(members.size());
    for (const auto& member : members)
        liveHosts.push_back(member.host);
    auto self = m_members.self();
    self.isDraining = m_isDraining;
    members.push_back(self);
    m_keptTargets = KeeperAssignment::keptTargets(*current, self, members);
    m_keeper.setKeptTargets(current, m_keptTargets, liveHosts);
    m_areOffersStale = true;
}

void EntryHost::Impl::updateOffers()
{
    if (!m_areOffersStale)
        return;
    m_areOffersStale = false;
    m_offersUpdatedAt = m_clock.now();
    const auto& self = m_settings.membership.self;
    std::vector<SlotBorrower::KeeperOffer> offers;
    offers.push_back({ self.host, 0, m_keeper.freeSlots(), m_clock.now() });
    for (const auto& member : m_members.liveMembers()) {
        const auto advertised = m_freeSlots.find(member.host);
        if (advertised == m_freeSlots.end())
            continue;
        const int distance = member.failureDomain == self.failureDomain ? 1 : (member.region == self.region ? 2 : 3);
        offers.push_back({ member.host, distance, advertised->second.first, advertised->second.second });
    }
    m_borrower.setKeepers(std::move(offers));
}

void EntryHost::Impl::superseded(const SegmentKey& segment)
{
    for (auto& abandoned : m_runner.abandon(segment)) {
        for (auto& waiter : abandoned.waiters) {
            SubmissionRouter::Request request;
            request.job = abandoned.request;
            request.answer = std::move(waiter);
            request.deadline = m_clock.now() + std::chrono::milliseconds(request.job.job.deadline_left_ms());
            // Deferred, so that the ledger has finished its own change before it is asked again.
            m_timers.schedule(m_clock.now(), [this, request]() mutable { m_router.route(std::move(request)); });
        }
    }
}

void EntryHost::Impl::recovered(RecoveredSubmission&& submission)
{
    if (!submission.isSealed)
        return m_runner.resume(std::move(submission));
    JobAnswer answer;
    answer.submissionId = submission.id;
    answer.isComplete = submission.seal.complete();
    if (!answer.isComplete)
        answer.failure = protocol::fromMessage(submission.seal.failure());
    for (auto& task : submission.tasks) {
        if (!answer.isComplete)
            break;
        assert(task.state == RecoveredTask::State::Ended && task.outcome.succeeded());
        answer.results.push_back(std::move(*task.outcome.mutable_result()));
    }
    m_answers.insert(submission.id, std::move(answer));
}

void EntryHost::Impl::beginDrain()
{
    if (m_isDraining)
        return;
    m_isDraining = true;
    m_members.setDraining(true);
    assignKeepers();
}

void EntryHost::Impl::releaseWhenIdle()
{
    if (!m_isDraining || m_isReleased || !isIdle() || !areAllFlushed())
        return;
    m_ledger.releaseAll();
    m_ledger.flush();
    m_isReleased = true;
}

void EntryHost::Impl::flush()
{
    for (int round = 0; round < maximumLocalRounds; ++round) {
        m_timers.runDue(m_clock.now());
        updateOffers();
        m_borrower.flush();
        m_keeper.flush();
        m_ledger.flush();
        if (m_localMessages.empty())
            break;
        std::deque<protocol::Envelope> messages;
        messages.swap(m_localMessages);
        for (const auto& message : messages)
            deliver(message);
    }
    releaseWhenIdle();
}

void EntryHost::Impl::tick()
{
    const auto now = m_clock.now();
    m_members.tick();
    m_ledger.tick();
    m_keeper.tick();
    m_borrower.tick();
    m_forwarder.tick();
    m_router.tick();
    m_timers.runDue(now);
    if (now >= m_nextExpiry) {
        m_answers.expire();
        m_keyHome.expire();
        m_nextExpiry = now + cacheExpiryInterval;
    }
    flush();
}

TimePoint EntryHost::Impl::nextWakeup() const
{
    return std::min({ m_members.nextWakeup(), m_ledger.nextWakeup(), m_keeper.nextWakeup(), m_borrower.nextWakeup(),
        m_forwarder.nextWakeup(), m_router.nextWakeup(), m_timers.next(), m_nextExpiry });
}

EntryHost::Statistics EntryHost::Impl::statistics() const
{
    Statistics statistics;
    const auto& runner = m_runner.statistics();
    statistics.jobsAccepted = m_router.jobsAccepted();
    statistics.jobsCompleted = runner.jobsCompleted;
    statistics.jobsFailed = runner.jobsFailed;
    statistics.jobsRefused = m_router.jobsRefused();
    statistics.jobsJoined = m_router.jobsJoined();
    statistics.tasksStarted = runner.tasksStarted;
    statistics.tasksSucceeded = runner.tasksSucceeded;
    statistics.tasksFailed = runner.tasksFailed;
    statistics.tasksRetried = runner.tasksRetried;
    statistics.messagesSent = m_messagesSent;
    statistics.jobsActive = m_runner.activeJobs();
    statistics.tasksQueued = m_admission.queuedTasks();
    statistics.ledger = m_ledger.statistics();
    statistics.keeper = m_keeper.statistics();
    statistics.borrower = m_borrower.statistics();
    statistics.members = m_members.statistics();
    return statistics;
}

EntryHost::EntryHost(EntryHostSettings settings, Clock& clock, RandomSource& random, EntryHostHooks hooks)
    : m_impl(std::make_unique<Impl>(std::move(settings), clock, random, std::move(hooks)))
{
}

EntryHost::~EntryHost() = default;

std::vector<SubmissionId> EntryHost::mintIds(std::size_t count) { return m_impl->m_ledger.mintIds(count); }

void EntryHost::submit(JobRequest request, AnswerCallback answer)
{
    m_impl->submit(std::move(request), Forwarder::Kind::Submission, std::move(answer));
}

void EntryHost::submitAsynchronously(JobRequest request, AnswerCallback accepted)
{
    m_impl->submit(std::move(request), Forwarder::Kind::AsynchronousSubmission, std::move(accepted));
}

void EntryHost::query(const SubmissionId& id, AnswerCallback answer)
{
    m_impl->m_router.route(m_impl->request(Forwarder::Kind::Query, id, std::move(answer)));
}

void EntryHost::cancel(const SubmissionId& id, AnswerCallback answer)
{
    m_impl->m_router.route(m_impl->request(Forwarder::Kind::Cancel, id, std::move(answer)));
}

void EntryHost::peerMessage(const protocol::Envelope& envelope) { m_impl->peerMessage(envelope); }

void EntryHost::sendToHost(const HostId& host, protocol::Envelope&& envelope)
{
    m_impl->sendToHost(host, std::move(envelope));
}

void EntryHost::taskResult(TaskResult result) { m_impl->m_runner.taskResult(std::move(result)); }

void EntryHost::viewChangeResult(const ViewChangeResult& result) { m_impl->m_ledger.viewChangeResult(result); }

void EntryHost::keyHomeRegistered(bool hadPredecessor) { m_impl->keyHomeRegistered(hadPredecessor); }

void EntryHost::offerConfiguration(ConfigurationValue value) { m_impl->offerConfiguration(std::move(value)); }

void EntryHost::setLeavingTargets(const std::set<TargetId>& leaving) { m_impl->m_keeper.setLeavingTargets(leaving); }

void EntryHost::beginDrain() { m_impl->beginDrain(); }

bool EntryHost::isDraining() const { return m_impl->m_isDraining; }

bool EntryHost::isDrained() const { return m_impl->isDrained(); }

void EntryHost::flush() { m_impl->flush(); }

void EntryHost::tick() { m_impl->tick(); }

TimePoint EntryHost::nextWakeup() const { return m_impl->nextWakeup(); }

const ConfigurationHolder& EntryHost::configuration() const { return m_impl->m_configuration; }

const MemberTable& EntryHost::members() const { return m_impl->m_members; }

const std::vector<TargetId>& EntryHost::keptTargets() const { return m_impl->m_keptTargets; }

EntryHost::Statistics EntryHost::statistics() const { return m_impl->statistics(); }

std::vector<SlotKeeper::TargetStatus> EntryHost::targets() const { return m_impl->m_keeper.status(); }

}
