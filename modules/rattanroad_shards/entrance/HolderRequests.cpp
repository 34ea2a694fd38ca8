#include "rattanroad_shards/entrance/HolderRequests.h"

#include "rattanroad_shards/entrance/RequestNumber.h"

#include <algorithm>

namespace rattanroad::shards {

namespace {
    /** Tells the numbers of questions from those of JobQueries. */
    constexpr std::uint64_t questionFlag = std::uint64_t { 1 } << 63U;
    /** Answers that are later than this are not waited for. */
    constexpr std::chrono::seconds questionLifetime { 5 };

    JobHomes::Presence presenceOf(const std::optional<JobState>& state)
    {
        if (!state)
            return JobHomes::Presence::None;
        return *state == JobState::Cancelled ? JobHomes::Presence::Stopping : JobHomes::Presence::Present;
    }
}

HolderRequests::HolderRequests(
    Settings settings, const ShardLoads& loads, Timers timers, const Clock& clock, Hooks hooks)
    : m_settings(std::move(settings))
    , m_loads(loads)
    , m_clock(clock)
    , m_hooks(std::move(hooks))
    , m_homes(m_settings.homes, std::move(timers), clock, homeHooks())
    , m_lastQuestion(RequestNumber::firstId(m_settings.incarnation))
{
}

JobHomes::Hooks HolderRequests::homeHooks()
{
    JobHomes::Hooks hooks;
    hooks.ask = [this](const ShardId& shard, const JobId& job,
                    const std::function<void(JobHomes::Presence)>& answered) { ask(shard, job, answered); };
    hooks.log = m_hooks.log;
    return hooks;
}

void HolderRequests::submit(const protocol::Envelope& message)
{
    protocol::ShardSubmit submission = message.shard_submit();
    if (submission.origin().empty()) {
        submission.set_origin(message.from_host());
        submission.set_origin_incarnation(message.from_incarnation());
    }
    const bool isForHome = !submission.home().empty();
    ShardDispatcher* const local = m_hooks.localDispatcher(ShardId(isForHome ? submission.home() : submission.shard()));
    if (!local)
        replyToSubmission(submission, SubmitVerdict::NotHolder, {});
    else if (isForHome)
        locate(submission);
    else
        submitHere(*local, submission);
}

void HolderRequests::locate(const protocol::ShardSubmit& submission)
{
    const JobHomes::Submission origin { submission.origin(), Incarnation(submission.origin_incarnation()),
        RequestNumber::fromWire(submission.request()).id(), submission.declined(), submission.located(),
        submission.resent(), validUntil(submission) };
    m_homes.locate(ShardId(submission.home()), JobId(submission.job().id()), ShardId(submission.shard()), origin,
        [this, submission](const ShardId& shard, bool mayBeSubmittedBefore) {
            protocol::ShardSubmit located = submission;
            located.set_shard(shard.value());
            located.set_resent(located.resent() || mayBeSubmittedBefore);
            passOn(std::move(located));
        });
}

void HolderRequests::passOn(protocol::ShardSubmit submission)
{
    const ShardId shard(submission.shard());
    if (ShardDispatcher* const local = m_hooks.localDispatcher(shard)) {
        submitHere(*local, submission);
        return;
    }
    const std::chrono::milliseconds age = ageOf(submission);
    submission.clear_home();
    submission.clear_receiver_clock_ms();
    if (const auto clock = m_loads.holderClock(shard))
        submission.set_receiver_clock_ms(*clock - std::min(*clock, static_cast<std::uint64_t>(age.count())));
    const std::string* const address = m_loads.holderAddress(shard);
    protocol::Envelope message = m_hooks.envelope();
    *message.mutable_shard_submit() = submission;
    const bool isSent = address && *address != m_settings.address && m_hooks.send(*address, message);
    if (!isSent)
        replyToSubmission(submission, SubmitVerdict::NotHolder, {});
}

std::chrono::milliseconds HolderRequests::ageOf(const protocol::ShardSubmit& submission) const
{
    const std::uint64_t now = toMilliseconds(m_clock.now());
    const std::uint64_t sentAt = submission.has_receiver_clock_ms() ? submission.receiver_clock_ms() : now;
    return std::chrono::milliseconds(now - std::min(sentAt, now));
}

TimePoint HolderRequests::validUntil(const protocol::ShardSubmit& submission) const
{
    const bool mayMove = submission.job().best_effort() && !submission.located();
    return mayMove ? m_clock.now() - ageOf(submission) + m_settings.repetition : TimePoint::max();
}

void HolderRequests::submitHere(ShardDispatcher& dispatcher, const protocol::ShardSubmit& submission)
{
    const std::chrono::milliseconds age = ageOf(submission);
    // Another home may not have found the job here and sent it to another shard since.
    const bool isOutdated = m_clock.now() >= validUntil(submission);
    if (isOutdated && presenceOf(dispatcher.state(JobId(submission.job().id()))) != JobHomes::Presence::Present) {
        m_hooks.log("submission_outdated", JobId(submission.job().id()),
            "from " + submission.origin() + ", " + std::to_string(age.count()) + " ms old");
        return;
    }
    protocol::ShardSubmit answered = submission;
    answered.clear_job();
    dispatcher.submit(submission.job(), std::chrono::milliseconds(submission.waited_ms()) + age, submission.resent(),
        { submission.origin(), m_clock.now() - age, std::chrono::milliseconds(submission.caller_wait_ms()) },
        [this, answered](SubmitVerdict verdict, std::chrono::milliseconds retryAfter) {
            replyToSubmission(answered, verdict, retryAfter);
        });
}

void HolderRequests::replyToSubmission(
    const protocol::ShardSubmit& submission, SubmitVerdict verdict, std::chrono::milliseconds retryAfter)
{
    protocol::Envelope message = m_hooks.envelope();
    protocol::ShardSubmitReply& reply = *message.mutable_shard_submit_reply();
    reply.set_request(submission.request());
    reply.set_verdict(static_cast<std::uint32_t>(verdict));
    reply.set_retry_after_ms(static_cast<std::uint32_t>(retryAfter.count()));
    reply.set_shard(submission.shard());
    m_hooks.send(submission.origin(), message);
}

void HolderRequests::query(const protocol::Envelope& message)
{
    const bool isCancel = message.has_shard_cancel();
    const JobId job(isCancel ? message.shard_cancel().id() : message.shard_query().id());
    const std::uint64_t request = isCancel ? message.shard_cancel().request() : message.shard_query().request();
    if (isCancel && !message.shard_cancel().home().empty()) {
        passOnCancel(message.shard_cancel());
        return;
    }
    const auto reply = [this, address = message.from_host(), request, job](bool isKnown, JobState state) {
        // Nobody waits for the result of a cancellation without a number.
        if (request == 0)
            return;
        protocol::Envelope answer = m_hooks.envelope();
        answer.mutable_shard_job_reply()->set_request(request);
        answer.mutable_shard_job_reply()->set_id(job.value());
        answer.mutable_shard_job_reply()->set_known(isKnown);
        answer.mutable_shard_job_reply()->set_state(static_cast<std::uint32_t>(state));
        m_hooks.send(address, answer);
    };
    const std::string& asked = message.shard_query().shard();
    for (const ShardId& shard : m_loads.shards()) {
        ShardDispatcher* const local
            = asked.empty() || shard.value() == asked ? m_hooks.localDispatcher(shard) : nullptr;
        std::optional<JobState> state;
        if (local)
            state = asked.empty() ? local->state(job) : local->stateUnlessStopped(job);
        if (!state)
            continue;
        if (isCancel)
            local->cancel(job, reply);
        else
            reply(true, *state);
        return;
    }
    // A holder that has just been replaced does not know the jobs of its successor.
    const bool isAnswerable = asked.empty() || m_hooks.localDispatcher(ShardId(asked));
    if (isAnswerable)
        reply(false, JobState::Queued);
}

void HolderRequests::passOnCancel(const protocol::ShardCancel& cancel)
{
    const JobId job(cancel.id());
    const std::optional<ShardId> shard = m_homes.find(ShardId(cancel.home()), job);
    if (!shard)
        return;
    if (ShardDispatcher* const local = m_hooks.localDispatcher(*shard)) {
        local->cancel(job, [](bool, JobState) {});
        return;
    }
    const std::string* const address = m_loads.holderAddress(*shard);
    if (!address || *address == m_settings.address)
        return;
    protocol::Envelope message = m_hooks.envelope();
    message.mutable_shard_cancel()->set_id(job.value());
    m_hooks.send(*address, message);
}

void HolderRequests::ask(
    const ShardId& shard, const JobId& job, const std::function<void(JobHomes::Presence)>& answered)
{
    if (ShardDispatcher* const local = m_hooks.localDispatcher(shard)) {
        answered(presenceOf(local->stateUnlessStopped(job)));
        return;
    }
    const std::string* const address = m_loads.holderAddress(shard);
    if (!address || *address == m_settings.address)
        return;
    const TimePoint now = m_clock.now();
    while (!m_questions.empty() && now - m_questions.begin()->second.askedAt >= questionLifetime)
        m_questions.erase(m_questions.begin());
    m_questions[++m_lastQuestion] = { now, answered };
    protocol::Envelope message = m_hooks.envelope();
    message.mutable_shard_query()->set_request(questionFlag | m_lastQuestion);
    message.mutable_shard_query()->set_id(job.value());
    message.mutable_shard_query()->set_shard(shard.value());
    m_hooks.send(*address, message);
}

bool HolderRequests::replyReceived(const protocol::ShardJobReply& reply)
{
    if ((reply.request() & questionFlag) == 0)
        return false;
    const auto question = m_questions.find(reply.request() & ~questionFlag);
    if (question == m_questions.end())
        return true;
    const auto answered = std::move(question->second.answered);
    m_questions.erase(question);
    answered(presenceOf(reply.known() ? std::optional<JobState>(static_cast<JobState>(reply.state())) : std::nullopt));
    return true;
}

}
