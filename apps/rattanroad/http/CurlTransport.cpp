#include "rattanroad/http/CurlTransport.h"

#include <curl/curl.h>

#include <memory>

namespace rattanroad::command {

namespace {

    constexpr long connectTimeoutMilliseconds = 2000;
    // The largest job response is far smaller; the limit protects against a server that is not rattanroad.
    constexpr size_t maximumBodyBytes = 256U << 20;

    struct HandleDeleter {
        void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
    };

    struct HeaderDeleter {
        void operator()(curl_slist* list) const { curl_slist_free_all(list); }
    };

    using Headers = std::unique_ptr<curl_slist, HeaderDeleter>;

    size_t appendBody(char* data, size_t size, size_t count, void* body)
    {
        auto& text = *static_cast<std::string*>(body);
        const auto bytes = size * count;
        if (text.size() + bytes > maximumBodyBytes)
            return 0;
        text.append(data, bytes);
        return bytes;
    }

    Headers headersOf(const HttpRequest& request)
    {
        // Disables the "Expect: 100-continue" header, with which libcurl waits for "100 Continue" before larger bodies.
        curl_slist* list = curl_slist_append(nullptr, "Expect:");
        for (const auto& [name, value] : request.headers)
            list = curl_slist_append(list, std::string(name).append(": ").append(value).c_str());
        return Headers(list);
    }

    void prepare(CURL* handle, const HttpRequest& request, const Headers& headers)
    {
        curl_easy_setopt(handle, CURLOPT_URL, (request.server + request.path).c_str());
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
        curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers.get());
        curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
        curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http,https");
        curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, connectTimeoutMilliseconds);
        curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
        curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
        if (request.body.empty())
            return;
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
    }

    bool isConnected(CURL* handle)
    {
        curl_off_t connectTime = 0;
        curl_easy_getinfo(handle, CURLINFO_CONNECT_TIME_T, &connectTime);
        return connectTime > 0;
    }

}

CurlTransport::CurlTransport() { curl_global_init(CURL_GLOBAL_DEFAULT); }

CurlTransport::~CurlTransport() { curl_global_cleanup(); }

HttpExchange CurlTransport::send(const HttpRequest& request) const
{
    HttpExchange exchange;
    const std::unique_ptr<CURL, HandleDeleter> handle(curl_easy_init());
    if (!handle) {
        exchange.detail = "cannot create a libcurl handle";
        return exchange;
    }
    const auto headers = headersOf(request);
    prepare(handle.get(), request, headers);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &exchange.body);

    const auto code = curl_easy_perform(handle.get());
    if (code != CURLE_OK) {
        exchange.detail = request.server + ": " + curl_easy_strerror(code);
        exchange.outcome
            = isConnected(handle.get()) ? HttpExchange::Outcome::ConnectionLost : HttpExchange::Outcome::NotSent;
        return exchange;
    }
    long status = 0;
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
    exchange.status = static_cast<int>(status);
    exchange.outcome = HttpExchange::Outcome::ResponseReceived;
    return exchange;
}

}
