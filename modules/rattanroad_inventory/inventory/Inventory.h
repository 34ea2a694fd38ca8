#pragma once

#include "rattanroad_core/failure/Result.h"
#include "rattanroad_inventory/inventory/InventoryTypes.h"

#include <memory>
#include <string_view>

namespace rattanroad {

/** The operators' configuration document: failure domains, workers, targets, teams, rules and entry hosts. Immutable
    and fully validated; a new revision is a new object.
    @see InventoryDocument for the JSON format
*/
class Inventory {
public:
    /** An entry host in the operators' list. The list determines which entry host is the home of a key that a caller
        chose.
    */
    struct EntryHostEntry {
        HostId id;
        FailureDomainId failureDomain;
    };

    /** The lists of a document, not necessarily validated. */
    struct Parts {
        std::vector<FailureDomain> failureDomains;
        std::vector<Worker> workers;
        std::vector<Target> targets;
        std::vector<Team> teams;
        std::vector<Rule> rules;
        std::vector<EntryHostEntry> entryHosts;
    };

    /** Validates the parts, including duplicates and references (worker of a target, failure domain of a worker,
       selectors of a rule), and builds the inventory. The failure domain and rack of each target are taken from its
       worker. Fails with FailureCode::ConfigurationInvalid; the detail has one error per line, with its path in the
       document.
    */
    static Result<std::shared_ptr<const Inventory>> create(Parts parts);

    /** Parses and validates a JSON document. Unknown keys, wrong types and values out of range are errors.
        @see create
    */
    static Result<std::shared_ptr<const Inventory>> parse(std::string_view json);

    ~Inventory();
    Inventory(const Inventory&) = delete;
    Inventory& operator=(const Inventory&) = delete;

    /** Returns the JSON document. parse(json()) returns an equal inventory. */
    std::string json() const;

    const Parts& parts() const;
    /** These functions look up an entry by id; they return null when there is none. */
    const Target* target(const TargetId& id) const;
    const Worker* worker(const WorkerId& id) const;
    const Team* team(const TeamId& id) const;
    const FailureDomain* failureDomain(const FailureDomainId& id) const;

    /** Returns whether the rules, kinds and resources allow @p kind on @p target, which may be leaving. */
    bool isAllowed(const Target& target, const WorkKind& kind, const Resources& needs) const;

    /** Returns nothing when at least one active target can run such a task; otherwise a failure that names the rule or
        resource because of which none can.
    */
    std::optional<Failure> reasonNoTargetCanRun(const WorkKind& kind, const Resources& needs) const;

    /** Returns whether a rule forbids starting work of @p kind again after an attempt that may have started. */
    bool isNeverRepeated(const WorkKind& kind) const;

    /** Returns the sum of the slots of all active targets. */
    SlotCount totalSlots() const;

private:
    class Impl;
    explicit Inventory(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

}
