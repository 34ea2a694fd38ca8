#pragma once

#include "rattanroad_core/identifiers/StrongType.h"
#include "rattanroad_core/identifiers/Units.h"
#include "rattanroad_network/http/HttpTypes.h"

#include <functional>
#include <memory>

namespace rattanroad {

class EventLoop;

/** Names an exchange of an HttpClient. */
using ExchangeId = StrongType<std::uint64_t, struct ExchangeIdTag>;

/** HTTP/1.1 client on an EventLoop, with kept-alive connections per address.

    The end of each exchange states whether the request can have reached the server, since a task whose request never
    left may be started again elsewhere and any other may not. A request is never sent twice.
*/
class HttpClient {
public:
    struct Settings {
        /** A connection that was idle for longer is not used again: the server may be about to close it. */
        std::chrono::milliseconds idleLimit { std::chrono::seconds(1) };
        /** A connection that is not open after this time counts as never opened. */
        std::chrono::milliseconds connectTimeout { std::chrono::seconds(1) };
        /** A longer answer ends the exchange as HttpEnding::SentNoAnswer. */
        ByteCount maximumBodySize { 16U << 20U };
    };
    using Callback = std::function<void(HttpResult&&)>;
    using ChunkCallback = std::function<void(std::string_view)>;

    HttpClient(EventLoop& loop, Settings settings);
    /** Ends all exchanges without calling back. */
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /** Sends @p request to "<IPv4 number>:<port>". @p callback is called exactly once, never inside this call. With
        @p chunk, the body of the answer is handed over piece by piece instead of being collected.
    */
    ExchangeId send(
        const std::string& address, HttpClientRequest request, Callback callback, ChunkCallback chunk = nullptr);
    /** Closes the connection of an exchange; its callback follows. An exchange that has ended is ignored. */
    void cancel(ExchangeId exchange);
    /** Returns the number of exchanges in progress. */
    std::size_t active() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
