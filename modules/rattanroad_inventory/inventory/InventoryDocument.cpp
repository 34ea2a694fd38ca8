#include "rattanroad_inventory/inventory/InventoryDocument.h"

#include "rattanroad_inventory/inventory/JsonObjectReader.h"

#include <limits>

namespace rattanroad {

namespace {

    using Json = nlohmann::json;
    using Presence = JsonObjectReader::Presence;

    constexpr std::uint64_t maximumCount = std::numeric_limits<std::uint32_t>::max();
    constexpr const char* stateNames[] = { "active", "leaving" };

    /** Calls @p read(element, place) for each element of an optional array. */
    template <typename Read> void forEach(const Json* array, const std::string& place, Read read)
    {
        for (size_t index = 0; array && index < array->size(); ++index)
            read((*array)[index], place + "[" + std::to_string(index) + "]");
    }

    template <typename Name>
    std::set<Name> readNames(JsonObjectReader& reader, const char* key, Presence presence, InventoryFaults& faults)
    {
        std::set<Name> names;
        forEach(reader.array(key, presence), reader.placeOf(key), [&](const Json& value, const std::string& place) {
            if (!value.is_string())
                faults.add(place, "must be a string");
            else if (!names.emplace(value.get<std::string>()).second)
                faults.add(place, "duplicate of \"" + value.get<std::string>() + "\"");
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

    FailureDomain readFailureDomain(JsonObjectReader& reader, InventoryFaults&)
    {
        return { FailureDomainId(reader.string("id")), RegionId(reader.string("region")) };
    }

    Worker readWorker(JsonObjectReader& reader, InventoryFaults&)
    {
        Worker worker;
        worker.id = WorkerId(reader.string("id"));
        worker.failureDomain = FailureDomainId(reader.string("failure_domain"));
        worker.rack = RackId(reader.string("rack"));
        worker.resources = readResources(reader, Presence::Required);
        return worker;
    }

    TargetState readState(JsonObjectReader& reader, InventoryFaults& faults)
    {
        const auto text = reader.string("state", Presence::Optional);
        if (text == stateNames[1])
            return TargetState::Leaving;
        if (!text.empty() && text != stateNames[0])
            faults.add(reader.placeOf("state"), "must be \"active\" or \"leaving\"");
        return TargetState::Active;
    }

    std::vector<int> readStatuses(JsonObjectReader& reader, InventoryFaults& faults)
    {
        std::vector<int> statuses;
        const char* key = "not_run_statuses";
        const auto* array = reader.array(key, Presence::Optional);
        forEach(array, reader.placeOf(key), [&](const Json& value, const std::string& place) {
            const bool isStatus = value.is_number_unsigned() && value.get<std::uint64_t>() < 1000;
            if (!isStatus)
                faults.add(place, "must be an HTTP status");
            statuses.push_back(isStatus ? value.get<int>() : 0);
        });
        return statuses;
    }

    Target readTarget(JsonObjectReader& reader, InventoryFaults& faults)
    {
        Target target;
        target.id = TargetId(reader.string("id"));
        target.worker = WorkerId(reader.string("worker"));
        target.address = reader.string("address");
        target.path = reader.string("path");
        target.kinds = readNames<WorkKind>(reader, "kinds", Presence::Required, faults);
        target.slots = SlotCount(static_cast<std::uint32_t>(reader.integer("slots", maximumCount)));
        target.connections = ConnectionCount(static_cast<std::uint32_t>(reader.integer("connections", maximumCount)));
        target.state = readState(reader, faults);
        target.notRunStatuses = readStatuses(reader, faults);
        return target;
    }

    Team readTeam(JsonObjectReader& reader, InventoryFaults&)
    {
        Team team;
        team.id = TeamId(reader.string("id"));
        team.quota
            = SlotCount(static_cast<std::uint32_t>(reader.integer("quota_slots", maximumCount, Presence::Optional)));
        team.weight = reader.number("weight", 1);
        return team;
    }

    PlaceSet readPlaces(JsonObjectReader& rule, const char* key, InventoryFaults& faults)
    {
        PlaceSet places;
        const auto* object = rule.object(key, Presence::Optional);
        if (!object)
            return places;
        JsonObjectReader reader(*object, rule.placeOf(key), faults);
        places.failureDomains = readNames<FailureDomainId>(reader, "failure_domains", Presence::Optional, faults);
        places.racks = readNames<RackId>(reader, "racks", Presence::Optional, faults);
        places.targets = readNames<TargetId>(reader, "targets", Presence::Optional, faults);
        reader.reportUnknownKeys();
        // An empty set could mean "everywhere" or "nowhere"; the operator has to say which.
        if (places.isEmpty())
            faults.add(rule.placeOf(key), "names no place");
        return places;
    }

    Rule readRule(JsonObjectReader& reader, InventoryFaults& faults)
    {
        Rule rule;
        rule.id = RuleId(reader.string("id"));
        rule.kind = WorkKind(reader.string("kind"));
        rule.allow = readPlaces(reader, "allow", faults);
        rule.deny = readPlaces(reader, "deny", faults);
        rule.neverRepeat = reader.boolean("never_repeat");
        const auto* require = reader.object("require", Presence::Optional);
        if (!require)
            return rule;
        JsonObjectReader requireReader(*require, reader.placeOf("require"), faults);
        rule.require = readResources(requireReader, Presence::Optional);
        requireReader.reportUnknownKeys();
        return rule;
    }

    Inventory::EntryHostEntry readEntryHost(JsonObjectReader& reader, InventoryFaults&)
    {
        return { HostId(reader.string("id")), FailureDomainId(reader.string("failure_domain")) };
    }

    template <typename Entry>
    void readList(JsonObjectReader& document, const char* key, Presence presence, std::vector<Entry>& entries,
        Entry (*read)(JsonObjectReader&, InventoryFaults&), InventoryFaults& faults)
    {
        forEach(document.array(key, presence), key, [&](const Json& value, const std::string& place) {
            JsonObjectReader reader(value, place, faults);
            entries.push_back(read(reader, faults));
            reader.reportUnknownKeys();
        });
    }

    /** Reports keys that occur twice in one object, of which the parser would silently drop the first. */
    class DuplicateKeyCheck {
    public:
        explicit DuplicateKeyCheck(InventoryFaults& faults)
            : m_faults(faults)
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
                m_faults.add("key \"" + parsed.get<std::string>() + "\"", "occurs twice in one object");
            return true;
        }

    private:
        InventoryFaults& m_faults;
        std::vector<std::set<std::string>> m_openObjects;
    };

    Json parseText(std::string_view text, InventoryFaults& faults)
    {
        DuplicateKeyCheck duplicates(faults);
        try {
            return Json::parse(
                text, [&](int, Json::parse_event_t event, Json& parsed) { return duplicates(event, parsed); });
        } catch (const Json::exception& error) {
            const std::string reason = error.what();
            faults.add("document", "is not valid JSON: " + reason.substr(reason.find(']') + 2));
            return {};
        }
    }

}

Inventory::Parts InventoryDocument::parse(std::string_view json, InventoryFaults& faults)
{
    Inventory::Parts parts;
    if (json.size() > maximumBytes) {
        faults.add("document", "has more than " + std::to_string(maximumBytes) + " bytes");
        return parts;
    }
    const auto value = parseText(json, faults);
    if (!value.is_object()) {
        faults.add("document", "must be a JSON object");
        return parts;
    }
    JsonObjectReader document(value, "", faults);
    readList(document, "failure_domains", Presence::Required, parts.failureDomains, readFailureDomain, faults);
    readList(document, "workers", Presence::Required, parts.workers, readWorker, faults);
    readList(document, "targets", Presence::Required, parts.targets, readTarget, faults);
    readList(document, "teams", Presence::Required, parts.teams, readTeam, faults);
    readList(document, "rules", Presence::Optional, parts.rules, readRule, faults);
    readList(document, "entry_hosts", Presence::Optional, parts.entryHosts, readEntryHost, faults);
    document.reportUnknownKeys();
    return parts;
}

}
