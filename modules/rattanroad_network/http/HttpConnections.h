#pragma once

#include "rattanroad_network/http/ConnectionAccount.h"

#include <functional>
#include <memory>

struct st_h2o_socket_t;

namespace rattanroad {

class EventLoop;

/** Open connections of the callers of all HTTP servers of a process: keeps their ConnectionAccount up to date and
   closes the connections that it names.

    h2o reads into a buffer of each socket and calls back its own parser. The callback is wrapped here, so that what a
    connection holds is known at the end of each turn of the loop. A turn reads from each socket about what its receive
    buffer holds, which bounds what can arrive beyond the limits.

    Must outlive the last run of the loop, as the servers.
*/
class HttpConnections {
public:
    /** One open connection. */
    class Connection;
    /** Called for each connection that is closed or refused because of a limit, with what it held. */
    using CloseCallback = std::function<void(CloseCause, std::size_t heldBytes)>;

    HttpConnections(EventLoop& loop, HttpLimits limits, CloseCallback closed);
    ~HttpConnections();
    HttpConnections(const HttpConnections&) = delete;
    HttpConnections& operator=(const HttpConnections&) = delete;

    /** Sets the buffer sizes that the connections accepted from a listener inherit. */
    static void setBufferSizes(int listeningDescriptor);

    /** Returns whether a further connection may be opened. Otherwise it counts the refusal. */
    bool mayOpen();
    /** Registers an accepted connection of the listener on @p port. */
    void opened(st_h2o_socket_t* socket, int port);
    /** Returns the connection of a registered socket. */
    static Connection& of(const st_h2o_socket_t* socket);
    static int port(const Connection& connection);

    /** A request was read. Returns whether it may be served in this turn of the loop. */
    bool requestReceived(Connection& connection);
    /** An answer of @p bytes is being sent; a streamed answer has no known end and is not reported. */
    void answerStarted(Connection& connection, std::size_t bytes);
    /** The answer was handed to the kernel, or the connection is being closed. */
    void requestEnded(Connection& connection);

    /** Reports a request that was refused because of a limit. */
    void refused(CloseCause cause, std::size_t heldBytes);

    const ConnectionAccount& account() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
