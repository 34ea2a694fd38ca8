#pragma once

#include "rattanroad/http/HttpTypes.h"
#include "rattanroad_core/time/Clock.h"

namespace rattanroad::command {

/** The entry hosts that the command may use. Requests fail over to the next one. */
class ServerPool {
public:
    using Sleep = std::function<void(std::chrono::milliseconds)>;

    /** @p servers must not be empty. */
    ServerPool(std::vector<std::string> servers, HttpTransport transport, const Clock& clock, Sleep sleep);

    /** Sends an idempotent request to the servers in turn until one gives a definitive response or @p timeLimit has
        passed since the call. Every server is tried at least once. A request that may have reached a server and got no
        definitive response ends as HttpExchange::Outcome::ConnectionLost, even when the last server could not be
       reached.
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
    std::size_t m_nextServer { 0 };
};

}
