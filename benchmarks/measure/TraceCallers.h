#pragma once

#include "fakes/Fleet.h"
#include "measure/CellResult.h"

#include <vector>

namespace rattanroad {

/** Callers that send the jobs of a trace to a Fleet and note what they get. A caller whose connection breaks, or that
   is told "not decided here", sends the same submission id again to another entry host of the same failure domain.
*/
class TraceCallers {
public:
    struct Settings {
        Duration deadline { std::chrono::seconds(30) };
    };

    TraceCallers(Settings settings, Fleet& fleet, const Trace& trace);
    TraceCallers(const TraceCallers&) = delete;
    TraceCallers& operator=(const TraceCallers&) = delete;

    /** Schedules all jobs; the trace starts now. */
    void start();
    bool areAllAnswered() const { return m_answered == m_trace.jobs.size(); }

    struct Outcome {
        Duration response { -1 };
        Duration answeredAt { 0 };
        bool isComplete { false };
        Failure failure;
    };
    const std::vector<Outcome>& outcomes() const { return m_outcomes; }

private:
    void send(std::size_t job, int attempt, SubmissionId id);
    void firstSend(std::size_t job);
    void answered(std::size_t job, int attempt, const SubmissionId& id, const JobAnswer* answer);
    void finish(std::size_t job, const JobAnswer* answer);
    std::size_t hostFor(std::size_t job, int attempt) const;
    protocol::JobDescription describe(std::size_t job) const;
    Duration sinceStart() const { return m_fleet.queue().now() - m_startedAt; }

    Settings m_settings;
    Fleet& m_fleet;
    const Trace& m_trace;
    TimePoint m_startedAt;
    std::vector<Outcome> m_outcomes;
    std::size_t m_answered { 0 };
    std::uint64_t m_nextRequest { 1 };
};

}
