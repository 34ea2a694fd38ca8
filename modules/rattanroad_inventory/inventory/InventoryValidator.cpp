#include "rattanroad_inventory/inventory/InventoryValidator.h"

#include "rattanroad_inventory/inventory/PlacementRules.h"

#include <arpa/inet.h>

#include <cctype>
#include <charconv>
#include <cmath>
#include <set>
#include <string_view>

namespace rattanroad {

namespace {

    // Names appear in log lines, metric labels and headers, so their length is limited.
    constexpr size_t maximumNameBytes = 128;
    constexpr size_t maximumPathBytes = 1024;
    constexpr std::uint32_t maximumSlots = 100'000;
    constexpr std::uint32_t maximumConnections = 1'000'000;
    constexpr std::uint32_t maximumCores = 65'536;
    constexpr std::uint32_t maximumAccelerators = 4'096;
    constexpr std::uint64_t maximumMemoryMebibytes = 1ULL << 30;
    constexpr double maximumWeight = 1e6;
    // A 1xx or 2xx status cannot mean that a task was rejected.
    constexpr int lowestRejectionStatus = 300;
    constexpr int highestStatus = 599;

    std::string at(const char* list, size_t index) { return std::string(list) + "[" + std::to_string(index) + "]"; }

    std::string quoted(const std::string& text) { return "\"" + text + "\""; }

    bool isNameCharacter(char character)
    {
        return std::isalnum(static_cast<unsigned char>(character))
            || std::string_view("._:/@+-").find(character) != std::string_view::npos;
    }

    /** Names that become part of submission ids allow fewer characters; see SubmissionId. */
    bool isSubmissionIdCharacter(char character)
    {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') || character == '-';
    }

    bool consistsOf(const std::string& text, bool (*isAllowed)(char))
    {
        for (const char character : text) {
            if (!isAllowed(character))
                return false;
        }
        return true;
    }

    void checkName(const std::string& text, const std::string& path, ValidationErrors& errors)
    {
        if (text.empty())
            errors.add(path, "must not be empty");
        else if (text.size() > maximumNameBytes)
            errors.add(path, "has more than " + std::to_string(maximumNameBytes) + " bytes");
        else if (!consistsOf(text, isNameCharacter))
            errors.add(path, "has a character other than letters, digits and ._:/@+-");
    }

    void checkNameInSubmissionId(const std::string& text, const std::string& path, ValidationErrors& errors)
    {
        checkName(text, path, errors);
        if (!consistsOf(text, isSubmissionIdCharacter) || text == "-")
            errors.add(path, "must consist of lower-case letters, digits and '-'");
    }

    template <typename Number>
    void checkRange(Number value, Number lowest, Number highest, const std::string& path, ValidationErrors& errors)
    {
        if (value < lowest || value > highest)
            errors.add(path, "must be between " + std::to_string(lowest) + " and " + std::to_string(highest));
    }

    void checkResources(const Resources& resources, const std::string& path, ValidationErrors& errors)
    {
        checkRange(resources.cores, 0U, maximumCores, path + ".cores", errors);
        checkRange(resources.accelerators, 0U, maximumAccelerators, path + ".accelerators", errors);
        checkRange(resources.memory.value(), std::uint64_t { 0 }, maximumMemoryMebibytes, path + ".memory_mb", errors);
    }

    bool isPort(std::string_view text)
    {
        unsigned port = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
        return error == std::errc() && end == text.data() + text.size() && port >= 1 && port <= 65535;
    }

    bool isSocketAddress(const std::string& text)
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

    bool isUrlPath(const std::string& text)
    {
        if (text.empty() || text.front() != '/' || text.size() > maximumPathBytes)
            return false;
        return consistsOf(text, [](char character) { return character > ' ' && character < 0x7f; });
    }

    bool hasNoEffect(const Rule& rule)
    {
        const auto& required = rule.require;
        return rule.allow.isEmpty() && rule.deny.isEmpty() && !rule.neverRepeat && !required.cores
            && !required.accelerators && !required.memory.value();
    }

    /** Indexes the entries of one list by id and reports duplicate ids. */
    template <typename Entries, typename Index>
    void indexById(const Entries& entries, const char* list, Index& index, ValidationErrors& errors)
    {
        for (size_t position = 0; position < entries.size(); ++position) {
            const auto& id = entries[position].id;
            if (id.value().empty() || index.emplace(id, &entries[position]).second)
                continue;
            const auto first = static_cast<size_t>(index.at(id) - entries.data());
            errors.add(at(list, position) + ".id", "duplicate of " + at(list, first) + ", " + quoted(id.value()));
        }
    }

}

InventoryValidator::InventoryValidator(Inventory::Parts& parts, ValidationErrors& errors)
    : m_parts(parts)
    , m_errors(errors)
{
}

void InventoryValidator::run()
{
    indexById(m_parts.failureDomains, "failure_domains", m_failureDomains, m_errors);
    indexById(m_parts.workers, "workers", m_workers, m_errors);
    indexById(m_parts.targets, "targets", m_targets, m_errors);
    checkFailureDomains();
    checkWorkers();
    checkTargets();
    checkTeams();
    checkRules();
    checkEntryHosts();
}

void InventoryValidator::checkFailureDomains()
{
    for (size_t index = 0; index < m_parts.failureDomains.size(); ++index) {
        const auto path = at("failure_domains", index);
        const auto& failureDomain = m_parts.failureDomains[index];
        checkNameInSubmissionId(failureDomain.id.value(), path + ".id", m_errors);
        checkName(failureDomain.region.value(), path + ".region", m_errors);
    }
}

void InventoryValidator::checkFailureDomainExists(const FailureDomainId& id, const std::string& path)
{
    if (!m_failureDomains.count(id))
        m_errors.add(path, "no failure domain " + quoted(id.value()));
}

void InventoryValidator::checkWorkers()
{
    for (size_t index = 0; index < m_parts.workers.size(); ++index) {
        const auto path = at("workers", index);
        const auto& worker = m_parts.workers[index];
        checkName(worker.id.value(), path + ".id", m_errors);
        checkName(worker.rack.value(), path + ".rack", m_errors);
        checkFailureDomainExists(worker.failureDomain, path + ".failure_domain");
        checkResources(worker.resources, path, m_errors);
        m_racks.insert(worker.rack);
    }
}

void InventoryValidator::checkTargets()
{
    for (size_t index = 0; index < m_parts.targets.size(); ++index)
        checkTarget(m_parts.targets[index], at("targets", index));
}

void InventoryValidator::checkTarget(Target& target, const std::string& path)
{
    checkName(target.id.value(), path + ".id", m_errors);
    if (!isSocketAddress(target.address))
        m_errors.add(path + ".address", "must be an IP number and a port, like 192.0.2.7:9001 or [2001:db8::7]:9001");
    if (!isUrlPath(target.path))
        m_errors.add(path + ".path", "must begin with '/' and have no spaces or control characters");
    if (target.kinds.empty())
        m_errors.add(path + ".kinds", "must name at least one kind of work");
    for (const auto& kind : target.kinds)
        checkName(kind.value(), path + ".kinds", m_errors);
    checkRange(target.slots.value(), 1U, maximumSlots, path + ".slots", m_errors);
    checkRange(target.connections.value(), 1U, maximumConnections, path + ".connections", m_errors);
    for (size_t index = 0; index < target.notRunStatuses.size(); ++index) {
        const auto statusPath = path + ".not_run_statuses[" + std::to_string(index) + "]";
        checkRange(target.notRunStatuses[index], lowestRejectionStatus, highestStatus, statusPath, m_errors);
    }

    const auto worker = m_workers.find(target.worker);
    if (worker == m_workers.end()) {
        m_errors.add(path + ".worker", "no worker " + quoted(target.worker.value()));
        return;
    }
    target.failureDomain = worker->second->failureDomain;
    target.rack = worker->second->rack;
}

void InventoryValidator::checkTeams()
{
    std::unordered_map<TeamId, const Team*> teams;
    indexById(m_parts.teams, "teams", teams, m_errors);
    for (size_t index = 0; index < m_parts.teams.size(); ++index) {
        const auto path = at("teams", index);
        const auto& team = m_parts.teams[index];
        checkName(team.id.value(), path + ".id", m_errors);
        checkRange(team.quota.value(), 0U, maximumConnections, path + ".quota_slots", m_errors);
        if (!(team.weight > 0) || team.weight > maximumWeight)
            m_errors.add(path + ".weight", "must be positive and at most 1000000");
    }
}

void InventoryValidator::checkRules()
{
    std::unordered_map<RuleId, const Rule*> rules;
    indexById(m_parts.rules, "rules", rules, m_errors);
    for (size_t index = 0; index < m_parts.rules.size(); ++index) {
        const auto path = at("rules", index);
        const auto& rule = m_parts.rules[index];
        checkName(rule.id.value(), path + ".id", m_errors);
        checkName(rule.kind.value(), path + ".kind", m_errors);
        checkSelector(rule.allow, path + ".allow");
        checkSelector(rule.deny, path + ".deny");
        checkResources(rule.require, path + ".require", m_errors);
        if (hasNoEffect(rule))
            m_errors.add(path, "has no effect: it needs one of allow, deny, never_repeat and require");
        checkRulePermitsTarget(rule, path);
    }
}

void InventoryValidator::checkSelector(const PlacementSelector& selector, const std::string& path)
{
    for (const auto& failureDomain : selector.failureDomains)
        checkFailureDomainExists(failureDomain, path + ".failure_domains");
    for (const auto& rack : selector.racks) {
        if (!m_racks.count(rack))
            m_errors.add(path + ".racks", "no worker is in rack " + quoted(rack.value()));
    }
    for (const auto& target : selector.targets) {
        if (!m_targets.count(target))
            m_errors.add(path + ".targets", "no target " + quoted(target.value()));
    }
}

void InventoryValidator::checkRulePermitsTarget(const Rule& rule, const std::string& path)
{
    // All rules of a kind apply together, so each rule is checked along with those before it. Leaving targets count as
    // permitted; otherwise the last target of a kind could not be drained.
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
        m_errors.add(path + ".kind", "no target runs kind " + quoted(rule.kind.value()));
    else
        m_errors.add(path, "leaves no target for kind " + quoted(rule.kind.value()));
}

void InventoryValidator::checkEntryHosts()
{
    std::unordered_map<HostId, const Inventory::EntryHostEntry*> entryHosts;
    indexById(m_parts.entryHosts, "entry_hosts", entryHosts, m_errors);
    for (size_t index = 0; index < m_parts.entryHosts.size(); ++index) {
        const auto path = at("entry_hosts", index);
        const auto& entryHost = m_parts.entryHosts[index];
        checkNameInSubmissionId(entryHost.id.value(), path + ".id", m_errors);
        checkFailureDomainExists(entryHost.failureDomain, path + ".failure_domain");
    }
}

}
