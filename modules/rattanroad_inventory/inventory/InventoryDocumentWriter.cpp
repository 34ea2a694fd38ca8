#include "rattanroad_inventory/inventory/InventoryDocument.h"

#include <nlohmann/json.hpp>

namespace rattanroad {

namespace {

    using Json = nlohmann::json;

    template <typename Names> Json namesToJson(const Names& names)
    {
        auto array = Json::array();
        for (const auto& name : names)
            array.push_back(name.value());
        return array;
    }

    void writeResources(const Resources& resources, Json& object)
    {
        object["cores"] = resources.cores;
        object["memory_mb"] = resources.memory.value();
        object["accelerators"] = resources.accelerators;
    }

    Json toJson(const FailureDomain& failureDomain)
    {
        return { { "id", failureDomain.id.value() }, { "region", failureDomain.region.value() } };
    }

    Json toJson(const Worker& worker)
    {
        Json object { { "id", worker.id.value() }, { "failure_domain", worker.failureDomain.value() },
            { "rack", worker.rack.value() } };
        writeResources(worker.resources, object);
        return object;
    }

    Json toJson(const Target& target)
    {
        Json object { { "id", target.id.value() }, { "worker", target.worker.value() }, { "address", target.address },
            { "path", target.path }, { "kinds", namesToJson(target.kinds) }, { "slots", target.slots.value() },
            { "connections", target.connections.value() } };
        object["state"] = target.state == TargetState::Leaving ? "leaving" : "active";
        if (!target.notRunStatuses.empty())
            object["not_run_statuses"] = target.notRunStatuses;
        return object;
    }

    Json toJson(const Team& team)
    {
        return { { "id", team.id.value() }, { "quota_slots", team.quota.value() }, { "weight", team.weight } };
    }

    Json toJson(const PlacementSelector& selector)
    {
        auto object = Json::object();
        if (!selector.failureDomains.empty())
            object["failure_domains"] = namesToJson(selector.failureDomains);
        if (!selector.racks.empty())
            object["racks"] = namesToJson(selector.racks);
        if (!selector.targets.empty())
            object["targets"] = namesToJson(selector.targets);
        return object;
    }

    Json toJson(const Rule& rule)
    {
        Json object { { "id", rule.id.value() }, { "kind", rule.kind.value() } };
        if (!rule.allow.isEmpty())
            object["allow"] = toJson(rule.allow);
        if (!rule.deny.isEmpty())
            object["deny"] = toJson(rule.deny);
        if (rule.neverRepeat)
            object["never_repeat"] = true;
        if (rule.require.cores || rule.require.memory.value() || rule.require.accelerators)
            writeResources(rule.require, object["require"]);
        return object;
    }

    Json toJson(const Inventory::EntryHostEntry& entryHost)
    {
        return { { "id", entryHost.id.value() }, { "failure_domain", entryHost.failureDomain.value() } };
    }

    template <typename Entry> Json listToJson(const std::vector<Entry>& entries)
    {
        auto array = Json::array();
        for (const auto& entry : entries)
            array.push_back(toJson(entry));
        return array;
    }

}

std::string InventoryDocument::toJson(const Inventory::Parts& parts)
{
    const Json document { { "failure_domains", listToJson(parts.failureDomains) },
        { "workers", listToJson(parts.workers) }, { "targets", listToJson(parts.targets) },
        { "teams", listToJson(parts.teams) }, { "rules", listToJson(parts.rules) },
        { "entry_hosts", listToJson(parts.entryHosts) } };
    return document.dump();
}

}
