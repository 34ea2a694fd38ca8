#include "rattanroad_inventory/inventory/JsonObjectReader.h"

namespace rattanroad {

JsonObjectReader::JsonObjectReader(const nlohmann::json& value, std::string place, InventoryFaults& faults)
    : m_value(value)
    , m_place(std::move(place))
    , m_faults(faults)
{
    if (!m_value.is_object())
        m_faults.add(m_place, "must be an object");
}

std::string JsonObjectReader::placeOf(const char* key) const { return m_place.empty() ? key : m_place + "." + key; }

const nlohmann::json* JsonObjectReader::find(const char* key, Presence presence)
{
    m_readKeys.insert(key);
    if (!m_value.is_object())
        return nullptr;
    const auto found = m_value.find(key);
    if (found != m_value.end())
        return &*found;
    if (presence == Presence::Required)
        m_faults.add(placeOf(key), "is missing");
    return nullptr;
}

std::string JsonObjectReader::string(const char* key, Presence presence)
{
    const auto* value = find(key, presence);
    if (!value)
        return {};
    if (value->is_string())
        return value->get<std::string>();
    m_faults.add(placeOf(key), "must be a string");
    return {};
}

std::uint64_t JsonObjectReader::integer(const char* key, std::uint64_t highest, Presence presence)
{
    const auto* value = find(key, presence);
    if (!value)
        return 0;
    if (!value->is_number_integer())
        m_faults.add(placeOf(key), "must be an integer");
    else if (!value->is_number_unsigned() || value->get<std::uint64_t>() > highest)
        m_faults.add(placeOf(key), "must be between 0 and " + std::to_string(highest));
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
    m_faults.add(placeOf(key), "must be a number");
    return defaultValue;
}

bool JsonObjectReader::boolean(const char* key)
{
    const auto* value = find(key, Presence::Optional);
    if (!value)
        return false;
    if (value->is_boolean())
        return value->get<bool>();
    m_faults.add(placeOf(key), "must be true or false");
    return false;
}

const nlohmann::json* JsonObjectReader::array(const char* key, Presence presence)
{
    const auto* value = find(key, presence);
    if (!value || value->is_array())
        return value;
    m_faults.add(placeOf(key), "must be an array");
    return nullptr;
}

const nlohmann::json* JsonObjectReader::object(const char* key, Presence presence)
{
    const auto* value = find(key, presence);
    if (!value || value->is_object())
        return value;
    m_faults.add(placeOf(key), "must be an object");
    return nullptr;
}

void JsonObjectReader::reportUnknownKeys()
{
    if (!m_value.is_object())
        return;
    for (const auto& [key, value] : m_value.items()) {
        if (!m_readKeys.count(key))
            m_faults.add(placeOf(key.c_str()), "unknown key");
    }
}

}
