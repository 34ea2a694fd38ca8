#pragma once

#include "rattanroad_inventory/inventory/InventoryFaults.h"

#include <nlohmann/json.hpp>

#include <set>
#include <string>

namespace rattanroad {

/** Reads the values of one JSON object by key and reports missing keys, wrong types, integers that do not fit and keys
    that nobody asked for. A value with a fault is read as its default.
*/
class JsonObjectReader {
public:
    /** @p place names the object in faults. All arguments must outlive the reader. */
    JsonObjectReader(const nlohmann::json& value, std::string place, InventoryFaults& faults);
    JsonObjectReader(const JsonObjectReader&) = delete;
    JsonObjectReader& operator=(const JsonObjectReader&) = delete;

    /** Whether a key must be present. */
    enum class Presence {
        Required,
        Optional,
    };

    std::string string(const char* key, Presence presence = Presence::Required);
    std::uint64_t integer(const char* key, std::uint64_t highest, Presence presence = Presence::Required);
    double number(const char* key, double defaultValue);
    bool boolean(const char* key);
    /** Returns null when the key is absent or its value is not an array. */
    const nlohmann::json* array(const char* key, Presence presence);
    /** Returns null when the key is absent or its value is not an object. */
    const nlohmann::json* object(const char* key, Presence presence);

    /** Returns the place of the value under @p key. */
    std::string placeOf(const char* key) const;

    /** Reports each key that no call above asked for. Called last. */
    void reportUnknownKeys();

private:
    const nlohmann::json* find(const char* key, Presence presence);

    const nlohmann::json& m_value;
    std::string m_place;
    InventoryFaults& m_faults;
    std::set<std::string> m_readKeys;
};

}
