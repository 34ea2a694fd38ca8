#include "rattanroad/http/ServerPool.h"

#include "rattanroad/http/Problem.h"

#include <cassert>

namespace rattanroad::command {

namespace {

    // The takeover of a failed host's jobs takes 1.5 s, so a shorter pause would only add requests.
    constexpr std::chrono::milliseconds pauseBetweenRounds { 500 };

    /** Returns whether the result is not definitive, so that another server may know more. */
    bool shouldTryNextServer(const HttpExchange& exchange)
    {
        if (exchange.outcome != HttpExchange::Outcome::ResponseReceived)
            return true;
        if (exchange.status < 500)
            return false;
        const auto code = failureOf(exchange).code;
        // A load balancer without a working backend returns 502 to 504 without a problem document.
        if (code == FailureCode::Internal && exchange.status >= 502 && exchange.status <= 504)
            return true;
        return code == FailureCode::NotDecidedHere || code == FailureCode::Draining;
    }

    bool mayHaveReachedServer(const HttpExchange& exchange)
    {
        if (exchange.outcome != HttpExchange::Outcome::ResponseReceived)
            return exchange.outcome == HttpExchange::Outcome::ConnectionLost;
        return failureOf(exchange).runState != RunState::NotRun;
    }

}

ServerPool::ServerPool(std::vector<std::string> servers, HttpTransport transport, const Clock& clock, Sleep sleep)
    : m_servers(std::move(servers))
    , m_transport(std::move(transport))
    , m_clock(clock)
    , m_sleep(std::move(sleep))
{
    assert(!m_servers.empty());
    for (auto& server : m_servers) {
        while (!server.empty() && server.back() == '/')
            server.pop_back();
    }
}

HttpExchange ServerPool::sendTo(const std::string& server, HttpRequest request)
{
    request.server = server;
    return m_transport(request);
}

HttpExchange ServerPool::send(const HttpRequest& request, std::chrono::milliseconds timeLimit)
{
    const auto deadline = m_clock.now() + timeLimit;
    HttpExchange last;
    bool mayHaveBeenReceived = false;
    for (std::size_t attempt = 0;; ++attempt) {
        if (attempt && attempt % m_servers.size() == 0) {
            if (m_clock.now() + pauseBetweenRounds >= deadline)
                break;
            m_sleep(pauseBetweenRounds);
        }
        last = sendTo(m_servers[m_nextServer], request);
        if (!shouldTryNextServer(last))
            return last;
        mayHaveBeenReceived = mayHaveBeenReceived || mayHaveReachedServer(last);
        m_nextServer = (m_nextServer + 1) % m_servers.size();
    }
    // The refusal by the last server does not rule out that an earlier server accepted the request.
    if (mayHaveBeenReceived && !mayHaveReachedServer(last)) {
        last.outcome = HttpExchange::Outcome::ConnectionLost;
        last.detail = "the connection was lost after the request was sent, and no other server knows the outcome";
    }
    return last;
}

}
