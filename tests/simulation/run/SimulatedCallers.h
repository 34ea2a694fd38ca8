#pragma once

#include "fakes/Fleet.h"

#include <map>
#include <string>
#include <vector>

namespace rattanroad {

/** Callers of a failure run. They use ids fetched ahead, ids made by the host, or keys of their own; resubmit what they
    believe lost, sometimes while the first request is still in progress; and cancel.
*/
class SimulatedCallers {
public:
    SimulatedCallers(Fleet& fleet, RandomSource& random);
    SimulatedCallers(const SimulatedCallers&) = delete;
    SimulatedCallers& operator=(const SimulatedCallers&) = delete;

    /** Sends one new job to a random live host. */
    void sendJob();
    /** Sends a job that must complete, as nothing is broken any more. */
    void sendProbe(std::size_t host);
    /** Cancels most jobs that have no answer yet. */
    void cancelWave();

    /** Returns the names of requests without any answer or broken connection. */
    std::vector<std::string> unanswered() const;
    /** Returns a line per probe that did not complete. */
    const std::vector<std::string>& failedProbes() const { return m_failedProbes; }
    std::size_t completedJobs() const { return m_completedJobs; }

private:
    struct Submission {
        std::string name;
        JobRequest request;
        std::string repeat;
        int attempts { 0 };
        bool isProbe { false };
        bool isAnswered { false };
    };
    using SubmissionPointer = std::shared_ptr<Submission>;

    SubmissionPointer create(std::size_t host, std::uint32_t tasks, std::uint32_t deadlineMs);
    void send(const SubmissionPointer& submission, std::size_t host);
    void answered(const SubmissionPointer& submission, const JobAnswer* answer);
    void resendLater(const SubmissionPointer& submission);
    void cancel(const SubmissionPointer& submission);
    std::string recordInvoked(const Submission& submission, std::size_t host, const std::string& repeat);
    void recordAnswered(const Submission& submission, const std::string& request, const JobAnswer* answer);
    std::size_t randomHost();
    Duration upTo(int milliseconds);

    Fleet& m_fleet;
    RandomSource& m_random;
    std::uint64_t m_nextSubmission { 1 };
    std::uint64_t m_nextRequest { 1 };
    std::map<std::string, SubmissionPointer> m_open;
    std::map<std::string, std::string> m_unanswered;
    std::vector<std::string> m_failedProbes;
    std::size_t m_completedJobs { 0 };
};

}
