#include "rattanroad_shards/entrance/JobEntrance.h"

#include "rattanroad_shards/holding/StoreKeys.h"
#include "rattanroad_shards/jobs/JobMath.h"

#include <algorithm>

namespace rattanroad::shards {

namespace {
    /** Attempts are part of the request number on the wire, so that a late reply is told from the present one. */
    constexpr std::uint64_t attemptsPerRequest = 256;

    std::uint64_t wireNumber(std::uint64_t id, std::uint64_t attempt)
    {
        return id * attemptsPerRequest + attempt % attemptsPerRequest;
    }
}

JobEntrance::JobEntrance(
    Settings settings, KeyValueStore& store, const FleetView& fleet, Timers timers, const Clock& clock, Hooks hooks)
    : m_settings(std::move(settings))
    , m_store(store)
    , m_fleet(fleet)
    , m_timers(std::move(timers))
    , m_clock(clock)
    , m_hooks(std::move(hooks))
{
}

protocol::Envelope JobEntrance::envelope() const
{
    protocol::Envelope envelope;
    envelope.set_version(protocol::protocolVersion);
    envelope.set_from_host(m_settings.address);
    envelope.set_from_incarnation(m_settings.incarnation.value());
    return envelope;
}

std::uint64_t JobEntrance::submit(const protocol::PlacedJob& job, std::chrono::milliseconds wait, SubmitReply reply)
{
    if (!m_isTaking) {
        m_hooks.log("job_refused", JobId(job.id()), "this host is about to stop");
        reply(EntranceVerdict::Refused, m_settings.unavailableRetry);
        return 0;
    }
    const TimePoint now = m_clock.now();
    const auto limit = wait.count() > 0 ? wait : m_settings.defaultWait;
    const std::uint64_t id = ++m_lastRequest;
    m_submissions[id] = { job, now, now + limit, std::move(reply), ShardId(), 0, 0 };
    if (job.best_effort())
        m_awaited.emplace(JobId(job.id()), id);
    trySubmit(id);
    return id;
}

void JobEntrance::abandon(std::uint64_t id)
{
    const auto found = m_submissions.find(id);
    if (found == m_submissions.end())
        return;
    const Submission& submission = found->second;
    const JobId job(submission.job.id());
    m_hooks.log("job_abandoned", job,
        m_clock.now() >= submission.deadline ? "its caller's time is over" : "its caller has gone");
    if (submission.job.best_effort() && submission.unresolved > 0) {
        ShardDispatcher* const local = m_hooks.local(submission.shard);
        const std::string* const address = holderAddress(submission.shard);
        if (local) {
            local->cancel(job, [](bool, JobState) {});
        } else if (address) {
            protocol::Envelope message = envelope();
            message.mutable_shard_cancel()->set_id(job.value());
            m_hooks.send(*address, message);
        }
    }
    finishSubmission(id, EntranceVerdict::Unknown, {});
}

void JobEntrance::trySubmit(std::uint64_t id)
{
    const auto found = m_submissions.find(id);
    if (found == m_submissions.end())
        return;
    Submission& submission = found->second;
    const TimePoint now = m_clock.now();
    if (now >= submission.deadline) {
        if (submission.job.best_effort() && submission.unresolved > 0) {
            abandon(id);
            return;
        }
        finishSubmission(id, submission.unresolved > 0 ? EntranceVerdict::Unknown : EntranceVerdict::Refused,
            m_settings.unavailableRetry);
        return;
    }
    const std::optional<ShardId> shard = shardFor(submission);
    const std::string* const address = shard ? holderAddress(*shard) : nullptr;
    if (!shard || (!address && !m_hooks.local(*shard))) {
        const auto patience = std::chrono::duration_cast<Duration>(objectiveOf(submission.job) * m_settings.waitShare);
        if (submission.unresolved == 0 && now - submission.startedAt >= patience) {
            m_hooks.log("job_refused", JobId(submission.job.id()), "no shard can take jobs");
            finishSubmission(id, EntranceVerdict::Refused, m_settings.unavailableRetry);
            return;
        }
        m_timers.after(m_settings.retryPause, [this, id] { trySubmit(id); });
        return;
    }
    submission.shard = *shard;
    const bool isResent = submission.unresolved > 0 || m_places.count(JobId(submission.job.id())) != 0;
    if (submission.job.best_effort())
        place(JobId(submission.job.id()), *shard);
    const std::uint64_t attempt = ++submission.attempt;
    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(now - submission.startedAt);
    ShardDispatcher* const local = m_hooks.local(*shard);
    const auto isCurrent = [this, id, attempt] {
        const auto entry = m_submissions.find(id);
        return entry != m_submissions.end() && entry->second.attempt == attempt;
    };
    m_timers.after(
        std::min<Duration>(m_settings.replyTimeout, submission.deadline - now), [this, id, attempt, isCurrent] {
            if (!isCurrent())
                return;
            if (!m_submissions[id].job.best_effort())
                m_hooks.log(
                    "submit_unanswered", JobId(m_submissions[id].job.id()), "shard " + m_submissions[id].shard.value());
            trySubmit(id);
        });
    ++submission.unresolved;
    std::uint64_t wanted = 0;
    for (const protocol::PhaseDescription& phase : submission.job.phases())
        wanted += std::uint64_t { phase.count() } * phase.millicores();
    m_loads[*shard].handedOut += wanted;
    if (local) {
        local->submit(submission.job, waited, isResent, m_settings.address,
            [this, id, attempt](SubmitVerdict verdict, std::chrono::milliseconds retryAfter) {
                takeVerdict(id, attempt, verdict, retryAfter);
            });
        return;
    }
    protocol::Envelope message = envelope();
    protocol::ShardSubmit* const body = message.mutable_shard_submit();
    body->set_request(wireNumber(id, attempt));
    body->set_shard(shard->value());
    *body->mutable_job() = submission.job;
    body->set_waited_ms(static_cast<std::uint32_t>(waited.count()));
    body->set_resent(isResent);
    m_hooks.send(*address, message);
}

std::optional<ShardId> JobEntrance::shardFor(const Submission& submission) const
{
    // Runs of one task in two shards could overlap.
    if (submission.job.best_effort()) {
        if (submission.unresolved > 0)
            return submission.shard;
        const auto placed = m_places.find(JobId(submission.job.id()));
        if (placed != m_places.end())
            return placed->second.shard;
    }
    return chooseShard(submission.job);
}

const std::string* JobEntrance::holderAddress(const ShardId& shard) const
{
    const auto seen = m_loads.find(shard);
    const ShardHolder* const holder = m_fleet.holder(shard);
    // A host that is cut off from the store learns of a new holder from its load.
    if (seen != m_loads.end() && (!holder || seen->second.load.generation() >= holder->generation.value()))
        return &seen->second.load.address();
    return holder ? &holder->address : nullptr;
}

void JobEntrance::place(const JobId& job, const ShardId& shard)
{
    const TimePoint now = m_clock.now();
    if (m_places.emplace(job, Place { shard, now }).second)
        m_placeOrder.emplace_back(now, job);
    std::size_t expired = 0;
    while (expired < m_placeOrder.size() && now - m_placeOrder[expired].first >= m_settings.placeLimit)
        m_places.erase(m_placeOrder[expired++].second);
    m_placeOrder.erase(m_placeOrder.begin(), m_placeOrder.begin() + static_cast<std::ptrdiff_t>(expired));
}

std::optional<ShardId> JobEntrance::chooseShard(const protocol::PlacedJob& job) const
{
    const TimePoint now = m_clock.now();
    std::optional<ShardId> best;
    double bestCost = 0;
    for (const ShardId& shard : m_settings.shards) {
        const auto seen = m_loads.find(shard);
        const bool isFresh = seen != m_loads.end() && now - seen->second.seenAt < m_settings.loadLimit;
        if (!isFresh || seen->second.load.targets() == 0)
            continue;
        const protocol::ShardLoad& load = seen->second.load;
        const auto& services = load.services();
        if (std::find(services.begin(), services.end(), job.rule().service()) == services.end())
            continue;
        const auto& labels = load.racks();
        const auto hasLabel = [&labels](const std::string& label) {
            return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
        };
        double cost = load.backlog_ms();
        const auto total = static_cast<double>(load.total_millicores());
        const auto used
            = total - static_cast<double>(load.free_millicores()) + static_cast<double>(seen->second.handedOut);
        cost += static_cast<double>(m_settings.fullCost.count()) * used / total;
        if (shard.value() != m_settings.failureDomain.value())
            cost += static_cast<double>(m_settings.remoteCost.count());
        bool isPossible = true;
        bool isNear = true;
        for (const protocol::PhaseDescription& phase : job.phases()) {
            isPossible = isPossible && hasLabel(phase.required_label());
            isNear = isNear && hasLabel(phase.data_rack());
        }
        if (!isPossible)
            continue;
        if (!isNear)
            cost += static_cast<double>(m_settings.dataCost.count());
        if (!best || cost < bestCost) {
            best = shard;
            bestCost = cost;
        }
    }
    return best;
}

void JobEntrance::takeVerdict(
    std::uint64_t id, std::uint64_t attempt, SubmitVerdict verdict, std::chrono::milliseconds retryAfter)
{
    const auto found = m_submissions.find(id);
    if (found == m_submissions.end())
        return;
    Submission& submission = found->second;
    if (verdict == SubmitVerdict::Accepted && submission.job.best_effort())
        return;
    if (verdict == SubmitVerdict::Accepted) {
        remember(JobId(submission.job.id()), submission.shard, JobState::Queued);
        finishSubmission(id, EntranceVerdict::Accepted, {});
        return;
    }
    --submission.unresolved;
    if (attempt % attemptsPerRequest != submission.attempt % attemptsPerRequest)
        return;
    if (verdict == SubmitVerdict::Refused) {
        const bool isCertain = submission.unresolved == 0;
        finishSubmission(id, isCertain ? EntranceVerdict::Refused : EntranceVerdict::Unknown, retryAfter);
        return;
    }
    ++submission.attempt;
    const bool isUnsettled = verdict == SubmitVerdict::Unsettled;
    m_timers.after(isUnsettled ? m_settings.unsettledPause : m_settings.retryPause, [this, id] { trySubmit(id); });
}

void JobEntrance::finishSubmission(std::uint64_t id, EntranceVerdict verdict, std::chrono::milliseconds retryAfter)
{
    const SubmitReply reply = std::move(m_submissions[id].reply);
    const auto awaited = m_awaited.equal_range(JobId(m_submissions[id].job.id()));
    for (auto entry = awaited.first; entry != awaited.second; ++entry) {
        if (entry->second == id) {
            m_awaited.erase(entry);
            break;
        }
    }
    m_submissions.erase(id);
    reply(verdict, retryAfter);
}

void JobEntrance::query(const JobId& job, std::chrono::milliseconds wait, StateReply reply)
{
    const auto seen = m_states.find(job);
    if (seen != m_states.end()) {
        const bool isRecent = m_clock.now() - seen->second.seenAt < m_settings.stateLimit;
        if (hasEnded(seen->second.state) || isRecent) {
            reply(Knowledge::Known, seen->second.state);
            return;
        }
    }
    const std::uint64_t id = ++m_lastRequest;
    const auto limit = wait.count() > 0 ? wait : m_settings.defaultWait;
    m_questions[id] = { job, m_clock.now() + limit, std::move(reply), false, false, 0, std::nullopt };
    ask(id);
}

void JobEntrance::cancel(const JobId& job, std::chrono::milliseconds wait, StateReply reply)
{
    const std::uint64_t id = ++m_lastRequest;
    const auto limit = wait.count() > 0 ? wait : m_settings.defaultWait;
    m_questions[id] = { job, m_clock.now() + limit, std::move(reply), true, false, 0, std::nullopt };
    ask(id);
}

void JobEntrance::ask(std::uint64_t id)
{
    const auto found = m_questions.find(id);
    if (found == m_questions.end())
        return;
    Question& question = found->second;
    if (m_clock.now() >= question.deadline) {
        // The record tells that the job exists; only its end may be newer.
        const bool hasState = question.storedState && !question.isCancel;
        finishQuestion(
            id, hasState ? Knowledge::Known : Knowledge::Unavailable, question.storedState.value_or(JobState::Queued));
        return;
    }
    const auto seen = m_states.find(question.job);
    if (seen != m_states.end())
        askHolder(id, seen->second.shard);
    else
        readRecord(id);
}

void JobEntrance::askHolder(std::uint64_t id, const ShardId& shard)
{
    Question& question = m_questions[id];
    const std::uint64_t attempt = ++question.attempt;
    m_timers.after(m_settings.replyTimeout, [this, id, attempt] {
        const auto entry = m_questions.find(id);
        if (entry != m_questions.end() && entry->second.attempt == attempt)
            questionSilent(id, attempt);
    });
    ShardDispatcher* const local = m_hooks.local(shard);
    if (local && question.isCancel) {
        local->cancel(question.job,
            [this, id, attempt](bool isKnown, JobState state) { takeAnswer(id, attempt, isKnown, state); });
        return;
    }
    if (local) {
        const std::optional<JobState> state = local->state(question.job);
        takeAnswer(id, attempt, state.has_value(), state.value_or(JobState::Queued));
        return;
    }
    const std::string* const address = holderAddress(shard);
    if (!address)
        return;
    protocol::Envelope message = envelope();
    if (question.isCancel) {
        message.mutable_shard_cancel()->set_request(wireNumber(id, attempt));
        message.mutable_shard_cancel()->set_id(question.job.value());
    } else {
        message.mutable_shard_query()->set_request(wireNumber(id, attempt));
        message.mutable_shard_query()->set_id(question.job.value());
    }
    m_hooks.send(*address, message);
}

void JobEntrance::readRecord(std::uint64_t id)
{
    const JobId job = m_questions[id].job;
    m_store.read(storekeys::job(job), [this, id, job](const ReadReply& reply) {
        const auto found = m_questions.find(id);
        if (found == m_questions.end())
            return;
        Question& question = found->second;
        if (reply.ending == StoreEnding::Absent) {
            finishQuestion(id, Knowledge::NoSuchJob, JobState::Queued);
            return;
        }
        protocol::JobRecord record;
        const bool isRead = reply.ending == StoreEnding::Done && !reply.items.empty()
            && record.ParseFromString(reply.items.front().value)
            && record.state() <= static_cast<unsigned>(JobState::Cancelled);
        if (!isRead) {
            m_timers.after(m_settings.retryPause, [this, id] { ask(id); });
            return;
        }
        question.wasRead = true;
        question.storedState = static_cast<JobState>(record.state());
        remember(job, ShardId(record.shard()), *question.storedState);
        if (hasEnded(*question.storedState))
            finishQuestion(id, Knowledge::Known, *question.storedState);
        else
            askHolder(id, ShardId(record.shard()));
    });
}

void JobEntrance::takeAnswer(std::uint64_t id, std::uint64_t attempt, bool isKnown, JobState state)
{
    const auto found = m_questions.find(id);
    if (found == m_questions.end() || found->second.attempt % attemptsPerRequest != attempt % attemptsPerRequest)
        return;
    Question& question = found->second;
    if (isKnown) {
        const auto seen = m_states.find(question.job);
        if (seen != m_states.end())
            remember(question.job, ShardId(seen->second.shard), state);
        finishQuestion(id, Knowledge::Known, state);
        return;
    }
    // The holder may be new and still reading its records.
    if (!question.wasRead) {
        readRecord(id);
        return;
    }
    questionSilent(id, attempt);
}

void JobEntrance::questionSilent(std::uint64_t id, std::uint64_t)
{
    Question& question = m_questions[id];
    if (!question.wasRead) {
        readRecord(id);
        return;
    }
    if (!question.isCancel && question.storedState) {
        finishQuestion(id, Knowledge::Known, *question.storedState);
        return;
    }
    ++question.attempt;
    m_timers.after(m_settings.retryPause, [this, id] { ask(id); });
}

void JobEntrance::finishQuestion(std::uint64_t id, Knowledge knowledge, JobState state)
{
    const StateReply reply = std::move(m_questions[id].reply);
    m_questions.erase(id);
    reply(knowledge, state);
}

void JobEntrance::remember(const JobId& job, const ShardId& shard, JobState state)
{
    const auto found = m_states.find(job);
    if (found != m_states.end()) {
        // A late answer does not take back an end.
        if (!hasEnded(found->second.state))
            found->second = { shard, state, m_clock.now() };
        return;
    }
    m_states[job] = { shard, state, m_clock.now() };
    if (m_stateOrder.size() < m_settings.maximumStates) {
        m_stateOrder.push_back(job);
        return;
    }
    m_states.erase(m_stateOrder[m_oldestState]);
    m_stateOrder[m_oldestState] = job;
    m_oldestState = (m_oldestState + 1) % m_stateOrder.size();
}

void JobEntrance::jobEnded(const JobId& job, JobState state)
{
    // A cancelled job was given up by its entrance, which has told its caller.
    std::vector<std::uint64_t> submissions;
    const auto awaited
        = state == JobState::Cancelled ? std::make_pair(m_awaited.end(), m_awaited.end()) : m_awaited.equal_range(job);
    for (auto entry = awaited.first; entry != awaited.second; ++entry)
        submissions.push_back(entry->second);
    for (const std::uint64_t id : submissions)
        finishSubmission(id, state == JobState::Done ? EntranceVerdict::Done : EntranceVerdict::Failed, {});
    const auto found = m_states.find(job);
    if (found != m_states.end())
        remember(job, ShardId(found->second.shard), state);
}

std::uint32_t JobEntrance::waitingJobs(const QueueId& queue) const
{
    std::uint32_t waiting = 0;
    for (const auto& entry : m_loads) {
        for (const protocol::QueueDepth& depth : entry.second.load.depths())
            waiting += depth.queue() == queue.value() ? depth.waiting_jobs() : 0;
    }
    return waiting;
}

bool JobEntrance::canServe() const
{
    const TimePoint now = m_clock.now();
    return std::any_of(m_loads.begin(), m_loads.end(), [&](const auto& entry) {
        return now - entry.second.seenAt < m_settings.loadLimit && entry.second.load.targets() > 0;
    });
}

void JobEntrance::loadReceived(const protocol::ShardLoad& load)
{
    SeenLoad& seen = m_loads[ShardId(load.shard())];
    if (load.generation() < seen.load.generation())
        return;
    seen = { load, m_clock.now(), 0 };
    for (const std::string& job : load.new_jobs())
        place(JobId(job), ShardId(load.shard()));
}

void JobEntrance::received(const protocol::Envelope& message)
{
    switch (message.body_case()) {
    case protocol::Envelope::kShardSubmit:
        answerSubmit(message);
        return;
    case protocol::Envelope::kShardQuery:
    case protocol::Envelope::kShardCancel:
        answerQuestion(message);
        return;
    case protocol::Envelope::kShardSubmitReply: {
        const protocol::ShardSubmitReply& reply = message.shard_submit_reply();
        if (reply.verdict() <= static_cast<unsigned>(SubmitVerdict::Unsettled))
            takeVerdict(reply.request() / attemptsPerRequest, reply.request() % attemptsPerRequest,
                static_cast<SubmitVerdict>(reply.verdict()), std::chrono::milliseconds(reply.retry_after_ms()));
        return;
    }
    case protocol::Envelope::kShardJobReply: {
        const protocol::ShardJobReply& reply = message.shard_job_reply();
        if (reply.state() > static_cast<unsigned>(JobState::Cancelled))
            return;
        if (reply.request() == 0)
            jobEnded(JobId(reply.id()), static_cast<JobState>(reply.state()));
        else
            takeAnswer(reply.request() / attemptsPerRequest, reply.request() % attemptsPerRequest, reply.known(),
                static_cast<JobState>(reply.state()));
        return;
    }
    case protocol::Envelope::kShardLoad:
        loadReceived(message.shard_load());
        return;
    default:
        return;
    }
}

void JobEntrance::answerSubmit(const protocol::Envelope& message)
{
    const protocol::ShardSubmit& body = message.shard_submit();
    const auto reply = [this, address = message.from_host(), request = body.request()](
                           SubmitVerdict verdict, std::chrono::milliseconds retryAfter) {
        protocol::Envelope answer = envelope();
        answer.mutable_shard_submit_reply()->set_request(request);
        answer.mutable_shard_submit_reply()->set_verdict(static_cast<std::uint32_t>(verdict));
        answer.mutable_shard_submit_reply()->set_retry_after_ms(static_cast<std::uint32_t>(retryAfter.count()));
        m_hooks.send(address, answer);
    };
    ShardDispatcher* const local = m_hooks.local(ShardId(body.shard()));
    if (!local) {
        reply(SubmitVerdict::NotHolder, {});
        return;
    }
    local->submit(body.job(), std::chrono::milliseconds(body.waited_ms()), body.resent(), message.from_host(), reply);
}

void JobEntrance::answerQuestion(const protocol::Envelope& message)
{
    const bool isCancel = message.has_shard_cancel();
    const JobId job(isCancel ? message.shard_cancel().id() : message.shard_query().id());
    const std::uint64_t request = isCancel ? message.shard_cancel().request() : message.shard_query().request();
    const auto reply = [this, address = message.from_host(), request, job](bool isKnown, JobState state) {
        protocol::Envelope answer = envelope();
        answer.mutable_shard_job_reply()->set_request(request);
        answer.mutable_shard_job_reply()->set_id(job.value());
        answer.mutable_shard_job_reply()->set_known(isKnown);
        answer.mutable_shard_job_reply()->set_state(static_cast<std::uint32_t>(state));
        m_hooks.send(address, answer);
    };
    for (const ShardId& shard : m_settings.shards) {
        ShardDispatcher* const local = m_hooks.local(shard);
        const std::optional<JobState> state = local ? local->state(job) : std::nullopt;
        if (!state)
            continue;
        if (isCancel)
            local->cancel(job, reply);
        else
            reply(true, *state);
        return;
    }
    reply(false, JobState::Queued);
}

}
