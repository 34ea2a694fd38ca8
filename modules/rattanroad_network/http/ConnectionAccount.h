#pragma once

#include "rattanroad_core/identifiers/StrongType.h"
#include "rattanroad_core/identifiers/Units.h"
#include "rattanroad_core/time/Clock.h"

#include <unordered_map>
#include <vector>

namespace rattanroad {

/** Names a connection of a caller; never used again. */
using CallerConnectionId = StrongType<std::uint64_t, struct CallerConnectionIdTag>;

/** Limits of what one process holds for the callers of its HTTP servers. */
struct HttpLimits {
    std::size_t maximumConnections { 4000 };
    /** Requests that are read or served and answers that are not taken, over all connections. */
    ByteCount maximumHeldBytes { 64U << 20U };
    /** Request line and header fields of one request. */
    ByteCount maximumHeadBytes { 32768 };
    /** From the first byte of a request to the end of its header fields. */
    std::chrono::milliseconds headTimeout { std::chrono::seconds(10) };
    /** From the end of the header fields to the end of the body. */
    std::chrono::milliseconds bodyTimeout { std::chrono::seconds(30) };
    std::chrono::milliseconds idleTimeout { std::chrono::seconds(60) };
    /** For a caller to take its answer. */
    std::chrono::milliseconds answerTimeout { std::chrono::seconds(15) };
    /** Requests of one connection that are served in one turn of the loop; more wait for the next turn, so that
        pipelined requests do not delay other callers. */
    std::size_t maximumRequestsPerTurn { 16 };

    /** Derives the limits of a process from its memory and its file descriptors; 0 keeps the default. */
    static HttpLimits of(MebibyteCount memory, std::size_t descriptors);
};

/** What a connection of a caller is doing. */
enum class ConnectionStage {
    Idle,
    ReadingHead,
    ReadingBody,
    Serving, ///< The answer is not known yet.
    Answering, ///< The caller has not taken the answer.
};

/** Why a connection of a caller is closed or a request refused. */
enum class CloseCause {
    AccountFull, ///< It held most for the least progress while the account was full.
    TooManyConnections,
    LongHead,
    SlowHead,
    SlowBody,
    SlowReader,
    Idle,
    RequestRefused, ///< The request was complete while the account was full; it was answered with 503.
    LargeBody, ///< The body is longer than the limit; the request was answered with 413.
};

/** Account of what a process holds for its callers. Decides which connections to close; it does no input or output.

    Protects the memory and the descriptors of the process from crowds of callers that send much and stop, send or read
    slowly, or stay idle.
*/
class ConnectionAccount {
public:
    struct Closing {
        CallerConnectionId connection;
        CloseCause cause;
    };

    explicit ConnectionAccount(HttpLimits limits)
        : m_limits(limits)
    {
    }

    void opened(CallerConnectionId connection, TimePoint now) { m_connections[connection.value()].changedAt = now; }
    void closed(CallerConnectionId connection);
    /** Sets what a connection holds. @p hasProgressed when the caller has sent or taken bytes since the last call. */
    void update(
        CallerConnectionId connection, ConnectionStage stage, std::size_t heldBytes, bool hasProgressed, TimePoint now);

    const HttpLimits& limits() const { return m_limits; }
    std::size_t connections() const { return m_connections.size(); }
    std::size_t heldBytes() const { return m_heldBytes; }
    /** Returns whether a further request must be refused. */
    bool isFull() const { return m_heldBytes > m_limits.maximumHeldBytes.value(); }

    /** Returns whether excess() has to choose connections. */
    bool isExceeded() const { return isFull() || m_connections.size() > m_limits.maximumConnections; }

    /** Returns the connections to close until the account is within its limits again: those that hold most for the
        least progress. Requests that are being served are left alone, since they end by themselves. */
    std::vector<Closing> excess(TimePoint now) const;
    /** Returns the connections whose time for the present stage is over. */
    std::vector<Closing> expired(TimePoint now) const;

private:
    struct Connection {
        ConnectionStage stage { ConnectionStage::Idle };
        std::size_t heldBytes { 0 };
        TimePoint stageSince;
        /** Last time that the caller sent or took bytes. */
        TimePoint changedAt;
    };

    HttpLimits m_limits;
    std::unordered_map<std::uint64_t, Connection> m_connections;
    std::size_t m_heldBytes { 0 };
};

/** Returns the name of the event that counts and logs @p cause. */
const char* eventName(CloseCause cause);

}
