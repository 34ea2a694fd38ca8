#include "rattanroad_dispatch/job/Job.h"

#include <cassert>

namespace rattanroad {

Job::Job(SubmissionId id, protocol::JobDescription description, TimePoint arrivedAt)
    : m_id(std::move(id))
    , m_description(std::move(description))
    , m_arrivedAt(arrivedAt)
    , m_deadline(arrivedAt + std::chrono::milliseconds(m_description.deadline_left_ms()))
    , m_fingerprint(rattanroad::fingerprint(m_description))
    , m_tasks(static_cast<std::size_t>(m_description.tasks_size()))
{
    m_counts[static_cast<std::size_t>(TaskProgress::State::Waiting)] = m_tasks.size();
    for (auto& task : m_tasks)
        task.since = arrivedAt;
}

void Job::setState(TaskIndex index, TaskProgress::State state)
{
    auto& task = m_tasks.at(index.value());
    --m_counts[static_cast<std::size_t>(task.state)];
    ++m_counts[static_cast<std::size_t>(state)];
    task.state = state;
}

RunState Job::runState() const
{
    if (m_hasUnknown || count(TaskProgress::State::Running) > 0)
        return RunState::OutcomeUnknown;
    return m_hasStarted ? RunState::RanAndFailed : RunState::NotRun;
}

std::vector<std::string> Job::takeResults()
{
    // A partial answer must never leave the owner.
    assert(isEveryTaskSucceeded());
    std::vector<std::string> results;
    results.reserve(m_tasks.size());
    for (auto& task : m_tasks)
        results.push_back(std::move(task.result));
    return results;
}

}
