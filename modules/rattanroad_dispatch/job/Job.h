#pragma once

#include "rattanroad_dispatch/job/JobTypes.h"
#include "rattanroad_dispatch/job/TraceContext.h"

#include <map>
#include <set>

namespace rattanroad {

/** Progress of one task of a job at its owner. */
struct TaskProgress {
    enum class State {
        Waiting, ///< Wants a slot.
        Starting, ///< Has a slot; the journal has not acknowledged the start yet.
        Running, ///< Sent to the target.
        BackingOff, ///< Waits before another attempt.
        Succeeded,
        Failed,
    };
    State state { State::Waiting };
    AttemptNumber attempt;
    BorrowedSlot slot;
    std::string result;
    TimePoint since;
    TraceContext trace;
};

/** Waiting tasks that one slot demand covers: same kind, needs and excluded targets. */
struct TaskGroup {
    WorkDemand demand;
    /** Longest declared time last, so that it is taken first. */
    std::vector<TaskIndex> waiting;
};

/** A job in progress at its owner. */
class Job {
public:
    Job(SubmissionId id, protocol::JobDescription description, TimePoint arrivedAt);
    Job(const Job&) = delete;
    Job& operator=(const Job&) = delete;

    const SubmissionId& id() const { return m_id; }
    const protocol::JobDescription& description() const { return m_description; }
    TimePoint arrivedAt() const { return m_arrivedAt; }
    TimePoint deadline() const { return m_deadline; }
    TeamId team() const { return TeamId(m_description.team()); }
    std::uint64_t fingerprint() const { return m_fingerprint; }

    const protocol::TaskDescription& task(TaskIndex index) const
    {
        return m_description.tasks(static_cast<int>(index.value()));
    }
    TaskProgress& progress(TaskIndex index) { return m_tasks.at(index.value()); }
    std::size_t taskCount() const { return m_tasks.size(); }

    /** Changes the state of a task and keeps the counts. */
    void setState(TaskIndex index, TaskProgress::State state);
    std::size_t count(TaskProgress::State state) const { return m_counts[static_cast<std::size_t>(state)]; }
    /** Attempts that hold a slot: the job object must live until they have ended. */
    std::size_t outstanding() const
    {
        return count(TaskProgress::State::Starting) + count(TaskProgress::State::Running);
    }
    bool isEveryTaskSucceeded() const { return count(TaskProgress::State::Succeeded) == m_tasks.size(); }

    /** Notes that an attempt may have reached its target. */
    void noteStarted() { m_hasStarted = true; }
    /** Notes that the outcome of an attempt will never be known. */
    void noteUnknown() { m_hasUnknown = true; }
    /** Returns what is known of the execution of the job as a whole. */
    RunState runState() const;

    /** Moves the results out, in task order. @pre isEveryTaskSucceeded() */
    std::vector<std::string> takeResults();

    /** Demands of this job that are open. */
    std::map<DemandId, TaskGroup> groups;
    /** Callers that wait for the answer. */
    std::vector<AnswerCallback> waiters;
    /** Set when the job has ended and nothing of it may start any more. */
    bool isClosed { false };
    /** Set when the answer has been given. */
    bool isAnswered { false };
    TraceContext trace;
    std::string parentSpanId;

private:
    SubmissionId m_id;
    protocol::JobDescription m_description;
    TimePoint m_arrivedAt;
    TimePoint m_deadline;
    std::uint64_t m_fingerprint;
    std::vector<TaskProgress> m_tasks;
    std::size_t m_counts[6] {};
    bool m_hasStarted { false };
    bool m_hasUnknown { false };
};

}
