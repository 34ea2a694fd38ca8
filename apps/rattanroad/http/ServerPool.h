#pragma once

#include "rattanroad/http/HttpTypes.h"
#include "rattanroad_core/time/Clock.h"

namespace rattanroad::command {

/** The entry hosts that the command may talk to; takes the next one when a request fails. */
class ServerPool {
public:
    using Sleep = std::function<void(std::chrono::milliseconds)>;

    /** @p servers must not be empty. */
    ServerPool(std::vector<std::string> servers, HttpTransport transport, const Clock& clock, Sleep sleep);

    /** Sends an idempotent request to the servers in turn until one decides or @p timeLimit has passed since the call;
        every server is tried at least once. A request that may have reached a server and was not decided by another one
        ends as HttpExchange::Outcome::Broken, even when the last server could not be reached.
    */
    HttpExchange send(const HttpRequest& request, std::chrono::milliseconds timeLimit);

    /** Sends @p request to @p server only, once. */
    HttpExchange sendTo(const std::string& server, HttpRequest request);

    const std::vector<std::string>& servers() const { return m_servers; }

private:
    std::vector<std::string> m_servers;
    HttpTransport m_transport;
    const Clock& m_clock;
    Sleep m_sleep;
    std::size_t m_next { 0 };
};

}
