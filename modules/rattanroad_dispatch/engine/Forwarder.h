#pragma once

#include "rattanroad_core/time/Clock.h"
#include "rattanroad_dispatch/job/JobTypes.h"

#include <functional>
#include <map>
#include <set>

namespace rattanroad {

/** Forwards callers' requests to the entry host that decides about them and matches the answers.

    A request is sent again while no sign of it has come back; the deciding host joins repeated submissions, so
   repetition is harmless. When the deciding host disappears the request is handed back for another decision.
*/
class Forwarder {
public:
    enum class Kind {
        Submission,
        AsynchronousSubmission,
        Query,
        Cancel,
    };

    /** A request on its way. */
    struct Request {
        Kind kind { Kind::Submission };
        JobRequest job;
        AnswerCallback answer;
        /** Latest time for an answer. */
        TimePoint deadline;
        std::uint32_t hops { 0 };
    };

    struct Hooks {
        std::function<void(const HostId&, protocol::Envelope&&)> send;
        /** The deciding host is gone: decide again. */
        std::function<void(Request&&)> reroute;
    };

    Forwarder(Clock& clock, Hooks hooks);
    Forwarder(const Forwarder&) = delete;
    Forwarder& operator=(const Forwarder&) = delete;

    void forward(const HostId& host, Request request);
    void answerReceived(const protocol::ForwardedAnswer& answer);
    /** Hands back the requests at hosts that are not in @p liveHosts. */
    void setLiveHosts(const std::set<HostId>& liveHosts);

    /** Sends requests again and ends those past their deadline with "outcome unknown". */
    void tick();
    TimePoint nextWakeup() const;
    std::size_t outstanding() const { return m_pending.size(); }

private:
    struct Pending {
        HostId host;
        Request request;
        TimePoint nextSend;
        Duration interval { 0 };
        bool isAcknowledged { false };
    };

    void send(std::uint64_t number, const Pending& pending);

    Clock& m_clock;
    Hooks m_hooks;
    std::uint64_t m_lastNumber { 0 };
    std::map<std::uint64_t, Pending> m_pending;
};

}
