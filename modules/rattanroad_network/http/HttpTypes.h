#pragma once

#include "rattanroad_core/time/Clock.h"

#include <string>
#include <string_view>
#include <vector>

namespace rattanroad {

/** One header field; the name is in lower case in received messages. */
struct HttpHeader {
    std::string name;
    std::string value;
};

/** A request as received by HttpServer. */
struct HttpRequest {
    std::string method;
    /** Path without the query. */
    std::string path;
    /** Query without '?'; empty when there is none. */
    std::string query;
    std::vector<HttpHeader> headers;
    std::string body;
    /** Port of the listener that accepted the connection. */
    int localPort { 0 };

    /** Returns null when there is no such header; @p name is in lower case. */
    const std::string* header(std::string_view name) const;
};

/** A response as sent by HttpServer. */
struct HttpResponse {
    int status { 200 };
    std::string contentType { "application/json" };
    std::vector<HttpHeader> headers;
    std::string body;
};

/** A request to be sent by HttpClient. */
struct HttpClientRequest {
    std::string method { "POST" };
    /** Path with the query. */
    std::string path;
    std::vector<HttpHeader> headers;
    std::string body;
    /** Limit for the whole exchange. */
    Duration timeout { std::chrono::seconds(10) };
    /** Limit for the time from the connection to the head of the answer; zero means none but that of the exchange. */
    Duration headTimeout { 0 };
    /** Limit for the time in which no part of the body of the answer arrives; zero means none but that of the exchange.
        For answers of any size, whose duration depends on the bandwidth. */
    Duration stallTimeout { 0 };
};

/** How an exchange of HttpClient ended. */
enum class HttpEnding {
    NeverOpened, ///< No connection came to be: no byte of the request was sent.
    SentNoAnswer, ///< The request may have reached the server; no complete answer came.
    Answered, ///< A complete answer came.
};

/** The end of an exchange of HttpClient. */
struct HttpResult {
    HttpEnding ending { HttpEnding::NeverOpened };
    bool isTimedOut { false };
    int status { 0 };
    std::string body;
    /** Reason of a failure, for people. */
    std::string detail;
    /** Time from HttpClient::send() to the end. */
    Duration elapsed { 0 };
};

}
