#include "rattanroad_inventory/inventory/InventoryCheck.h"

#include "rattanroad_inventory/inventory/PlacementRules.h"

#include <arpa/inet.h>

#include <cctype>
#include <charconv>
#include <cmath>
#include <set>
#include <string_view>

namespace rattanroad {

namespace {

    // Names go into log lines, metrics labels and headers, so their length is bounded.
    constexpr size_t maximumNameBytes = 128;
    constexpr size_t maximumPathBytes = 1024;
    constexpr std::uint32_t maximumSlots = 100'000;
    constexpr std::uint32_t maximumConnections = 1'000'000;
    constexpr std::uint32_t maximumCores = 65'536;
    constexpr std::uint32_t maximumAccelerators = 4'096;
    constexpr std::uint64_t maximumMemoryMebibytes = 1ULL << 30;
    constexpr double maximumWeight = 1e6;
    // 1xx and 2xx cannot state that a task was rejected.
    constexpr int lowestRejectionStatus = 300;
    constexpr int highestStatus = 599;

    std::string at(const char* list, size_t index) { return std::string(list) + "[" + std::to_string(index) + "]"; }

    std::string quoted(const std::string& text) { return "\"" + text + "\""; }

    bool isNameCharacter(char character)
    {
        return std::isalnum(static_cast<unsigned char>(character))
            || std::string_view("._:/@+-").find(character) != std::string_view::npos;
    }

    /** Names in submission ids use a smaller alphabet; see SubmissionId. */
    bool isSubmissionIdCharacter(char character)
    {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') || character == '-';
    }

    bool isMadeOf(const std::string& text, bool (*isAllowed)(char))
    {
        for (const char character : text) {
            if (!isAllowed(character))
                return false;
        }
        return true;
    }

    void checkName(const std::string& text, const std::string& place, InventoryFaults& faults)
    {
        if (text.empty())
            faults.add(place, "must not be empty");
        else if (text.size() > maximumNameBytes)
            faults.add(place, "has more than " + std::to_string(maximumNameBytes) + " bytes");
        else if (!isMadeOf(text, isNameCharacter))
            faults.add(place, "has a character other than letters, digits and ._:/@+-");
    }

    void checkNameInSubmissionId(const std::string& text, const std::string& place, InventoryFaults& faults)
    {
        checkName(text, place, faults);
        if (!isMadeOf(text, isSubmissionIdCharacter) || text == "-")
            faults.add(place, "must consist of lower-case letters, digits and '-'");
    }

    template <typename Number>
    void checkRange(Number value, Number lowest, Number highest, const std::string& place, InventoryFaults& faults)
    {
        if (value < lowest || value > highest)
            faults.add(place, "must be between " + std::to_string(lowest) + " and " + std::to_string(highest));
    }

    void checkResources(const Resources& resources, const std::string& place, InventoryFaults& faults)
    {
        checkRange(resources.cores, 0U, maximumCores, place + ".cores", faults);
        checkRange(resources.accelerators, 0U, maximumAccelerators, place + ".accelerators", faults);
        checkRange(resources.memory.value(), std::uint64_t { 0 }, maximumMemoryMebibytes, place + ".memory_mb", faults);
    }

    bool isPort(std::string_view text)
    {
        unsigned port = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
        return error == std::errc() && end == text.data() + text.size() && port >= 1 && port <= 65535;
    }

    bool isAddress(const std::string& text)
    {
        const auto colon = text.rfind(':');
        if (colon == std::string::npos || !isPort(std::string_view(text).substr(colon + 1)))
            return false;
        const auto host = text.substr(0, colon);
        unsigned char binary[sizeof(in6_addr)];
        if (host.size() > 2 && host.front() == '[' && host.back() == ']')
            return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), binary) == 1;
        return inet_pton(AF_INET, host.c_str(), binary) == 1;
    }

    bool isPath(const std::string& text)
    {
        if (text.empty() || text.front() != '/' || text.size() > maximumPathBytes)
            return false;
        return isMadeOf(text, [](char character) { return character > ' ' && character < 0x7f; });
    }

    bool hasNoEffect(const Rule& rule)
    {
        const auto& least = rule.require;
        return rule.allow.isEmpty() && rule.deny.isEmpty() && !rule.neverRepeat && !least.cores && !least.accelerators
            && !least.memory.value();
    }

    /** Indexes the entries of one list and reports ids that occur twice. */
    template <typename Entries, typename Index>
    void indexById(const Entries& entries, const char* list, Index& index, InventoryFaults& faults)
    {
        for (size_t position = 0; position < entries.size(); ++position) {
            const auto& id = entries[position].id;
            if (id.value().empty() || index.emplace(id, &entries[position]).second)
                continue;
            const auto first = static_cast<size_t>(index.at(id) - entries.data());
            faults.add(at(list, position) + ".id", "duplicate of " + at(list, first) + ", " + quoted(id.value()));
        }
    }

}

InventoryCheck::InventoryCheck(Inventory::Parts& parts, InventoryFaults& faults)
    : m_parts(parts)
    , m_faults(faults)
{
}

void InventoryCheck::run()
{
    indexById(m_parts.failureDomains, "failure_domains", m_failureDomains, m_faults);
    indexById(m_parts.workers, "workers", m_workers, m_faults);
    indexById(m_parts.targets, "targets", m_targets, m_faults);
    checkFailureDomains();
    checkWorkers();
    checkTargets();
    checkTeams();
    checkRules();
    checkEntryHosts();
}

void InventoryCheck::checkFailureDomains()
{
    for (size_t index = 0; index < m_parts.failureDomains.size(); ++index) {
        const auto place = at("failure_domains", index);
        const auto& failureDomain = m_parts.failureDomains[index];
        checkNameInSubmissionId(failureDomain.id.value(), place + ".id", m_faults);
        checkName(failureDomain.region.value(), place + ".region", m_faults);
    }
}

void InventoryCheck::checkFailureDomainExists(const FailureDomainId& id, const std::string& place)
{
    if (!m_failureDomains.count(id))
        m_faults.add(place, "no failure domain " + quoted(id.value()));
}

void InventoryCheck::checkWorkers()
{
    for (size_t index = 0; index < m_parts.workers.size(); ++index) {
        const auto place = at("workers", index);
        const auto& worker = m_parts.workers[index];
        checkName(worker.id.value(), place + ".id", m_faults);
        checkName(worker.rack.value(), place + ".rack", m_faults);
        checkFailureDomainExists(worker.failureDomain, place + ".failure_domain");
        checkResources(worker.resources, place, m_faults);
        m_racks.insert(worker.rack);
    }
}

void InventoryCheck::checkTargets()
{
    for (size_t index = 0; index < m_parts.targets.size(); ++index)
        checkTarget(m_parts.targets[index], at("targets", index));
}

void InventoryCheck::checkTarget(Target& target, const std::string& place)
{
    checkName(target.id.value(), place + ".id", m_faults);
    if (!isAddress(target.address))
        m_faults.add(place + ".address", "must be an IP number and a port, like 192.0.2.7:9001 or [2001:db8::7]:9001");
    if (!isPath(target.path))
        m_faults.add(place + ".path", "must begin with '/' and have no spaces or control characters");
    if (target.kinds.empty())
        m_faults.add(place + ".kinds", "must name at least one kind of work");
    for (const auto& kind : target.kinds)
        checkName(kind.value(), place + ".kinds", m_faults);
    checkRange(target.slots.value(), 1U, maximumSlots, place + ".slots", m_faults);
    checkRange(target.connections.value(), 1U, maximumConnections, place + ".connections", m_faults);
    for (size_t index = 0; index < target.notRunStatuses.size(); ++index) {
        const auto statusPlace = place + ".not_run_statuses[" + std::to_string(index) + "]";
        checkRange(target.notRunStatuses[index], lowestRejectionStatus, highestStatus, statusPlace, m_faults);
    }

    const auto worker = m_workers.find(target.worker);
    if (worker == m_workers.end()) {
        m_faults.add(place + ".worker", "no worker " + quoted(target.worker.value()));
        return;
    }
    target.failureDomain = worker->second->failureDomain;
    target.rack = worker->second->rack;
}

void InventoryCheck::checkTeams()
{
    std::unordered_map<TeamId, const Team*> teams;
    indexById(m_parts.teams, "teams", teams, m_faults);
    for (size_t index = 0; index < m_parts.teams.size(); ++index) {
        const auto place = at("teams", index);
        const auto& team = m_parts.teams[index];
        checkName(team.id.value(), place + ".id", m_faults);
        checkRange(team.quota.value(), 0U, maximumConnections, place + ".quota_slots", m_faults);
        if (!(team.weight > 0) || team.weight > maximumWeight)
            m_faults.add(place + ".weight", "must be positive and at most 1000000");
    }
}

void InventoryCheck::checkRules()
{
    std::unordered_map<RuleId, const Rule*> rules;
    indexById(m_parts.rules, "rules", rules, m_faults);
    for (size_t index = 0; index < m_parts.rules.size(); ++index) {
        const auto place = at("rules", index);
        const auto& rule = m_parts.rules[index];
        checkName(rule.id.value(), place + ".id", m_faults);
        checkName(rule.kind.value(), place + ".kind", m_faults);
        checkPlaces(rule.allow, place + ".allow");
        checkPlaces(rule.deny, place + ".deny");
        checkResources(rule.require, place + ".require", m_faults);
        if (hasNoEffect(rule))
            m_faults.add(place, "has no effect: it needs one of allow, deny, never_repeat and require");
        checkRuleLeavesTarget(rule, place);
    }
}

void InventoryCheck::checkPlaces(const PlaceSet& places, const std::string& place)
{
    for (const auto& failureDomain : places.failureDomains)
        checkFailureDomainExists(failureDomain, place + ".failure_domains");
    for (const auto& rack : places.racks) {
        if (!m_racks.count(rack))
            m_faults.add(place + ".racks", "no worker is in rack " + quoted(rack.value()));
    }
    for (const auto& target : places.targets) {
        if (!m_targets.count(target))
            m_faults.add(place + ".targets", "no target " + quoted(target.value()));
    }
}

void InventoryCheck::checkRuleLeavesTarget(const Rule& rule, const std::string& place)
{
    // All rules of a kind hold together, so each one is checked with those before it. Leaving targets count here:
    // otherwise the last target of a kind could not be drained.
    bool isKindKnown = false;
    for (const auto& target : m_parts.targets) {
        if (!target.kinds.count(rule.kind))
            continue;
        isKindKnown = true;
        const auto worker = m_workers.find(target.worker);
        bool isPermitted = worker != m_workers.end();
        for (const Rule* other = m_parts.rules.data(); isPermitted && other <= &rule; ++other)
            isPermitted = other->kind != rule.kind || permits(*other, target, worker->second->resources);
        if (isPermitted)
            return;
    }
    if (!isKindKnown)
        m_faults.add(place + ".kind", "no target runs kind " + quoted(rule.kind.value()));
    else
        m_faults.add(place, "leaves no target for kind " + quoted(rule.kind.value()));
}

void InventoryCheck::checkEntryHosts()
{
    std::unordered_map<HostId, const Inventory::EntryHostEntry*> entryHosts;
    indexById(m_parts.entryHosts, "entry_hosts", entryHosts, m_faults);
    for (size_t index = 0; index < m_parts.entryHosts.size(); ++index) {
        const auto place = at("entry_hosts", index);
        const auto& entryHost = m_parts.entryHosts[index];
        checkNameInSubmissionId(entryHost.id.value(), place + ".id", m_faults);
        checkFailureDomainExists(entryHost.failureDomain, place + ".failure_domain");
    }
}

}
