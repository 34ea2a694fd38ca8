#pragma once

#include "history/checker/HistoryChecker.h"

#include <map>
#include <optional>

namespace rattanroad {

/** Judges guarantees 1 to 5: what happened to each submission and request. */
class JobChecker {
public:
    explicit JobChecker(const History& history);

    std::vector<Violation> check();

private:
    using TaskId = std::pair<std::string, std::uint32_t>;
    struct Request {
        const HistoryEvent* invoked { nullptr };
        std::vector<const HistoryEvent*> answers;
    };
    struct Submission {
        std::vector<const HistoryEvent*> starts;
        std::vector<std::string> requests;
    };

    void collect(const HistoryEvent& event);
    void checkStarts(const TaskId& task, const std::vector<const HistoryEvent*>& startsAndEnds);
    void checkRequest(const std::string& name, const Request& request);
    void checkResults(const HistoryEvent& invoked, const HistoryEvent& answer);
    void checkNotRun(const std::string& name, const HistoryEvent& invoked, const HistoryEvent& answer);
    bool mayBeCausedByAnother(
        const Submission& submission, const std::string& request, const HistoryEvent& start) const;
    std::string repeatOf(const std::string& submission) const;
    void report(Guarantee guarantee, const HistoryEvent& event, std::string reason);

    const History& m_history;
    std::map<std::string, Request> m_requests;
    std::map<std::string, Submission> m_submissions;
    std::map<TaskId, std::vector<const HistoryEvent*>> m_tasks;
    /** Results that targets returned, with the task and the time of the first return. */
    std::map<std::string, std::pair<TaskId, std::int64_t>> m_results;
    std::vector<Violation> m_violations;
};

}
