#pragma once

#include "rattanroad_core/time/Clock.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace rattanroad {

class EventLoop;
class HttpClient;

/** A finished span to be exported. */
struct Span {
    /** 32 hexadecimal digits. */
    std::string traceId;
    /** 16 hexadecimal digits. */
    std::string spanId;
    /** Empty for the first span of a trace. */
    std::string parentSpanId;
    std::string name;
    std::chrono::system_clock::time_point begin;
    std::chrono::system_clock::time_point end;
    std::vector<std::pair<std::string, std::string>> attributes;
    bool isError { false };
};

/** Exports spans in batches as OTLP JSON: one line per batch to a file, or posted to /v1/traces of an address. Spans
    are dropped rather than held back when the receiver is slow.
*/
class TraceExporter {
public:
    struct Settings {
        std::string serviceInstance;
        /** Empty for none. */
        std::string file;
        /** Empty for none. */
        std::string address;
        Duration interval { std::chrono::milliseconds(500) };
        /** Spans waiting for the next batch; more are dropped. */
        std::size_t maximumWaiting { 8192 };
    };
    struct Statistics {
        std::uint64_t exported { 0 };
        std::uint64_t dropped { 0 };
    };

    TraceExporter(EventLoop& loop, HttpClient& http, Settings settings);
    /** Exports what is waiting to the file. */
    ~TraceExporter();
    TraceExporter(const TraceExporter&) = delete;
    TraceExporter& operator=(const TraceExporter&) = delete;

    void add(Span span);
    Statistics statistics() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
