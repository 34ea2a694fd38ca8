#include "rattanroad_inventory/inventory/JsonObjectReader.h"

namespace rattanroad {

JsonObjectReader::JsonObjectReader(const nlohmann::json& value, std::string path, ValidationErrors& errors)
    : m_value(value)
    , m_path(std::move(path))
    , m_errors(errors)
{
    if (!m_value.is_object())
        m_errors.add(m_path, "must be an object");
}

std::string JsonObjectReader::pathOf(const char* key) const { return m_path.empty() ? key : m_path + "." + key; }

const nlohmann::json* JsonObjectReader::find(const char* key, Presence presence)
{
    m_readKeys.insert(key);
    if (!m_value.is_object())
        return nullptr;
    const auto found = m_value.find(key);
    if (found != m_value.end())
        return &*found;
    if (presence == Presence::Required)
        m_errors.add(pathOf(key), "is missing");
    return nullptr;
}

std::string JsonObjectReader::string(const char* key, Presence presence)
{
    const auto* value = find(key, presence);
    if (!value)
        return {};
    if (value->is_string())
        return value->get<std::string>();
    m_errors.add(pathOf(key), "must be a string");
    return {};
}

std::uint64_t JsonObjectReader::integer(const char* key, std::uint64_t highest, Presence presence)
{
    const auto* value = find(key, presence);
    if (!value)
        return 0;
    if (!value->is_number_integer())
        m_errors.add(pathOf(key), "must be an integer");
    else if (!value->is_number_unsigned() || value->get<std::uint64_t>() > highest)
        m_errors.add(pathOf(key), "must be between 0 and " + std::to_string(highest));
    else
        return value->get<std::uint64_t>();
    return 0;
}

double JsonObjectReader::number(const char* key, double defaultValue)
{
    const auto* value = find(key, Presence::Optional);
    if (!value)
        return defaultValue;
    if (value->is_number())
        return value->get<double>();
    m_errors.add(pathOf(key), "must be a number");
    return defaultValue;
}

bool JsonObjectReader::boolean(const char* key)
{
    const auto* value = find(key, Presence::Optional);
    if (!value)
        return false;
    if (value->is_boolean())
        return value->get<bool>();
    m_errors.add(pathOf(key), "must be true or false");
    return false;
}

const nlohmann::json* JsonObjectReader::array(const char* key, Presence presence)
{
    const auto* value = find(key, presence);
    if (!value || value->is_array())
        return value;
    m_errors.add(pathOf(key), "must be an array");
    return nullptr;
}

const nlohmann::json* JsonObjectReader::object(const char* key, Presence presence)
{
    const auto* value = find(key, presence);
    if (!value || value->is_object())
        return value;
    m_errors.add(pathOf(key), "must be an object");
    return nullptr;
}

void JsonObjectReader::reportUnknownKeys()
{
    if (!m_value.is_object())
        return;
    for (const auto& [key, value] : m_value.items()) {
        if (!m_readKeys.count(key))
            m_errors.add(pathOf(key.c_str()), "unknown key");
    }
}

}
