#include "rattanroad_configuration/change/HistoryEntry.h"

#include <nlohmann/json.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace rattanroad {

namespace {

    using Json = nlohmann::json;

    std::string hashOf(const std::string& text)
    {
        const auto hash = XXH3_128bits(text.data(), text.size());
        char hex[33];
        std::snprintf(hex, sizeof(hex), "%016llx%016llx", static_cast<unsigned long long>(hash.high64),
            static_cast<unsigned long long>(hash.low64));
        return hex;
    }

}

HistoryEntry HistoryEntry::of(const ConfigurationValue& value)
{
    return { value.revision, value.changeId, value.author, value.time, hashOf(value.inventory->json()) };
}

std::string HistoryEntry::json() const
{
    const Json entry { { "revision", revision.value() }, { "change_id", changeId.value() }, { "author", author },
        { "time", time }, { "document_hash", documentHash } };
    return entry.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<HistoryEntry> HistoryEntry::parse(std::string_view json)
{
    const auto entry = Json::parse(json, nullptr, false);
    try {
        return HistoryEntry { Revision(entry.at("revision").get<std::uint64_t>()),
            ChangeId(entry.at("change_id").get<std::string>()), entry.at("author").get<std::string>(),
            entry.at("time").get<std::string>(), entry.at("document_hash").get<std::string>() };
    } catch (const Json::exception& error) {
        return Failure { FailureCode::ConfigurationInvalid, RunState::NotRun,
            std::string("malformed history entry: ") + error.what() };
    }
}

}
