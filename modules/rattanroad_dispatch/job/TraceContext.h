#pragma once

#include "rattanroad_core/random/RandomSource.h"
#include "rattanroad_core/time/Clock.h"

#include <optional>
#include <string>
#include <string_view>

namespace rattanroad {

/** Position in a distributed trace, as in the W3C Trace Context header `traceparent`. */
struct TraceContext {
    /** 32 hexadecimal digits. */
    std::string traceId;
    /** 16 hexadecimal digits. */
    std::string spanId;
    bool isSampled { false };

    /** Returns the header value of version 00. */
    std::string header() const;
    /** Returns the same trace with a new span id. */
    TraceContext child(RandomSource& random) const;

    /** Starts a new trace. */
    static TraceContext create(RandomSource& random, bool isSampled);
    /** Returns nothing when @p header is not a valid version-00 value. */
    static std::optional<TraceContext> parse(std::string_view header);
};

/** One finished hop of a request. */
struct SpanRecord {
    /** "job", "slot-wait", "journal-wait", "attempt" or "forward". */
    std::string name;
    TraceContext context;
    std::string parentSpanId;
    std::chrono::system_clock::time_point begin;
    std::chrono::system_clock::time_point end;
    /** Submission id, with the task index behind '/' for spans of one task. */
    std::string subject;
    /** Target or host of the hop; may be empty. */
    std::string peer;
    bool isError { false };
};

}
