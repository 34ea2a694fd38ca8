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
    , m_lastId(RequestNumber::firstId(settings.incarnation))
{
}

void JobQueries::query(const JobId& job, std::chrono::milliseconds wait, StateReply reply)
{
    const JobStateCache::Entry* const cached = m_states.find(job);
    if (cached && (hasEnded(cached->state) || m_clock.now() - cached->updatedAt < m_settings.maximumStateAge)) {
        reply(QueryResult::Known, cached->state);
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
    if (!m_isAccepting) {
        reply(QueryResult::Unavailable, JobState::Queued);
        return;
    }
    const std::uint64_t id = ++m_lastId;
    m_pending[id] = { job, m_clock.now() + wait, std::move(reply), isCancel, false, 0, std::nullopt };
    startAttempt(id);
}

void JobQueries::startAttempt(std::uint64_t id)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end())
        return;
    const PendingQuery& pending = found->second;
    if (m_clock.now() >= pending.deadline) {
        expire(id);
        return;
    }
    const JobStateCache::Entry* const cached = m_states.find(pending.job);
    if (cached)
        sendToHolder(id, ShardId(cached->shard));
    else
        readRecord(id);
}

void JobQueries::expire(std::uint64_t id)
{
    // The stored record proves that the job exists; its state may have advanced since.
    const PendingQuery& pending = m_pending[id];
    const bool hasState = pending.storedState && !pending.isCancel;
    finish(
        id, hasState ? QueryResult::Known : QueryResult::Unavailable, pending.storedState.value_or(JobState::Queued));
}

void JobQueries::answerWaiting()
{
    m_isAccepting = false;
    while (!m_pending.empty())
        expire(m_pending.begin()->first);
}

void JobQueries::sendToHolder(std::uint64_t id, const ShardId& shard)
{
    PendingQuery& pending = m_pending[id];
    const std::uint64_t attempt = ++pending.attempt;
    m_timers.after(m_settings.replyTimeout, [this, id, attempt] {
        const auto entry = m_pending.find(id);
        if (entry != m_pending.end() && entry->second.attempt == attempt)
            handleNoAnswer(id);
    });
    if (ShardDispatcher* const local = m_hooks.localDispatcher(shard)) {
        callLocalHolder(id, *local);
        return;
    }
    const std::string* const address = m_loads.holderAddress(shard);
    if (!address)
        return;
    const RequestNumber number(id, attempt);
    protocol::Envelope message = m_hooks.envelope();
    if (pending.isCancel) {
        message.mutable_shard_cancel()->set_request(number.toWire());
        message.mutable_shard_cancel()->set_id(pending.job.value());
    } else {
        message.mutable_shard_query()->set_request(number.toWire());
        message.mutable_shard_query()->set_id(pending.job.value());
    }
    m_hooks.send(*address, message);
}

void JobQueries::callLocalHolder(std::uint64_t id, ShardDispatcher& holder)
{
    const PendingQuery& pending = m_pending[id];
    const RequestNumber number(id, pending.attempt);
    if (pending.isCancel) {
        holder.cancel(
            pending.job, [this, number](bool isKnown, JobState state) { handleReply(number, isKnown, state); });
        return;
    }
    const std::optional<JobState> state = holder.state(pending.job);
    handleReply(number, state.has_value(), state.value_or(JobState::Queued));
}

void JobQueries::readRecord(std::uint64_t id)
{
    m_store.read(storekeys::job(m_pending[id].job), [this, id](const ReadReply& reply) {
        if (m_pending.count(id))
            handleRecord(id, reply);
    });
}

void JobQueries::handleRecord(std::uint64_t id, const ReadReply& reply)
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
        m_timers.after(m_settings.retryPause, [this, id] { startAttempt(id); });
        return;
    }
    PendingQuery& pending = m_pending[id];
    const auto state = static_cast<JobState>(record.state());
    pending.wasRecordRead = true;
    pending.storedState = state;
    m_states.update(pending.job, ShardId(record.shard()), state);
    if (hasEnded(state))
        finish(id, QueryResult::Known, state);
    else
        sendToHolder(id, ShardId(record.shard()));
}

void JobQueries::handleReply(RequestNumber request, bool isKnown, JobState state)
{
    const auto found = m_pending.find(request.id());
    if (found == m_pending.end() || !request.isOfAttempt(found->second.attempt))
        return;
    if (!isKnown) {
        // A new holder may still be loading the job records.
        handleNoAnswer(request.id());
        return;
    }
    const JobId& job = found->second.job;
    if (const JobStateCache::Entry* const cached = m_states.find(job))
        m_states.update(job, ShardId(cached->shard), state);
    finish(request.id(), QueryResult::Known, state);
}

void JobQueries::handleNoAnswer(std::uint64_t id)
{
    PendingQuery& pending = m_pending[id];
    if (!pending.wasRecordRead) {
        readRecord(id);
        return;
    }
    if (!pending.isCancel && pending.storedState) {
        finish(id, QueryResult::Known, *pending.storedState);
        return;
    }
    ++pending.attempt;
    // The job may be transferred to another shard meanwhile, which its record names.
    pending.wasRecordRead = false;
    m_timers.after(m_settings.retryPause, [this, id] { startAttempt(id); });
}

void JobQueries::finish(std::uint64_t id, QueryResult result, JobState state)
{
    const StateReply reply = std::move(m_pending[id].reply);
    m_pending.erase(id);
    reply(result, state);
}

void JobQueries::jobEnded(const JobId& job, JobState state)
{
    if (const JobStateCache::Entry* const cached = m_states.find(job))
        m_states.update(job, ShardId(cached->shard), state);
}

}
