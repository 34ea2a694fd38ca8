#pragma once

#include "rattanroad_network/http/HttpConnections.h"
#include "rattanroad_network/telemetry/StateLog.h"

#include <functional>
#include <map>

namespace rattanroad::daemon {

/** Counts the connections and requests of callers that met a limit, and logs at most one line per cause and second. */
class HttpLimitLog {
public:
    using Write = std::function<void(const char* event, const StateLog::Fields& fields)>;
    using Count = std::function<void(const char* event)>;

    HttpLimitLog(Clock& clock, Write write, Count count)
        : m_clock(clock)
        , m_write(std::move(write))
        , m_count(std::move(count))
    {
    }

    /** Records one connection or request that held @p heldBytes, and the state of the account at that moment. */
    void add(CloseCause cause, std::size_t heldBytes, const ConnectionAccount& account);

private:
    struct Second {
        TimePoint loggedAt;
        std::uint64_t countSince { 0 };
    };

    Clock& m_clock;
    Write m_write;
    Count m_count;
    std::map<CloseCause, Second> m_seconds;
};

}
