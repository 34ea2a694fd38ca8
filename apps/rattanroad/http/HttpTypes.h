#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace rattanroad::command {

struct HttpRequest {
    std::string method;
    /** Scheme, host and port: "http://192.0.2.10:8080". */
    std::string server;
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::chrono::milliseconds timeout { std::chrono::seconds(15) };
};

/** Result of sending one HTTP request. */
struct HttpExchange {
    enum class Outcome {
        ResponseReceived,
        /** No connection was established, so the server cannot have received the request. */
        NotSent,
        /** The connection broke or timed out before the complete response arrived; the server may have processed the
            request.
        */
        ConnectionLost,
    };

    Outcome outcome { Outcome::NotSent };
    int status { 0 };
    std::string body;
    /** Error message when no response was received. */
    std::string detail;

    bool isSuccess() const { return outcome == Outcome::ResponseReceived && status >= 200 && status < 300; }
};

/** Sends one request and blocks until it has completed or failed. */
using HttpTransport = std::function<HttpExchange(const HttpRequest&)>;

}
