#include "rattanroad_shards/entrance/JobEntrance.h"

#include "rattanroad_shards/jobs/JobRequirements.h"

#include <algorithm>

namespace rattanroad::shards {

JobEntrance::JobEntrance(
    Settings settings, KeyValueStore& store, const FleetView& fleet, Timers timers, const Clock& clock, Hooks hooks)
    : m_settings(std::move(settings))
    , m_timers(std::move(timers))
    , m_clock(clock)
    , m_hooks(std::move(hooks))
    , m_loads(m_settings.loads, fleet, clock)
    , m_queries(m_settings.queries, store, m_loads, m_timers, clock, queryHooks())
    , m_jobShards(m_settings.jobShards, clock)
{
}

JobQueries::Hooks JobEntrance::queryHooks()
{
    JobQueries::Hooks hooks;
    hooks.send = m_hooks.send;
    hooks.localDispatcher = m_hooks.localDispatcher;
    hooks.envelope = [this] { return envelope(); };
    return hooks;
}

std::chrono::milliseconds JobEntrance::effectiveWait(std::chrono::milliseconds requested) const
{
    return requested.count() > 0 ? requested : m_settings.defaultWait;
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
    if (!m_isAccepting) {
        m_hooks.log("job_refused", JobId(job.id()), "this host is shutting down");
        reply(EntranceVerdict::Refused, m_settings.unavailableRetry);
        return 0;
    }
    const TimePoint now = m_clock.now();
    const std::uint64_t id = ++m_lastSubmission;
    m_submissions[id] = { job, now, now + effectiveWait(wait), std::move(reply), ShardId(), 0, 0,
        m_jobShards.shardOf(JobId(job.id())).has_value() };
    if (job.best_effort())
        m_bestEffortSubmissions.emplace(JobId(job.id()), id);
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
        m_clock.now() >= submission.deadline ? "the wait of its caller has timed out" : "its caller has disconnected");
    if (submission.job.best_effort() && submission.unresolvedAttempts > 0) {
        ShardDispatcher* const local = m_hooks.localDispatcher(submission.shard);
        const std::string* const address = m_loads.holderAddress(submission.shard);
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
    if (m_clock.now() >= found->second.deadline) {
        expire(id);
        return;
    }
    const std::optional<ShardId> shard = shardFor(found->second);
    const std::string* const address = shard ? m_loads.holderAddress(*shard) : nullptr;
    if (shard && (address || m_hooks.localDispatcher(*shard)))
        sendTo(id, *shard, address);
    else
        waitForShard(id);
}

void JobEntrance::expire(std::uint64_t id)
{
    const Submission& submission = m_submissions[id];
    if (submission.unresolvedAttempts == 0)
        finishSubmission(id, EntranceVerdict::Refused, m_settings.unavailableRetry);
    else if (submission.job.best_effort())
        abandon(id);
    else
        finishSubmission(id, EntranceVerdict::Unknown, m_settings.unavailableRetry);
}

void JobEntrance::waitForShard(std::uint64_t id)
{
    const Submission& submission = m_submissions[id];
    const auto waitLimit
        = std::chrono::duration_cast<Duration>(latencyObjective(submission.job) * m_settings.waitShare);
    if (submission.unresolvedAttempts == 0 && m_clock.now() - submission.startedAt >= waitLimit) {
        m_hooks.log("job_refused", JobId(submission.job.id()), "no shard is available");
        finishSubmission(id, EntranceVerdict::Refused, m_settings.unavailableRetry);
        return;
    }
    m_timers.after(m_settings.retryPause, [this, id] { trySubmit(id); });
}

void JobEntrance::sendTo(std::uint64_t id, const ShardId& shard, const std::string* address)
{
    Submission& submission = m_submissions[id];
    const JobId job(submission.job.id());
    submission.shard = shard;
    const bool isResent = submission.unresolvedAttempts > 0 || submission.wasSubmittedBefore;
    ++submission.attempt;
    ++submission.unresolvedAttempts;
    m_loads.addAssignedJob(shard, submission.job);
    startReplyTimeout(id);
    const RequestNumber number(id, submission.attempt);
    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - submission.startedAt);
    if (ShardDispatcher* const local = m_hooks.localDispatcher(shard)) {
        if (submission.job.best_effort())
            m_jobShards.insert(job, shard);
        local->submit(submission.job, waited, isResent, { m_settings.address, m_clock.now() },
            [this, number](SubmitVerdict verdict, std::chrono::milliseconds retryAfter) {
                handleVerdict(number, verdict, retryAfter);
            });
        return;
    }
    protocol::Envelope message = envelope();
    protocol::ShardSubmit* const body = message.mutable_shard_submit();
    body->set_request(number.toWire());
    body->set_shard(shard.value());
    *body->mutable_job() = submission.job;
    body->set_waited_ms(static_cast<std::uint32_t>(waited.count()));
    body->set_resent(isResent);
    if (const auto holderClock = m_loads.holderClock(shard))
        body->set_receiver_clock_ms(*holderClock);
    if (m_hooks.send(*address, message)) {
        if (submission.job.best_effort())
            m_jobShards.insert(job, shard);
        return;
    }
    --submission.unresolvedAttempts;
    ++submission.attempt;
    waitForShard(id);
}

void JobEntrance::startReplyTimeout(std::uint64_t id)
{
    const Submission& submission = m_submissions[id];
    const auto limit = std::min<Duration>(m_settings.replyTimeout, submission.deadline - m_clock.now());
    m_timers.after(limit, [this, id, attempt = submission.attempt] {
        const auto entry = m_submissions.find(id);
        if (entry == m_submissions.end() || entry->second.attempt != attempt)
            return;
        const Submission& unanswered = entry->second;
        if (!unanswered.job.best_effort())
            m_hooks.log("submit_unanswered", JobId(unanswered.job.id()), "shard " + unanswered.shard.value());
        trySubmit(id);
    });
}

std::optional<ShardId> JobEntrance::shardFor(const Submission& submission) const
{
    // A best-effort job stays in its shard, because runs of one task in two shards could overlap.
    if (submission.job.best_effort()) {
        if (submission.unresolvedAttempts > 0)
            return submission.shard;
        if (auto placed = m_jobShards.shardOf(JobId(submission.job.id())))
            return placed;
    }
    return m_loads.choose(submission.job);
}

void JobEntrance::handleVerdict(RequestNumber request, SubmitVerdict verdict, std::chrono::milliseconds retryAfter)
{
    const std::uint64_t id = request.id();
    const auto found = m_submissions.find(id);
    if (found == m_submissions.end())
        return;
    Submission& submission = found->second;
    if (verdict == SubmitVerdict::Accepted && submission.job.best_effort())
        return;
    if (verdict == SubmitVerdict::Accepted) {
        m_queries.recordState(JobId(submission.job.id()), submission.shard, JobState::Queued);
        finishSubmission(id, EntranceVerdict::Accepted, {});
        return;
    }
    --submission.unresolvedAttempts;
    if (!request.isOfAttempt(submission.attempt))
        return;
    if (verdict == SubmitVerdict::Refused) {
        const bool isCertain = submission.unresolvedAttempts == 0;
        finishSubmission(id, isCertain ? EntranceVerdict::Refused : EntranceVerdict::Unknown, retryAfter);
        return;
    }
    ++submission.attempt;
    const bool isNotReconciled = verdict == SubmitVerdict::NotReconciled;
    m_timers.after(
        isNotReconciled ? m_settings.notReconciledPause : m_settings.retryPause, [this, id] { trySubmit(id); });
}

void JobEntrance::finishSubmission(std::uint64_t id, EntranceVerdict verdict, std::chrono::milliseconds retryAfter)
{
    const SubmitReply reply = std::move(m_submissions[id].reply);
    const auto waiting = m_bestEffortSubmissions.equal_range(JobId(m_submissions[id].job.id()));
    for (auto entry = waiting.first; entry != waiting.second; ++entry) {
        if (entry->second == id) {
            m_bestEffortSubmissions.erase(entry);
            break;
        }
    }
    m_submissions.erase(id);
    reply(verdict, retryAfter);
}

void JobEntrance::query(const JobId& job, std::chrono::milliseconds wait, StateReply reply)
{
    m_queries.query(job, effectiveWait(wait), std::move(reply));
}

void JobEntrance::cancel(const JobId& job, std::chrono::milliseconds wait, StateReply reply)
{
    m_queries.cancel(job, effectiveWait(wait), std::move(reply));
}

void JobEntrance::jobEnded(const JobId& job, JobState state)
{
    // The origin host that cancels a job has already answered the caller.
    std::vector<std::uint64_t> submissions;
    const auto waiting = state == JobState::Cancelled
        ? std::make_pair(m_bestEffortSubmissions.end(), m_bestEffortSubmissions.end())
        : m_bestEffortSubmissions.equal_range(job);
    for (auto entry = waiting.first; entry != waiting.second; ++entry)
        submissions.push_back(entry->second);
    for (const std::uint64_t id : submissions)
        finishSubmission(id, state == JobState::Done ? EntranceVerdict::Done : EntranceVerdict::Failed, {});
    m_queries.jobEnded(job, state);
}

void JobEntrance::loadReceived(const protocol::ShardLoad& load)
{
    if (!m_loads.received(load))
        return;
    for (const std::string& announced : load.new_jobs()) {
        const JobId job(announced);
        m_jobShards.insert(job, ShardId(load.shard()));
        const auto waiting = m_bestEffortSubmissions.equal_range(job);
        for (auto entry = waiting.first; entry != waiting.second; ++entry)
            m_submissions[entry->second].wasSubmittedBefore = true;
    }
}

void JobEntrance::received(const protocol::Envelope& message)
{
    switch (message.body_case()) {
    case protocol::Envelope::kShardSubmit:
        answerSubmit(message);
        return;
    case protocol::Envelope::kShardQuery:
    case protocol::Envelope::kShardCancel:
        answerQuery(message);
        return;
    case protocol::Envelope::kShardSubmitReply: {
        const protocol::ShardSubmitReply& reply = message.shard_submit_reply();
        if (reply.verdict() <= static_cast<unsigned>(SubmitVerdict::NotReconciled))
            handleVerdict(RequestNumber::fromWire(reply.request()), static_cast<SubmitVerdict>(reply.verdict()),
                std::chrono::milliseconds(reply.retry_after_ms()));
        return;
    }
    case protocol::Envelope::kShardJobReply:
        handleJobReply(message.shard_job_reply());
        return;
    default:
        return;
    }
}

void JobEntrance::handleJobReply(const protocol::ShardJobReply& reply)
{
    if (reply.state() > static_cast<unsigned>(JobState::Cancelled))
        return;
    const auto state = static_cast<JobState>(reply.state());
    if (reply.request() == 0)
        jobEnded(JobId(reply.id()), state);
    else
        m_queries.handleReply(RequestNumber::fromWire(reply.request()), reply.known(), state);
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
    ShardDispatcher* const local = m_hooks.localDispatcher(ShardId(body.shard()));
    if (!local) {
        reply(SubmitVerdict::NotHolder, {});
        return;
    }
    const std::uint64_t now = toMilliseconds(m_clock.now());
    const std::uint64_t sentAt = body.has_receiver_clock_ms() ? std::min(body.receiver_clock_ms(), now) : now;
    const std::chrono::milliseconds age(now - sentAt);
    local->submit(body.job(), std::chrono::milliseconds(body.waited_ms()) + age, body.resent(),
        { message.from_host(), m_clock.now() - age }, reply);
}

void JobEntrance::answerQuery(const protocol::Envelope& message)
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
    for (const ShardId& shard : m_settings.loads.shards) {
        ShardDispatcher* const local = m_hooks.localDispatcher(shard);
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
