#pragma once

#include "rattanroad_inventory/inventory/ValidationErrors.h"

#include <nlohmann/json.hpp>

#include <set>
#include <string>

namespace rattanroad {

/** Reads the values of one JSON object by key and reports missing keys, wrong types, integers out of range and unknown
    keys. An invalid value is read as a default.
*/
class JsonObjectReader {
public:
    /** @p path is the path of the object for error messages. @p value and @p errors must outlive the reader. */
    JsonObjectReader(const nlohmann::json& value, std::string path, ValidationErrors& errors);
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

    /** Returns the path of the value under @p key. */
    std::string pathOf(const char* key) const;

    /** Reports each key that was not read. Call it after reading all keys. */
    void reportUnknownKeys();

private:
    const nlohmann::json* find(const char* key, Presence presence);

    const nlohmann::json& m_value;
    std::string m_path;
    ValidationErrors& m_errors;
    std::set<std::string> m_readKeys;
};

}
