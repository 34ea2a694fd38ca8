#include "fakes/TaskConnections.h"

#include "fakes/TaskPayload.h"

#include <stdexcept>

namespace rattanroad {

namespace {
    constexpr Duration connectTimeout = std::chrono::seconds(1);
}

TaskConnections::TaskConnections(Environment environment, Place place, bool areRejectionsProof, ResultCallback finished)
    : m_environment(environment)
    , m_place(std::move(place))
    , m_areRejectionsProof(areRejectionsProof)
    , m_finished(std::move(finished))
{
}

const Place& TaskConnections::placeOf(const Attempt& attempt) const
{
    return m_environment.targets.settings(attempt.target).place;
}

Duration TaskConnections::latencyTo(const Attempt& attempt) const
{
    return m_environment.network.latencies().between(m_place, placeOf(attempt));
}

void TaskConnections::start(const TaskStart& start)
{
    auto attempt = std::make_shared<Attempt>();
    attempt->key = start.key;
    attempt->target = m_environment.targetNumbers.at(start.target.value());
    attempt->sentAt = m_environment.queue.now();
    if (!m_attempts.emplace(parts(start.key), attempt).second)
        throw std::logic_error("the engine started one attempt twice");
    const auto self = shared_from_this();
    if (m_environment.network.isCut(m_place.failureDomain, placeOf(*attempt).failureDomain)) {
        m_environment.queue.after(connectTimeout,
            [self, attempt] { self->finish(attempt, SlotUse::Unreachable, {}, "connection timed out"); });
        return;
    }
    m_environment.queue.after(
        latencyTo(*attempt), [self, attempt, payload = start.payload] { self->arrive(attempt, payload); });
    m_environment.queue.after(
        start.deadlineLeft, [self, attempt] { self->giveUp(attempt, SlotUse::Unknown, "no answer in time"); });
}

void TaskConnections::arrive(const AttemptPointer& attempt, const std::string& payload)
{
    const std::optional<TaskPayload> task = TaskPayload::parse(payload);
    if (!task)
        throw std::logic_error("a task arrived with a changed payload: " + payload);
    const auto self = shared_from_this();
    attempt->run = m_environment.targets.receive(attempt->target, { task->submission, task->task, task->work, payload },
        [self, attempt](const FakeTargets::Outcome& outcome) { self->answered(attempt, outcome); });
}

void TaskConnections::answered(const AttemptPointer& attempt, const FakeTargets::Outcome& outcome)
{
    if (m_environment.network.isCut(placeOf(*attempt).failureDomain, m_place.failureDomain))
        return;
    const bool isUnprovenRejection = outcome.use == SlotUse::Rejected && !m_areRejectionsProof;
    const SlotUse use = isUnprovenRejection ? SlotUse::Failed : outcome.use;
    m_environment.queue.after(latencyTo(*attempt),
        [self = shared_from_this(), attempt, use, result = outcome.result] { self->finish(attempt, use, result, {}); });
}

void TaskConnections::cancel(const TaskKey& key)
{
    const auto found = m_attempts.find(parts(key));
    if (found == m_attempts.end())
        return;
    m_environment.queue.after(Duration::zero(), [self = shared_from_this(), attempt = found->second] {
        self->giveUp(attempt, SlotUse::Unknown, "closed by the sender");
    });
}

void TaskConnections::giveUp(const AttemptPointer& attempt, SlotUse use, const char* detail)
{
    if (attempt->isFinished)
        return;
    m_environment.queue.after(latencyTo(*attempt), [self = shared_from_this(), attempt] {
        if (attempt->run)
            self->m_environment.targets.abort(attempt->target, attempt->run);
    });
    finish(attempt, use, {}, detail);
}

void TaskConnections::finish(const AttemptPointer& attempt, SlotUse use, std::string result, std::string detail)
{
    if (attempt->isFinished)
        return;
    attempt->isFinished = true;
    m_attempts.erase(parts(attempt->key));
    TaskResult taskResult;
    taskResult.key = attempt->key;
    taskResult.use = use;
    taskResult.result = std::move(result);
    taskResult.detail = std::move(detail);
    taskResult.ran = m_environment.queue.now() - attempt->sentAt;
    m_finished(std::move(taskResult));
}

void TaskConnections::closeAll()
{
    for (const auto& entry : m_attempts)
        entry.second->isFinished = true;
    m_attempts.clear();
}

}
