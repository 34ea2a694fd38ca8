#include "rattanroad_inventory/difference/InventoryDifference.h"

#include <nlohmann/json.hpp>

#include <map>
#include <set>

namespace rattanroad {

namespace {

    using Json = nlohmann::json;
    using EntriesById = std::map<std::string, Json>;

    constexpr const char* listNames[] = { "failure_domains", "workers", "targets", "teams", "rules", "entry_hosts" };

    EntriesById entriesOf(const Json& document, const char* list)
    {
        EntriesById entries;
        const auto found = document.find(list);
        if (found == document.end())
            return entries;
        for (const auto& entry : *found)
            entries.emplace(entry.at("id").get<std::string>(), entry);
        return entries;
    }

    std::string textOf(const Json& entry, const std::string& key)
    {
        const auto found = entry.find(key);
        return found == entry.end() ? "" : found->dump();
    }

    std::vector<InventoryDifference::Value> changedValues(const Json& before, const Json& after)
    {
        std::set<std::string> keys;
        for (const auto* entry : { &before, &after }) {
            for (const auto& [key, value] : entry->items())
                keys.insert(key);
        }
        std::vector<InventoryDifference::Value> values;
        for (const auto& key : keys) {
            auto oldValue = textOf(before, key);
            auto newValue = textOf(after, key);
            if (oldValue != newValue)
                values.push_back({ key, std::move(oldValue), std::move(newValue) });
        }
        return values;
    }

    const char* nameOf(InventoryDifference::Kind kind)
    {
        switch (kind) {
        case InventoryDifference::Kind::Added:
            return "added";
        case InventoryDifference::Kind::Removed:
            return "removed";
        case InventoryDifference::Kind::Changed:
            break;
        }
        return "changed";
    }

    std::string valueOrAbsent(const std::string& text) { return text.empty() ? "absent" : text; }

}

InventoryDifference InventoryDifference::between(const Inventory* before, const Inventory* after)
{
    const auto oldDocument = before ? Json::parse(before->json()) : Json::object();
    const auto newDocument = after ? Json::parse(after->json()) : Json::object();
    InventoryDifference difference;
    for (const auto* list : listNames) {
        const auto oldEntries = entriesOf(oldDocument, list);
        const auto newEntries = entriesOf(newDocument, list);
        for (const auto& [id, entry] : oldEntries) {
            const auto kept = newEntries.find(id);
            if (kept == newEntries.end())
                difference.m_entries.push_back({ Kind::Removed, list, id, {} });
            else if (kept->second != entry)
                difference.m_entries.push_back({ Kind::Changed, list, id, changedValues(entry, kept->second) });
        }
        for (const auto& [id, entry] : newEntries) {
            if (!oldEntries.count(id))
                difference.m_entries.push_back({ Kind::Added, list, id, {} });
        }
    }
    return difference;
}

std::string InventoryDifference::text() const
{
    std::string text;
    for (const auto& entry : m_entries) {
        const auto name = entry.list + " " + entry.id;
        if (entry.kind != Kind::Changed)
            text += (entry.kind == Kind::Added ? "+ " : "- ") + name + "\n";
        for (const auto& value : entry.values)
            text += "~ " + name + " " + value.key + ": " + valueOrAbsent(value.before) + " -> "
                + valueOrAbsent(value.after) + "\n";
    }
    return text;
}

std::string InventoryDifference::json() const
{
    auto array = Json::array();
    for (const auto& entry : m_entries) {
        Json object { { "kind", nameOf(entry.kind) }, { "list", entry.list }, { "id", entry.id } };
        for (const auto& value : entry.values)
            object["values"].push_back(
                { { "key", value.key }, { "before", value.before.empty() ? Json() : Json::parse(value.before) },
                    { "after", value.after.empty() ? Json() : Json::parse(value.after) } });
        array.push_back(std::move(object));
    }
    return array.dump();
}

}
