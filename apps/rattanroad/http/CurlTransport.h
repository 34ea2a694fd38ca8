#pragma once

#include "rattanroad/http/HttpTypes.h"

namespace rattanroad::command {

/** Sends requests with libcurl, each on a new connection. The server may close a reused connection at any time, and
    libcurl would then resend the request without the caller knowing.
*/
class CurlTransport {
public:
    CurlTransport();
    ~CurlTransport();
    CurlTransport(const CurlTransport&) = delete;
    CurlTransport& operator=(const CurlTransport&) = delete;

    HttpExchange send(const HttpRequest& request) const;
};

}
