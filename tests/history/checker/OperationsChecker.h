#pragma once

#include "history/checker/HistoryChecker.h"

#include <map>
#include <optional>
#include <set>

namespace rattanroad {

/** Judges guarantees 6 to 8: leaving targets, graceful shutdown and configuration. */
class OperationsChecker {
public:
    explicit OperationsChecker(const History& history);

    std::vector<Violation> check();

private:
    struct Interval {
        std::int64_t from;
        std::int64_t to;
    };
    struct Process {
        std::optional<std::int64_t> shutdownAt;
        bool isGracefullyEnded { false };
        /** When the process could learn of configurations; the last one may be open. */
        std::vector<Interval> reachable;
        /** Reasons why it cannot, for example frozen and cut off at the same time. */
        int obstacles { 0 };
        std::vector<const HistoryEvent*> revisions;
    };
    struct Request {
        const HistoryEvent* invoked { nullptr };
        bool isAnswered { false };
    };

    void collect(const HistoryEvent& event);
    void collectStart(const HistoryEvent& event);
    static void addObstacle(Process& process, std::int64_t time, int change);
    static void setReachable(Process& process, std::int64_t time, bool isReachable);
    void checkShutdown(const Request& request);
    void checkRevisions(const std::string& name, const Process& process);
    void checkInForce(const std::string& name, const Process& process, const HistoryEvent& accepted);
    void report(Guarantee guarantee, std::int64_t timeUs, std::string reason);

    const History& m_history;
    std::map<std::string, std::int64_t> m_leavingSince;
    std::map<std::string, Process> m_processes;
    std::map<std::string, Request> m_requests;
    std::vector<const HistoryEvent*> m_accepted;
    std::vector<Violation> m_violations;
};

}
