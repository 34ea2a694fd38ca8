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
    , m_queries(querySettings(), store, m_loads, m_timers, clock, queryHooks())
    , m_requests(requestSettings(), m_loads, m_timers, clock, requestHooks())
    , m_lastSubmission(RequestNumber::firstId(m_settings.incarnation))
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

JobQueries::Settings JobEntrance::querySettings() const
{
    JobQueries::Settings settings = m_settings.queries;
    settings.incarnation = m_settings.incarnation;
    return settings;
}

HolderRequests::Settings JobEntrance::requestSettings() const
{
    return { m_settings.incarnation, m_settings.address, m_settings.homes, m_settings.replyTimeout };
}

HolderRequests::Hooks JobEntrance::requestHooks()
{
    HolderRequests::Hooks hooks;
    hooks.send
        = [this](const std::string& address, const protocol::Envelope& message) { return send(address, message); };
    hooks.localDispatcher = m_hooks.localDispatcher;
    hooks.envelope = [this] { return envelope(); };
    hooks.log = m_hooks.log;
    return hooks;
}

bool JobEntrance::send(const std::string& address, const protocol::Envelope& message)
{
    if (address != m_settings.address)
        return m_hooks.send(address, message);
    received(message);
    return true;
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
    Submission& submission = m_submissions[id];
    submission.job = job;
    submission.startedAt = now;
    submission.deadline = now + effectiveWait(wait);
    submission.reply = std::move(reply);
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
    abandon(id,
        m_clock.now() >= found->second.deadline ? "the wait of its caller has timed out"
                                                : "its caller has disconnected");
}

void JobEntrance::abandon(std::uint64_t id, const char* reason)
{
    const Submission& submission = m_submissions[id];
    const JobId job(submission.job.id());
    m_hooks.log("job_abandoned", job, reason);
    if (submission.job.best_effort() && submission.unresolvedAttempts > 0) {
        const bool isThroughHome = !submission.isShardCertain && !submission.home.value().empty();
        const ShardId receiver = isThroughHome ? submission.home : submission.shard;
        const std::string* const address
            = m_hooks.localDispatcher(receiver) ? &m_settings.address : m_loads.holderAddress(receiver);
        protocol::Envelope message = envelope();
        message.mutable_shard_cancel()->set_id(job.value());
        if (isThroughHome)
            message.mutable_shard_cancel()->set_home(receiver.value());
        if (address)
            send(*address, message);
    }
    finishSubmission(id, EntranceVerdict::Unknown, {});
}

void JobEntrance::answerWaiting()
{
    stopAccepting();
    constexpr const char* reason = "this host is shutting down";
    std::vector<std::uint64_t> waiting;
    for (const auto& entry : m_submissions)
        waiting.push_back(entry.first);
    for (const std::uint64_t id : waiting) {
        const auto found = m_submissions.find(id);
        if (found == m_submissions.end())
            continue;
        if (found->second.unresolvedAttempts > 0) {
            abandon(id, reason);
            continue;
        }
        m_hooks.log("job_refused", JobId(found->second.job.id()), reason);
        finishSubmission(id, EntranceVerdict::Refused, m_settings.unavailableRetry);
    }
    m_queries.answerWaiting();
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
    Submission& submission = found->second;
    const std::optional<ShardId> shard = shardFor(submission);
    if (!shard) {
        waitForShard(id);
        return;
    }
    submission.shard = *shard;
    const std::optional<ShardId> home = homeFor(submission);
    const bool isHomeNeeded
        = submission.job.best_effort() && !submission.isShardCertain && !m_loads.hasHolderWithoutHomes();
    if (home || !isHomeNeeded)
        sendTo(id, home);
    else
        waitForShard(id);
}

std::optional<ShardId> JobEntrance::homeFor(const Submission& submission) const
{
    if (!submission.job.best_effort() || m_loads.hasHolderWithoutHomes())
        return std::nullopt;
    const std::vector<ShardId> homes = m_requests.homes().homesOf(JobId(submission.job.id()));
    const auto serves
        = [this](const ShardId& shard) { return m_hooks.localDispatcher(shard) || m_loads.servesAsHome(shard); };
    // A stand-in is kept while the shard is not known: a further attempt through another home would let the job run on
    // in a shard that the stand-in cannot ask.
    const bool isStandInKept = !submission.isShardCertain && submission.unresolvedAttempts > 0
        && !submission.home.value().empty() && serves(submission.home);
    if (isStandInKept)
        return submission.home;
    const auto home = std::find_if(homes.begin(), homes.end(), serves);
    if (home == homes.end())
        return std::nullopt;
    // A home whose holder was silent learns of the job with the next attempt.
    const bool isKnownThere = submission.isShardCertain && (submission.home == *home || home != homes.begin());
    return isKnownThere ? std::nullopt : std::optional<ShardId>(*home);
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

void JobEntrance::sendTo(std::uint64_t id, const std::optional<ShardId>& home)
{
    Submission& submission = m_submissions[id];
    const ShardId receiver = home.value_or(submission.shard);
    const bool isLocal = m_hooks.localDispatcher(receiver) != nullptr;
    const std::string* const address = isLocal ? &m_settings.address : m_loads.holderAddress(receiver);
    if (!address) {
        waitForShard(id);
        return;
    }
    const TimePoint now = m_clock.now();
    protocol::Envelope message = envelope();
    protocol::ShardSubmit* const body = message.mutable_shard_submit();
    body->set_shard(submission.shard.value());
    *body->mutable_job() = submission.job;
    body->set_waited_ms(static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now - submission.startedAt).count()));
    body->set_resent(submission.unresolvedAttempts > 0);
    body->set_declined(submission.unresolvedAttempts == 0);
    body->set_located(submission.isShardCertain);
    if (home) {
        body->set_home(home->value());
        submission.home = *home;
    }
    const auto holderClock = isLocal ? toMilliseconds(now) : m_loads.holderClock(receiver);
    if (holderClock)
        body->set_receiver_clock_ms(*holderClock);
    ++submission.attempt;
    ++submission.unresolvedAttempts;
    body->set_request(RequestNumber(id, submission.attempt).toWire());
    submission.unansweredRequests.insert(body->request());
    body->set_caller_wait_ms(static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(submission.deadline - submission.startedAt).count()));
    m_loads.addAssignedJob(submission.shard, submission.job);
    startReplyTimeout(id);
    // A local holder may answer at once, which can end the submission.
    const std::uint64_t attempt = submission.attempt;
    if (send(*address, message))
        return;
    const auto found = m_submissions.find(id);
    if (found == m_submissions.end() || found->second.attempt != attempt)
        return;
    --found->second.unresolvedAttempts;
    found->second.unansweredRequests.erase(RequestNumber(id, attempt).toWire());
    ++found->second.attempt;
    m_loads.setUnreachable(receiver);
    if (isBound(found->second))
        waitForShard(id);
    else
        trySubmit(id);
}

void JobEntrance::startReplyTimeout(std::uint64_t id)
{
    const Submission& submission = m_submissions[id];
    const auto limit = std::min<Duration>(m_settings.replyTimeout, submission.deadline - m_clock.now());
    m_timers.after(
        limit, [this, id, attempt = submission.attempt, due = m_clock.now() + limit] { repeat(id, attempt, due); });
}

void JobEntrance::repeat(std::uint64_t id, std::uint64_t attempt, TimePoint due)
{
    const auto entry = m_submissions.find(id);
    if (entry == m_submissions.end() || entry->second.attempt != attempt)
        return;
    const Submission& unanswered = entry->second;
    if (unanswered.job.best_effort() && m_clock.now() - due >= m_settings.lateRepetition) {
        m_timers.after(m_settings.lateRepetition,
            [this, id, attempt, later = m_clock.now() + m_settings.lateRepetition] { repeat(id, attempt, later); });
        return;
    }
    if (!unanswered.job.best_effort())
        m_hooks.log("submit_unanswered", JobId(unanswered.job.id()), "shard " + unanswered.shard.value());
    trySubmit(id);
}

bool JobEntrance::isOutdated(const Submission& submission, RequestNumber request)
{
    return submission.firstValidAttempt != 0 && request.isBefore(submission.firstValidAttempt);
}

std::optional<ShardId> JobEntrance::shardFor(const Submission& submission) const
{
    return isBound(submission) ? std::optional<ShardId>(submission.shard) : m_loads.choose(submission.job);
}

bool JobEntrance::isBound(const Submission& submission)
{
    return submission.job.best_effort() && (submission.isShardCertain || submission.unresolvedAttempts > 0);
}

void JobEntrance::handleVerdict(
    RequestNumber request, SubmitVerdict verdict, std::chrono::milliseconds retryAfter, const ShardId& shard)
{
    const std::uint64_t id = request.id();
    const auto found = m_submissions.find(id);
    if (found == m_submissions.end())
        return;
    Submission& submission = found->second;
    if (isOutdated(submission, request))
        return;
    if (verdict == SubmitVerdict::Accepted && submission.job.best_effort()) {
        submission.isShardCertain = true;
        // Holders of earlier builds name none.
        if (!shard.value().empty())
            submission.shard = shard;
        return;
    }
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

void JobEntrance::loadReceived(const protocol::ShardLoad& load) { m_loads.received(load); }

void JobEntrance::received(const protocol::Envelope& message)
{
    switch (message.body_case()) {
    case protocol::Envelope::kShardSubmit:
        m_requests.submit(message);
        return;
    case protocol::Envelope::kShardQuery:
    case protocol::Envelope::kShardCancel:
        m_requests.query(message);
        return;
    case protocol::Envelope::kShardSubmitReply:
        handleSubmitReply(message.from_host(), message.shard_submit_reply());
        return;
    case protocol::Envelope::kShardJobReturned:
        jobReturned(message.from_host(), message.shard_job_returned());
        return;
    case protocol::Envelope::kShardJobReply:
        handleJobReply(message.shard_job_reply());
        return;
    default:
        return;
    }
}

void JobEntrance::handleSubmitReply(const std::string& holder, const protocol::ShardSubmitReply& reply)
{
    if (reply.verdict() > static_cast<unsigned>(SubmitVerdict::NotReconciled))
        return;
    const RequestNumber request = RequestNumber::fromWire(reply.request());
    const auto verdict = static_cast<SubmitVerdict>(reply.verdict());
    const auto submission = m_submissions.find(request.id());
    const bool isValid = submission != m_submissions.end() && !isOutdated(submission->second, request);
    if (isValid) {
        submission->second.unansweredRequests.erase(reply.request());
        if (verdict == SubmitVerdict::Accepted)
            submission->second.acceptedBy.insert(holder);
    }
    handleVerdict(request, verdict, std::chrono::milliseconds(reply.retry_after_ms()), ShardId(reply.shard()));
}

void JobEntrance::jobReturned(const std::string& holder, const protocol::ShardJobReturned& returned)
{
    const JobId job(returned.id());
    if (returned.reason() == protocol::ShardJobReturned::OTHER_SHARD) {
        if (!returned.may_have_run())
            submitElsewhere(job, ShardId(returned.shard()));
        return;
    }
    const auto waiting = m_bestEffortSubmissions.equal_range(job);
    std::vector<std::uint64_t> submissions;
    for (auto entry = waiting.first; entry != waiting.second; ++entry)
        submissions.push_back(entry->second);
    for (const std::uint64_t id : submissions) {
        const auto found = m_submissions.find(id);
        if (found == m_submissions.end())
            continue;
        const Submission& submission = found->second;
        // A request without an answer may still start the job elsewhere, and so may another holder that has accepted
        // it.
        const bool isOnlyThere = submission.unansweredRequests.empty() && submission.acceptedBy.size() == 1
            && submission.acceptedBy.count(holder) == 1;
        const bool hasNotRun = !returned.may_have_run() && isOnlyThere;
        m_hooks.log("job_returned", job,
            "by " + holder + ", shard " + returned.shard() + (returned.may_have_run() ? ", may have run" : ", not run")
                + (isOnlyThere ? "" : ", another request may run it"));
        finishSubmission(id, hasNotRun ? EntranceVerdict::Refused : EntranceVerdict::Unknown,
            std::chrono::milliseconds(returned.retry_after_ms()));
    }
}

void JobEntrance::submitElsewhere(const JobId& job, const ShardId& shard)
{
    std::vector<std::uint64_t> submissions;
    const auto waiting = m_bestEffortSubmissions.equal_range(job);
    for (auto entry = waiting.first; entry != waiting.second; ++entry) {
        Submission& submission = m_submissions[entry->second];
        // The holder repeats the notice when it receives a submission that was sent before it arrived here.
        if (submission.shard == shard && submission.returnedFrom.insert(shard).second)
            submissions.push_back(entry->second);
    }
    for (const std::uint64_t id : submissions) {
        Submission& submission = m_submissions[id];
        const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - submission.startedAt);
        m_hooks.log("job_sent_elsewhere", job,
            "shard " + shard.value() + " has returned it after " + std::to_string(waited.count()) + " ms");
        submission.isShardCertain = false;
        submission.unresolvedAttempts = 0;
        submission.unansweredRequests.clear();
        submission.acceptedBy.clear();
        submission.firstValidAttempt = ++submission.attempt;
        trySubmit(id);
    }
}

void JobEntrance::handleJobReply(const protocol::ShardJobReply& reply)
{
    if (reply.state() > static_cast<unsigned>(JobState::Cancelled) || m_requests.replyReceived(reply))
        return;
    const auto state = static_cast<JobState>(reply.state());
    if (reply.request() == 0)
        jobEnded(JobId(reply.id()), state);
    else
        m_queries.handleReply(RequestNumber::fromWire(reply.request()), reply.known(), state);
}

}
