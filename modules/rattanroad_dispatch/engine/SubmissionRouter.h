#pragma once

#include "rattanroad_dispatch/engine/AnswerCache.h"
#include "rattanroad_dispatch/engine/Forwarder.h"
#include "rattanroad_dispatch/engine/JobRunner.h"

#include <map>

namespace rattanroad {

/** Decides for each request about a submission whether it runs here, joins an active job, gets a known answer, goes to
   the deciding host, waits for a takeover, or fails.
*/
class SubmissionRouter {
public:
    using Request = Forwarder::Request;
    using Kind = Forwarder::Kind;

    struct Dependencies {
        Clock& clock;
        SubmissionLedger& ledger;
        JobRunner& runner;
        AnswerCache& answers;
        Forwarder& forwarder;
        AdmissionControl& admission;
        const QueueWaitEstimator& queueWaitEstimator;
        const RunTimeEstimator& runTimeEstimator;
    };

    struct Hooks {
        std::function<std::shared_ptr<const Inventory>()> inventory;
        std::function<bool()> isDraining;
        std::function<bool(const HostId&)> isAlive;
    };

    SubmissionRouter(Dependencies dependencies, Hooks hooks);
    SubmissionRouter(const SubmissionRouter&) = delete;
    SubmissionRouter& operator=(const SubmissionRouter&) = delete;

    /** Decides about @p request. @pre the request carries a submission id */
    void route(Request request);
    /** Decides again about the requests that wait for @p segment. */
    void standingChanged(const SegmentKey& segment);
    /** Ends waiting requests that are past their deadline. */
    void tick();
    TimePoint nextWakeup() const;

    std::size_t waiting() const { return m_waiting.size(); }
    std::uint64_t jobsRefused() const { return m_jobsRefused; }
    std::uint64_t jobsAccepted() const { return m_jobsAccepted; }
    std::uint64_t jobsJoined() const { return m_jobsJoined; }

    /** Calls @p request's answer with a failure. */
    static void answerFailure(const Request& request, Failure failure);

private:
    void routeNew(Request request);
    void cancelNew(const Request& request);
    void routeActive(Request request);
    void routeSealed(const Request& request);
    void routeElsewhere(Request request, const HostId& host);
    AdmissionControl::Context admissionContext(const protocol::JobDescription& job) const;

    Dependencies m_dependencies;
    Hooks m_hooks;
    std::multimap<SegmentKey, Request> m_waiting;
    std::uint64_t m_jobsRefused { 0 };
    std::uint64_t m_jobsAccepted { 0 };
    std::uint64_t m_jobsJoined { 0 };
};

}
