#include "rattanroad/http/ServerPool.h"

#include "rattanroad/http/Problem.h"

#include <cassert>

namespace rattanroad::command {

namespace {

    // A takeover of a dead host's work takes 1.5 s, so a shorter pause would only add requests.
    constexpr std::chrono::milliseconds pauseBetweenRounds { 500 };

    /** Returns whether another host may decide where this one could not. */
    bool isUndecided(const HttpExchange& exchange)
    {
        if (exchange.outcome != HttpExchange::Outcome::Answered)
            return true;
        if (exchange.status < 500)
            return false;
        const auto code = failureOf(exchange).code;
        // A load balancer that lost its host answers 502 to 504 without a problem document.
        if (code == FailureCode::Internal && exchange.status >= 502 && exchange.status <= 504)
            return true;
        return code == FailureCode::NotDecidedHere || code == FailureCode::Draining;
    }

    bool mayHaveReachedServer(const HttpExchange& exchange)
    {
        if (exchange.outcome != HttpExchange::Outcome::Answered)
            return exchange.outcome == HttpExchange::Outcome::Broken;
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
    const auto end = m_clock.now() + timeLimit;
    HttpExchange last;
    bool mayHaveBeenSent = false;
    for (std::size_t attempt = 0;; ++attempt) {
        if (attempt && attempt % m_servers.size() == 0) {
            if (m_clock.now() + pauseBetweenRounds >= end)
                break;
            m_sleep(pauseBetweenRounds);
        }
        last = sendTo(m_servers[m_next], request);
        if (!isUndecided(last))
            return last;
        mayHaveBeenSent = mayHaveBeenSent || mayHaveReachedServer(last);
        m_next = (m_next + 1) % m_servers.size();
    }
    // A refusal of the last host says nothing about the request that an earlier host may have accepted.
    if (mayHaveBeenSent && !mayHaveReachedServer(last)) {
        last.outcome = HttpExchange::Outcome::Broken;
        last.detail = "the connection broke after the request was sent, and no other server could decide";
    }
    return last;
}

}
