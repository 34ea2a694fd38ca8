#include "rattanroad_shards/entrance/JobQueries.h"

#include "rattanroad_shards/holding/StoreKeys.h"

namespace rattanroad::shards {

JobQueries::JobQueries(
    Settings settings, KeyValueStore& store, const ShardLoads& loads, Timers timers, const Clock& clock, Hooks hooks)
    : m_settings(settings)
    , m_store(store)
    , m_loads(loads)
    , m_timers(std::move(timers))
    , m_clock(clock)
    , m_hooks(std::move(hooks))
    , m_states(settings.states, clock)
{
}

void JobQueries::query(const JobId& job, std::chrono::milliseconds wait, StateReply reply)
{
    const JobStateCache::Seen* const seen = m_states.find(job);
    if (seen && (hasEnded(seen->state) || m_clock.now() - seen->seenAt < m_settings.stateLimit)) {
        reply(QueryResult::Known, seen->state);
        return;
    }
    begin(job, wait, false, std::move(reply));
}

void JobQueries::cancel(const JobId& job, std::chrono::milliseconds wait, StateReply reply)
{
    begin(job, wait, true, std::move(reply));
}

void JobQueries::begin(const JobId& job, std::chrono::milliseconds wait, bool isCancel, StateReply reply)
{
    const std::uint64_t id = ++m_lastQuestion;
    m_questions[id] = { job, m_clock.now() + wait, std::move(reply), isCancel, false, 0, std::nullopt };
    ask(id);
}

void JobQueries::ask(std::uint64_t id)
{
    const auto found = m_questions.find(id);
    if (found == m_questions.end())
        return;
    const Question& question = found->second;
    if (m_clock.now() >= question.deadline) {
        // The record tells that the job exists; only its end may be newer.
        const bool hasState = question.storedState && !question.isCancel;
        finish(id, hasState ? QueryResult::Known : QueryResult::Unavailable,
            question.storedState.value_or(JobState::Queued));
        return;
    }
    const JobStateCache::Seen* const seen = m_states.find(question.job);
    if (seen)
        askHolder(id, ShardId(seen->shard));
    else
        readRecord(id);
}

void JobQueries::askHolder(std::uint64_t id, const ShardId& shard)
{
    Question& question = m_questions[id];
    const std::uint64_t attempt = ++question.attempt;
    m_timers.after(m_settings.replyTimeout, [this, id, attempt] {
        const auto entry = m_questions.find(id);
        if (entry != m_questions.end() && entry->second.attempt == attempt)
            holderSilent(id);
    });
    if (ShardDispatcher* const local = m_hooks.local(shard)) {
        askLocal(id, *local);
        return;
    }
    const std::string* const address = m_loads.holderAddress(shard);
    if (!address)
        return;
    const RequestNumber number(id, attempt);
    protocol::Envelope message = m_hooks.envelope();
    if (question.isCancel) {
        message.mutable_shard_cancel()->set_request(number.wire());
        message.mutable_shard_cancel()->set_id(question.job.value());
    } else {
        message.mutable_shard_query()->set_request(number.wire());
        message.mutable_shard_query()->set_id(question.job.value());
    }
    m_hooks.send(*address, message);
}

void JobQueries::askLocal(std::uint64_t id, ShardDispatcher& holder)
{
    const Question& question = m_questions[id];
    const RequestNumber number(id, question.attempt);
    if (question.isCancel) {
        holder.cancel(question.job, [this, number](bool isKnown, JobState state) { answered(number, isKnown, state); });
        return;
    }
    const std::optional<JobState> state = holder.state(question.job);
    answered(number, state.has_value(), state.value_or(JobState::Queued));
}

void JobQueries::readRecord(std::uint64_t id)
{
    m_store.read(storekeys::job(m_questions[id].job), [this, id](const ReadReply& reply) {
        if (m_questions.count(id))
            takeRecord(id, reply);
    });
}

void JobQueries::takeRecord(std::uint64_t id, const ReadReply& reply)
{
    if (reply.status == StoreStatus::Absent) {
        finish(id, QueryResult::NoSuchJob, JobState::Queued);
        return;
    }
    protocol::JobRecord record;
    const bool isRead = reply.status == StoreStatus::Done && !reply.items.empty()
        && record.ParseFromString(reply.items.front().value)
        && record.state() <= static_cast<unsigned>(JobState::Cancelled);
    if (!isRead) {
        m_timers.after(m_settings.retryPause, [this, id] { ask(id); });
        return;
    }
    Question& question = m_questions[id];
    const auto state = static_cast<JobState>(record.state());
    question.wasRead = true;
    question.storedState = state;
    m_states.note(question.job, ShardId(record.shard()), state);
    if (hasEnded(state))
        finish(id, QueryResult::Known, state);
    else
        askHolder(id, ShardId(record.shard()));
}

void JobQueries::answered(RequestNumber request, bool isKnown, JobState state)
{
    const auto found = m_questions.find(request.id());
    if (found == m_questions.end() || !request.isOfAttempt(found->second.attempt))
        return;
    if (!isKnown) {
        // The holder may be new and still reading its records.
        holderSilent(request.id());
        return;
    }
    const JobId& job = found->second.job;
    if (const JobStateCache::Seen* const seen = m_states.find(job))
        m_states.note(job, ShardId(seen->shard), state);
    finish(request.id(), QueryResult::Known, state);
}

void JobQueries::holderSilent(std::uint64_t id)
{
    Question& question = m_questions[id];
    if (!question.wasRead) {
        readRecord(id);
        return;
    }
    if (!question.isCancel && question.storedState) {
        finish(id, QueryResult::Known, *question.storedState);
        return;
    }
    ++question.attempt;
    m_timers.after(m_settings.retryPause, [this, id] { ask(id); });
}

void JobQueries::finish(std::uint64_t id, QueryResult knowledge, JobState state)
{
    const StateReply reply = std::move(m_questions[id].reply);
    m_questions.erase(id);
    reply(knowledge, state);
}

void JobQueries::jobEnded(const JobId& job, JobState state)
{
    if (const JobStateCache::Seen* const seen = m_states.find(job))
        m_states.note(job, ShardId(seen->shard), state);
}

}
