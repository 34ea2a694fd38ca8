#include "rattanroad_inventory/inventory/InventoryDocument.h"

#include "rattanroad_inventory/inventory/JsonObjectReader.h"

#include <limits>

namespace rattanroad {

namespace {

    using Json = nlohmann::json;
    using Presence = JsonObjectReader::Presence;

    constexpr std::uint64_t maximumCount = std::numeric_limits<std::uint32_t>::max();
    constexpr const char* stateNames[] = { "active", "leaving" };

    /** Calls @p read(element, path) for each element of @p array, which may be null. */
    template <typename Read> void forEach(const Json* array, const std::string& path, Read read)
    {
        for (size_t index = 0; array && index < array->size(); ++index)
            read((*array)[index], path + "[" + std::to_string(index) + "]");
    }

    template <typename Name>
    std::set<Name> readNames(JsonObjectReader& reader, const char* key, Presence presence, ValidationErrors& errors)
    {
        std::set<Name> names;
        forEach(reader.array(key, presence), reader.pathOf(key), [&](const Json& value, const std::string& path) {
            if (!value.is_string())
                errors.add(path, "must be a string");
            else if (!names.emplace(value.get<std::string>()).second)
                errors.add(path, "duplicate of \"" + value.get<std::string>() + "\"");
        });
        return names;
    }

    Resources readResources(JsonObjectReader& reader, Presence presence)
    {
        Resources resources;
        resources.cores = static_cast<std::uint32_t>(reader.integer("cores", maximumCount, presence));
        resources.memory = MebibyteCount(reader.integer("memory_mb", maximumCount, presence));
        resources.accelerators
            = static_cast<std::uint32_t>(reader.integer("accelerators", maximumCount, Presence::Optional));
        return resources;
    }

    FailureDomain readFailureDomain(JsonObjectReader& reader, ValidationErrors&)
    {
        return { FailureDomainId(reader.string("id")), RegionId(reader.string("region")) };
    }

    Worker readWorker(JsonObjectReader& reader, ValidationErrors&)
    {
        Worker worker;
        worker.id = WorkerId(reader.string("id"));
        worker.failureDomain = FailureDomainId(reader.string("failure_domain"));
        worker.rack = RackId(reader.string("rack"));
        worker.resources = readResources(reader, Presence::Required);
        return worker;
    }

    TargetState readState(JsonObjectReader& reader, ValidationErrors& errors)
    {
        const auto text = reader.string("state", Presence::Optional);
        if (text == stateNames[1])
            return TargetState::Leaving;
        if (!text.empty() && text != stateNames[0])
            errors.add(reader.pathOf("state"), "must be \"active\" or \"leaving\"");
        return TargetState::Active;
    }

    std::vector<int> readStatuses(JsonObjectReader& reader, ValidationErrors& errors)
    {
        std::vector<int> statuses;
        const char* key = "not_run_statuses";
        const auto* array = reader.array(key, Presence::Optional);
        forEach(array, reader.pathOf(key), [&](const Json& value, const std::string& path) {
            const bool isStatus = value.is_number_unsigned() && value.get<std::uint64_t>() < 1000;
            if (!isStatus)
                errors.add(path, "must be an HTTP status");
            statuses.push_back(isStatus ? value.get<int>() : 0);
        });
        return statuses;
    }

    Target readTarget(JsonObjectReader& reader, ValidationErrors& errors)
    {
        Target target;
        target.id = TargetId(reader.string("id"));
        target.worker = WorkerId(reader.string("worker"));
        target.address = reader.string("address");
        target.path = reader.string("path");
        target.kinds = readNames<WorkKind>(reader, "kinds", Presence::Required, errors);
        target.slots = SlotCount(static_cast<std::uint32_t>(reader.integer("slots", maximumCount)));
        target.connections = ConnectionCount(static_cast<std::uint32_t>(reader.integer("connections", maximumCount)));
        target.state = readState(reader, errors);
        target.notRunStatuses = readStatuses(reader, errors);
        return target;
    }

    Team readTeam(JsonObjectReader& reader, ValidationErrors&)
    {
        Team team;
        team.id = TeamId(reader.string("id"));
        team.quota
            = SlotCount(static_cast<std::uint32_t>(reader.integer("quota_slots", maximumCount, Presence::Optional)));
        team.weight = reader.number("weight", 1);
        return team;
    }

    PlacementSelector readSelector(JsonObjectReader& rule, const char* key, ValidationErrors& errors)
    {
        PlacementSelector selector;
        const auto* object = rule.object(key, Presence::Optional);
        if (!object)
            return selector;
        JsonObjectReader reader(*object, rule.pathOf(key), errors);
        selector.failureDomains = readNames<FailureDomainId>(reader, "failure_domains", Presence::Optional, errors);
        selector.racks = readNames<RackId>(reader, "racks", Presence::Optional, errors);
        selector.targets = readNames<TargetId>(reader, "targets", Presence::Optional, errors);
        reader.reportUnknownKeys();
        // An empty selector could mean "everywhere" or "nowhere", so it is rejected.
        if (selector.isEmpty())
            errors.add(rule.pathOf(key), "names no place");
        return selector;
    }

    Rule readRule(JsonObjectReader& reader, ValidationErrors& errors)
    {
        Rule rule;
        rule.id = RuleId(reader.string("id"));
        rule.kind = WorkKind(reader.string("kind"));
        rule.allow = readSelector(reader, "allow", errors);
        rule.deny = readSelector(reader, "deny", errors);
        rule.neverRepeat = reader.boolean("never_repeat");
        const auto* require = reader.object("require", Presence::Optional);
        if (!require)
            return rule;
        JsonObjectReader requireReader(*require, reader.pathOf("require"), errors);
        rule.require = readResources(requireReader, Presence::Optional);
        requireReader.reportUnknownKeys();
        return rule;
    }

    Inventory::EntryHostEntry readEntryHost(JsonObjectReader& reader, ValidationErrors&)
    {
        return { HostId(reader.string("id")), FailureDomainId(reader.string("failure_domain")) };
    }

    template <typename Entry>
    void readList(JsonObjectReader& document, const char* key, Presence presence, std::vector<Entry>& entries,
        Entry (*read)(JsonObjectReader&, ValidationErrors&), ValidationErrors& errors)
    {
        forEach(document.array(key, presence), key, [&](const Json& value, const std::string& path) {
            JsonObjectReader reader(value, path, errors);
            entries.push_back(read(reader, errors));
            reader.reportUnknownKeys();
        });
    }

    /** Reports keys that occur twice in one object; the parser silently drops the first value. */
    class DuplicateKeyCheck {
    public:
        explicit DuplicateKeyCheck(ValidationErrors& errors)
            : m_errors(errors)
        {
        }

        bool operator()(Json::parse_event_t event, Json& parsed)
        {
            if (event == Json::parse_event_t::object_start)
                m_openObjects.emplace_back();
            else if (event == Json::parse_event_t::object_end)
                m_openObjects.pop_back();
            else if (event == Json::parse_event_t::key
                && !m_openObjects.back().insert(parsed.get<std::string>()).second)
                m_errors.add("key \"" + parsed.get<std::string>() + "\"", "occurs twice in one object");
            return true;
        }

    private:
        ValidationErrors& m_errors;
        std::vector<std::set<std::string>> m_openObjects;
    };

    Json parseText(std::string_view text, ValidationErrors& errors)
    {
        DuplicateKeyCheck duplicates(errors);
        try {
            return Json::parse(
                text, [&](int, Json::parse_event_t event, Json& parsed) { return duplicates(event, parsed); });
        } catch (const Json::exception& error) {
            const std::string reason = error.what();
            errors.add("document", "is not valid JSON: " + reason.substr(reason.find(']') + 2));
            return {};
        }
    }

}

Inventory::Parts InventoryDocument::parse(std::string_view json, ValidationErrors& errors)
{
    Inventory::Parts parts;
    if (json.size() > maximumBytes) {
        errors.add("document", "has more than " + std::to_string(maximumBytes) + " bytes");
        return parts;
    }
    const auto value = parseText(json, errors);
    if (!value.is_object()) {
        errors.add("document", "must be a JSON object");
        return parts;
    }
    JsonObjectReader document(value, "", errors);
    readList(document, "failure_domains", Presence::Required, parts.failureDomains, readFailureDomain, errors);
    readList(document, "workers", Presence::Required, parts.workers, readWorker, errors);
    readList(document, "targets", Presence::Required, parts.targets, readTarget, errors);
    readList(document, "teams", Presence::Required, parts.teams, readTeam, errors);
    readList(document, "rules", Presence::Optional, parts.rules, readRule, errors);
    readList(document, "entry_hosts", Presence::Optional, parts.entryHosts, readEntryHost, errors);
    document.reportUnknownKeys();
    return parts;
}

}
