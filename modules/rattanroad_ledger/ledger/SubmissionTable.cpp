#include "rattanroad_ledger/ledger/SubmissionTable.h"

#include "rattanroad_ledger/ledger/LedgerGuards.h"

namespace rattanroad {

namespace {

    /** Moves job and outcomes out; the states of the tasks remain. */
    void moveTasks(JournaledSubmission& from, RecoveredSubmission& to)
    {
        if (from.job)
            to.job = std::move(*from.job);
        from.job.reset();
        for (auto& task : from.tasks) {
            RecoveredTask state { task.state, task.attempts, {} };
            if (task.outcome)
                state.outcome = std::move(*task.outcome);
            task.outcome.reset();
            to.tasks.push_back(std::move(state));
        }
    }

}

void SubmissionTable::apply(protocol::JournalRecord&& record, TimePoint now)
{
    const SequenceNumber sequence(record.submission_sequence());
    switch (record.record_case()) {
    case protocol::JournalRecord::kAccept: {
        const auto taskCount = static_cast<std::size_t>(record.accept().tasks_size());
        accept(
            sequence, taskCount, std::make_unique<protocol::JobDescription>(std::move(*record.mutable_accept())), now);
        return;
    }
    case protocol::JournalRecord::kStart:
        start(sequence, TaskIndex(record.start().task()), AttemptNumber(record.start().attempt()));
        return;
    case protocol::JournalRecord::kOutcome: {
        auto& outcome = *record.mutable_outcome();
        recordOutcome(sequence, TaskIndex(outcome.task()), AttemptNumber(outcome.attempt()), outcome.not_started(),
            std::move(*outcome.mutable_outcome()));
        return;
    }
    case protocol::JournalRecord::kSeal:
        seal(sequence, std::make_unique<protocol::SealRecord>(std::move(*record.mutable_seal())), now);
        return;
    case protocol::JournalRecord::RECORD_NOT_SET:
        return;
    }
}

void SubmissionTable::accept(
    SequenceNumber sequence, std::size_t taskCount, std::unique_ptr<protocol::JobDescription> job, TimePoint now)
{
    if (isExpired(sequence))
        return;
    const auto [entry, isNew] = m_submissions.try_emplace(sequence);
    if (!isNew)
        return;
    entry->second.acceptedAt = now;
    entry->second.tasks.resize(taskCount);
    if (m_content == Content::Complete)
        entry->second.job = std::move(job);
    ++m_activeCount;
}

JournaledTask* SubmissionTable::activeTask(SequenceNumber sequence, TaskIndex task)
{
    const auto entry = m_submissions.find(sequence);
    if (entry == m_submissions.end() || entry->second.isSealed || task.value() >= entry->second.tasks.size())
        return nullptr;
    return &entry->second.tasks[task.value()];
}

bool SubmissionTable::start(SequenceNumber sequence, TaskIndex task, AttemptNumber attempt)
{
    auto* state = activeTask(sequence, task);
    if (!state || attempt <= state->attempts)
        return false;
    const bool isOpen = state->state == RecoveredTask::State::StartedOutcomeUnknown;
    if (isGuarded(Guard::UnknownOutcome) && (state->isFinal || isOpen))
        return false;
    state->attempts = attempt;
    state->state = RecoveredTask::State::StartedOutcomeUnknown;
    state->outcome.reset();
    return true;
}

bool SubmissionTable::recordOutcome(SequenceNumber sequence, TaskIndex task, AttemptNumber attempt,
    bool isProvablyNotStarted, protocol::TaskOutcome&& outcome)
{
    auto* state = activeTask(sequence, task);
    if (!state || attempt != state->attempts || state->state != RecoveredTask::State::StartedOutcomeUnknown)
        return false;
    if (isProvablyNotStarted) {
        state->state = RecoveredTask::State::NotStarted;
        return true;
    }
    state->state = RecoveredTask::State::Ended;
    state->isFinal = outcome.succeeded() || outcome.failure().run_state() == protocol::OUTCOME_UNKNOWN;
    if (m_content == Content::Complete)
        state->outcome = std::make_unique<protocol::TaskOutcome>(std::move(outcome));
    return true;
}

bool SubmissionTable::seal(SequenceNumber sequence, std::unique_ptr<protocol::SealRecord> seal, TimePoint now)
{
    if (isExpired(sequence))
        return false;
    const auto [entry, isNew] = m_submissions.try_emplace(sequence);
    auto& submission = entry->second;
    if (submission.isSealed)
        return false;
    if (isNew)
        submission.acceptedAt = now;
    else
        --m_activeCount;
    submission.isSealed = true;
    m_sealed.emplace_back(now, sequence);
    if (m_content == Content::StatesOnly) {
        // Nothing of a sealed submission starts, so its task states are not needed any more.
        std::vector<JournaledTask>().swap(submission.tasks);
        return true;
    }
    pack(sequence, submission, std::move(*seal));
    return true;
}

void SubmissionTable::pack(SequenceNumber sequence, JournaledSubmission& submission, protocol::SealRecord&& seal)
{
    protocol::JournalAppend container;
    const auto add = [&container, sequence] {
        auto* record = container.add_records();
        record->set_submission_sequence(sequence.value());
        return record;
    };
    if (submission.job) {
        for (auto& task : *submission.job->mutable_tasks())
            task.clear_payload();
        *add()->mutable_accept() = std::move(*submission.job);
    }
    for (std::uint32_t index = 0; index < submission.tasks.size(); ++index) {
        auto& task = submission.tasks[index];
        if (task.state == RecoveredTask::State::NotStarted)
            continue;
        auto& start = *add()->mutable_start();
        start.set_task(index);
        start.set_attempt(task.attempts.value());
        if (!task.outcome)
            continue;
        auto& outcome = *add()->mutable_outcome();
        outcome.set_task(index);
        outcome.set_attempt(task.attempts.value());
        *outcome.mutable_outcome() = std::move(*task.outcome);
    }
    *add()->mutable_seal() = std::move(seal);
    submission.packed = std::make_unique<std::string>(container.SerializeAsString());
    submission.job.reset();
    std::vector<JournaledTask>().swap(submission.tasks);
}

RecoveredSubmission SubmissionTable::unpack(SequenceNumber sequence, const JournaledSubmission& submission)
{
    protocol::JournalAppend container;
    container.ParseFromString(*submission.packed);
    SubmissionTable records(Content::Complete);
    RecoveredSubmission result;
    for (auto& record : *container.mutable_records()) {
        if (record.has_seal())
            result.seal = std::move(*record.mutable_seal());
        else
            records.apply(std::move(record), submission.acceptedAt);
    }
    const auto entry = records.m_submissions.find(sequence);
    if (entry != records.m_submissions.end())
        moveTasks(entry->second, result);
    return result;
}

const JournaledSubmission* SubmissionTable::find(SequenceNumber sequence) const
{
    const auto entry = m_submissions.find(sequence);
    return entry == m_submissions.end() ? nullptr : &entry->second;
}

bool SubmissionTable::isExpired(SequenceNumber sequence) const { return sequence < m_lowWater && !find(sequence); }

void SubmissionTable::raiseLowWater(SequenceNumber sequence) { m_lowWater = std::max(m_lowWater, sequence); }

void SubmissionTable::expire(TimePoint sealedBefore)
{
    while (!m_sealed.empty() && m_sealed.front().first < sealedBefore) {
        const auto sequence = m_sealed.front().second;
        m_sealed.pop_front();
        m_submissions.erase(sequence);
        // Ids below this one were minted earlier, so those that were never used are past their retention as well.
        raiseLowWater(SequenceNumber(sequence.value() + 1));
    }
}

void SubmissionTable::clear()
{
    m_submissions.clear();
    m_sealed.clear();
    m_activeCount = 0;
}

std::vector<RecoveredSubmission> SubmissionTable::recover(const SegmentKey& segment, const std::vector<HostId>& backups)
{
    std::vector<RecoveredSubmission> recovered;
    recovered.reserve(m_submissions.size());
    for (auto& [sequence, submission] : m_submissions) {
        RecoveredSubmission result;
        if (submission.packed)
            result = unpack(sequence, submission);
        else
            moveTasks(submission, result);
        submission.packed.reset();
        result.id = { segment, backups, sequence };
        result.isSealed = submission.isSealed;
        result.acceptedAt = submission.acceptedAt;
        recovered.push_back(std::move(result));
    }
    m_content = Content::StatesOnly;
    return recovered;
}

}
