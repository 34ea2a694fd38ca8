#include "rattanroad_configuration/configuration/ConfigurationHolder.h"

#include <nlohmann/json.hpp>

namespace rattanroad {

namespace {

    using Json = nlohmann::json;

    Failure invalid(const std::string& detail)
    {
        return { FailureCode::ConfigurationInvalid, RunState::NotRun, detail };
    }

    const Json* member(const Json& object, const char* key, Json::value_t type)
    {
        const auto found = object.find(key);
        return found != object.end() && found->type() == type ? &*found : nullptr;
    }

}

std::string ConfigurationValue::json() const
{
    const Json value { { "revision", revision.value() }, { "change_id", changeId.value() }, { "author", author },
        { "time", time }, { "document", inventory ? Json::parse(inventory->json()) : Json() } };
    // The author comes from a request header and may not be valid UTF-8; invalid bytes are replaced.
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<ConfigurationValue> ConfigurationValue::parse(std::string_view json)
{
    const auto value = Json::parse(json, nullptr, false);
    if (!value.is_object())
        return invalid("the configuration value is not a JSON object");
    const auto* revision = member(value, "revision", Json::value_t::number_unsigned);
    if (!revision || revision->get<std::uint64_t>() == 0)
        return invalid("revision: must be a positive integer");
    const auto* changeId = member(value, "change_id", Json::value_t::string);
    const auto* author = member(value, "author", Json::value_t::string);
    const auto* time = member(value, "time", Json::value_t::string);
    if (!changeId || !author || !time)
        return invalid("change_id, author and time: must be strings");
    const auto* document = member(value, "document", Json::value_t::object);
    if (!document)
        return invalid("document: must be an object");

    auto inventory = Inventory::parse(document->dump());
    if (!inventory)
        return inventory.lastReason();
    return ConfigurationValue { Revision(revision->get<std::uint64_t>()), ChangeId(changeId->get<std::string>()),
        author->get<std::string>(), time->get<std::string>(), *inventory };
}

}
