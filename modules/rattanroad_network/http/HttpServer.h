#pragma once

#include "rattanroad_core/failure/Result.h"
#include "rattanroad_core/identifiers/Units.h"
#include "rattanroad_network/http/HttpTypes.h"

#include <functional>
#include <memory>

namespace rattanroad {

class EventLoop;
class HttpConnections;

/** The answer to one request of an HttpServer. Copies refer to the same answer. An answer may be given at any later
    time, also after the caller has disconnected; it is then dropped.
*/
class HttpResponder {
public:
    class State;
    explicit HttpResponder(std::shared_ptr<State> state);

    /** Sends the whole answer. @pre nothing was sent before */
    void send(const HttpResponse& response) const;
    /** Starts an answer of unknown length, to be continued with sendChunk(). @pre nothing was sent before */
    void startStream(int status, const std::string& contentType) const;
    /** Continues a streamed answer; @p isLast ends it. */
    void sendChunk(const std::string& chunk, bool isLast) const;
    /** Closes the connection without an answer. @pre nothing was sent before */
    void abort() const;

    /** Returns whether the caller can still receive the answer. */
    bool isOpen() const;
    /** Calls @p callback once when the caller disconnects before the answer was complete. */
    void setDisconnectCallback(std::function<void()> callback) const;

private:
    std::shared_ptr<State> m_state;
};

/** HTTP/1.1 server on an EventLoop. Each request is handed to the handler with its whole body and is answered exactly
    once, at any time. A request whose caller has disconnected before it was read is dropped.

    The server must live until the end of its loop's last run, as connections may stay open until then.
*/
class HttpServer {
public:
    struct Settings {
        /** A larger body is answered with 413 before the handler is called. */
        ByteCount maximumBodySize { 8U << 20U };
        /** Idle connections of callers are closed after this time; ignored with @ref connections. */
        std::chrono::milliseconds idleTimeout { std::chrono::seconds(60) };
        /** Body of the 413 answer. */
        HttpResponse tooLargeResponse { 413, "application/json", {}, R"({"error":"the request is too large"})" };
        /** Connections of all servers of the process; the server has limits of its own when it is null. */
        std::shared_ptr<HttpConnections> connections;
    };
    /** Requests that were answered before their body was read. */
    struct ParserRefusals {
        std::uint64_t malformed { 0 };
        std::uint64_t tooLarge { 0 };
    };
    using Handler = std::function<void(HttpRequest&&, const HttpResponder&)>;

    HttpServer(EventLoop& loop, Settings settings, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /** Listens on "<IPv4 number>:<port>" and returns the port; port 0 takes any free one. May be called repeatedly.
        Fails with FailureCode::Internal when the address cannot be bound.
    */
    Result<int> listen(const std::string& address);
    /** Stops accepting connections on @p port; open connections stay. */
    void closeListener(int port);
    /** Closes each connection after the answer in progress or the next one, so that callers turn to other hosts. */
    void drain();
    ParserRefusals parserRefusals() const;
    /** Changes the limit for bodies that are read from now on. */
    void setMaximumBodySize(ByteCount size);
    /** Returns the number of requests whose answer is not complete. */
    std::size_t openRequests() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
