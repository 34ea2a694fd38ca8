#pragma once

#include "rattanroad_network/store/StoreClient.h"

#include <nlohmann/json.hpp>

/** JSON forms of the store's messages: keys and values in base64, 64-bit numbers as strings. */
namespace rattanroad::platform::storemessages {

/** Returns the end of the key range that holds exactly the keys with @p prefix. */
std::string prefixEnd(std::string prefix);

nlohmann::json rangeRequest(const std::string& key, bool isPrefix);
nlohmann::json transactionRequest(const StoreTransaction& transaction);
nlohmann::json watchRequest(const std::string& prefix, StoreRevision from);

/** Reads a number that may be a JSON number or a string; 0 when absent or malformed. */
std::uint64_t number(const nlohmann::json& object, const char* name);
/** Reads a base64 text; empty when absent or malformed. */
std::string bytes(const nlohmann::json& object, const char* name);
StoreEntry entry(const nlohmann::json& keyValue);
/** Reads the entries of a range response. */
std::vector<StoreEntry> entries(const nlohmann::json& response);
/** Reads "header.revision". */
StoreRevision revision(const nlohmann::json& response);

}
