#include "fakes/TaskPayload.h"

#include <charconv>

namespace rattanroad {

namespace {

    template <typename Number> bool parseNumber(const std::string& text, Number& number)
    {
        const char* const end = text.data() + text.size();
        const auto result = std::from_chars(text.data(), end, number);
        return result.ec == std::errc() && result.ptr == end;
    }

}

std::string TaskPayload::text() const
{
    const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(work).count();
    return submission + "|" + std::to_string(task) + "|" + std::to_string(microseconds);
}

std::optional<TaskPayload> TaskPayload::parse(const std::string& text)
{
    const std::size_t first = text.find('|');
    const std::size_t second = text.rfind('|');
    if (first == std::string::npos || second == first)
        return std::nullopt;
    TaskPayload payload;
    std::int64_t microseconds = 0;
    payload.submission = text.substr(0, first);
    if (!parseNumber(text.substr(first + 1, second - first - 1), payload.task)
        || !parseNumber(text.substr(second + 1), microseconds))
        return std::nullopt;
    payload.work = std::chrono::microseconds(microseconds);
    return payload;
}

}
