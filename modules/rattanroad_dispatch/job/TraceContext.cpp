#include "rattanroad_dispatch/job/TraceContext.h"

#include <algorithm>

namespace rattanroad {

namespace {

    constexpr size_t traceIdDigits = 32;
    constexpr size_t spanIdDigits = 16;
    constexpr size_t headerBytes = 55;

    std::string hexDigits(RandomSource& random, size_t digits)
    {
        static constexpr char alphabet[] = "0123456789abcdef";
        std::string text;
        while (text.size() < digits) {
            auto bits = random.next();
            for (int nibble = 0; nibble < 16 && text.size() < digits; ++nibble, bits >>= 4U)
                text += alphabet[bits & 15U];
        }
        return text;
    }

    bool isHex(std::string_view text)
    {
        return std::all_of(text.begin(), text.end(),
            [](char digit) { return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f'); });
    }

}

std::string TraceContext::header() const { return "00-" + traceId + "-" + spanId + (isSampled ? "-01" : "-00"); }

TraceContext TraceContext::child(RandomSource& random) const
{
    return { traceId, hexDigits(random, spanIdDigits), isSampled };
}

TraceContext TraceContext::create(RandomSource& random, bool isSampled)
{
    return { hexDigits(random, traceIdDigits), hexDigits(random, spanIdDigits), isSampled };
}

std::optional<TraceContext> TraceContext::parse(std::string_view header)
{
    if (header.size() != headerBytes || header.substr(0, 3) != "00-" || header[35] != '-' || header[52] != '-')
        return std::nullopt;
    const auto traceId = header.substr(3, traceIdDigits);
    const auto spanId = header.substr(36, spanIdDigits);
    const auto flags = header.substr(53);
    if (!isHex(traceId) || !isHex(spanId) || !isHex(flags))
        return std::nullopt;
    // The specification makes all-zero ids invalid.
    if (traceId == std::string(traceIdDigits, '0') || spanId == std::string(spanIdDigits, '0'))
        return std::nullopt;
    return TraceContext { std::string(traceId), std::string(spanId), (flags.back() - '0') % 2 == 1 };
}

}
