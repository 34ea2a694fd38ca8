#pragma once

#include "rattanroad/http/HttpTypes.h"

namespace rattanroad::command {

/** Sends requests with libcurl, each on a connection of its own. A connection that is kept open may be closed by the
    server at any time, and libcurl would then send the request again by itself.
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
