#include "rattanroad_core/identifiers/SubmissionId.h"

#include <charconv>
#include <limits>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace rattanroad {

namespace {

    constexpr std::string_view formatPrefix = "r1";
    constexpr size_t partCount = 8;
    constexpr size_t maximumTextBytes = 512;
    constexpr int hexadecimalBase = 16;

    std::string hex(std::uint64_t value)
    {
        char buffer[16];
        const auto end = std::to_chars(buffer, buffer + sizeof(buffer), value, hexadecimalBase).ptr;
        return std::string(buffer, end);
    }

    std::string checksum(std::string_view text) { return hex(XXH64(text.data(), text.size(), 0) & 0xffffffffU); }

    Failure invalidSubmissionId(const std::string& detail)
    {
        return { FailureCode::InvalidSubmissionId, RunState::NotRun, detail };
    }

    bool isValidName(std::string_view text)
    {
        if (text.empty())
            return false;
        for (const char character : text) {
            const bool isAllowed = (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9')
                || character == '-' || character == '_';
            if (!isAllowed)
                return false;
        }
        return text != "-"; // stands for an empty list of backups
    }

    std::vector<std::string_view> split(std::string_view text, char separator)
    {
        std::vector<std::string_view> parts;
        size_t begin = 0;
        while (true) {
            const auto end = text.find(separator, begin);
            parts.push_back(text.substr(begin, end == std::string_view::npos ? end : end - begin));
            if (end == std::string_view::npos)
                return parts;
            begin = end + 1;
        }
    }

    template <typename Number> std::optional<Number> parseNumber(std::string_view text, int base)
    {
        Number number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, base);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return number;
    }

}

std::string SegmentKey::text() const
{
    return failureDomain.value() + "/" + owner.value() + "/" + hex(incarnation.value()) + "/"
        + std::to_string(segment.value());
}

std::string SubmissionId::text() const
{
    std::string text(formatPrefix);
    text += "." + segment.failureDomain.value() + "." + segment.owner.value() + "." + hex(segment.incarnation.value());
    text += "." + std::to_string(segment.segment.value()) + ".";
    for (size_t index = 0; index < backups.size(); ++index)
        text += (index ? "+" : "") + backups[index].value();
    if (backups.empty())
        text += "-";
    text += "." + std::to_string(sequence.value());
    return text + "." + checksum(text);
}

Result<SubmissionId> SubmissionId::parse(std::string_view text)
{
    if (text.size() > maximumTextBytes)
        return invalidSubmissionId("a submission id has at most " + std::to_string(maximumTextBytes) + " bytes");
    const auto parts = split(text, '.');
    if (parts.size() != partCount || parts[0] != formatPrefix)
        return invalidSubmissionId(
            "a submission id has " + std::to_string(partCount) + " parts separated by '.' and begins with 'r1'");
    const auto body = text.substr(0, text.rfind('.'));
    if (checksum(body) != parts[7])
        return invalidSubmissionId("the checksum of the submission id does not match");
    if (!isValidName(parts[1]) || !isValidName(parts[2]))
        return invalidSubmissionId("the failure domain or the owner in the submission id is not a name");

    const auto incarnation = parseNumber<std::uint64_t>(parts[3], hexadecimalBase);
    const auto segment = parseNumber<std::uint32_t>(parts[4], 10);
    const auto sequence = parseNumber<std::uint64_t>(parts[6], 10);
    if (!incarnation || !segment || !sequence)
        return invalidSubmissionId("the incarnation, segment or sequence in the submission id is not a number");

    SubmissionId id;
    id.segment = { FailureDomainId(std::string(parts[1])), HostId(std::string(parts[2])), Incarnation(*incarnation),
        SegmentNumber(*segment) };
    id.sequence = SequenceNumber(*sequence);
    if (parts[5] == "-")
        return id;
    for (const auto backup : split(parts[5], '+')) {
        if (!isValidName(backup))
            return invalidSubmissionId("a backup in the submission id is not a name");
        id.backups.emplace_back(std::string(backup));
    }
    return id;
}

}
