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

/** What became of a request. */
struct HttpExchange {
    enum class Outcome {
        Answered,
        /** No connection was made, so the server cannot have seen the request. */
        NotSent,
        /** The connection broke or timed out before the whole answer; the server may have acted. */
        Broken,
    };

    Outcome outcome { Outcome::NotSent };
    int status { 0 };
    std::string body;
    /** Why there is no answer. */
    std::string detail;

    bool isSuccess() const { return outcome == Outcome::Answered && status >= 200 && status < 300; }
};

/** Carries out one request and waits for its end. */
using HttpTransport = std::function<HttpExchange(const HttpRequest&)>;

}
