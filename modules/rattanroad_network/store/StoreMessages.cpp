#include "rattanroad_network/store/StoreMessages.h"

#include "rattanroad_network/store/Base64.h"

#include <charconv>

using nlohmann::json;

namespace rattanroad::platform::storemessages {

std::string prefixEnd(std::string prefix)
{
    while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xff)
        prefix.pop_back();
    if (!prefix.empty())
        ++prefix.back();
    return prefix;
}

json rangeRequest(const std::string& key, bool isPrefix)
{
    json request { { "key", encodeBase64(key) } };
    if (isPrefix)
        request["range_end"] = encodeBase64(prefixEnd(key));
    return request;
}

json transactionRequest(const StoreTransaction& transaction)
{
    json request { { "compare", json::array() }, { "success", json::array() }, { "failure", json::array() } };
    for (const StoreCondition& condition : transaction.conditions) {
        const bool isCreated = condition.compared == StoreCondition::Revision::Created;
        request["compare"].push_back(
            { { "key", encodeBase64(condition.key) }, { "result", "EQUAL" }, { "target", isCreated ? "CREATE" : "MOD" },
                { isCreated ? "create_revision" : "mod_revision", std::to_string(condition.expected.value()) } });
    }
    for (const StoreWrite& write : transaction.writes) {
        json put { { "key", encodeBase64(write.key) }, { "value", encodeBase64(write.value) } };
        if (write.lease.value() != 0)
            put["lease"] = std::to_string(write.lease.value());
        request["success"].push_back({ { "request_put", std::move(put) } });
    }
    if (!transaction.readOnFailure.empty())
        request["failure"].push_back({ { "request_range", rangeRequest(transaction.readOnFailure, false) } });
    return request;
}

json watchRequest(const std::string& prefix, StoreRevision from)
{
    json create = rangeRequest(prefix, true);
    create["start_revision"] = std::to_string(from.value());
    return { { "create_request", std::move(create) } };
}

std::uint64_t number(const json& object, const char* name)
{
    const auto found = object.find(name);
    if (found == object.end())
        return 0;
    if (found->is_number_unsigned())
        return found->get<std::uint64_t>();
    if (!found->is_string())
        return 0;
    const auto& text = found->get_ref<const std::string&>();
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::string bytes(const json& object, const char* name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_string())
        return {};
    return decodeBase64(found->get_ref<const std::string&>()).value_or("");
}

StoreEntry entry(const json& keyValue)
{
    return { bytes(keyValue, "key"), bytes(keyValue, "value"), StoreRevision(number(keyValue, "create_revision")),
        StoreRevision(number(keyValue, "mod_revision")) };
}

std::vector<StoreEntry> entries(const json& response)
{
    std::vector<StoreEntry> result;
    const auto found = response.find("kvs");
    if (found == response.end() || !found->is_array())
        return result;
    for (const json& keyValue : *found)
        result.push_back(entry(keyValue));
    return result;
}

StoreRevision revision(const json& response)
{
    const auto header = response.find("header");
    return StoreRevision(header != response.end() && header->is_object() ? number(*header, "revision") : 0);
}

}
