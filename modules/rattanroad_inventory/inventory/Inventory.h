#pragma once

#include "rattanroad_core/failure/Result.h"
#include "rattanroad_inventory/inventory/InventoryTypes.h"

#include <memory>
#include <string_view>

namespace rattanroad {

/** The operators' configuration document: failure domains, workers, targets, teams, rules and entry hosts. Immutable
    and fully checked; a new revision is a new object.
    @see InventoryDocument for the JSON form
*/
class Inventory {
public:
    /** An entry host as the operators list it; the list decides the home of a caller's own key. */
    struct EntryHostEntry {
        HostId id;
        FailureDomainId failureDomain;
    };

    /** Parts of a document before the check. */
    struct Parts {
        std::vector<FailureDomain> failureDomains;
        std::vector<Worker> workers;
        std::vector<Target> targets;
        std::vector<Team> teams;
        std::vector<Rule> rules;
        std::vector<EntryHostEntry> entryHosts;
    };

    /** Checks references between the parts (worker of a target, domain of a worker, places of a rule, duplicates) and
        builds the inventory. Failure domain and rack of each target are taken from its worker.
        Fails with FailureCode::ConfigurationInvalid; the detail names each fault by its place, one a line.
    */
    static Result<std::shared_ptr<const Inventory>> create(Parts parts);

    /** Parses and checks the JSON document; unknown keys, wrong types and ranges are faults. @see create */
    static Result<std::shared_ptr<const Inventory>> parse(std::string_view json);

    ~Inventory();
    Inventory(const Inventory&) = delete;
    Inventory& operator=(const Inventory&) = delete;

    /** Returns the JSON document; parse(json()) gives an equal inventory. */
    std::string json() const;

    const Parts& parts() const;
    /** Each of these returns null when there is no such entry. */
    const Target* target(const TargetId& id) const;
    const Worker* worker(const WorkerId& id) const;
    const Team* team(const TeamId& id) const;
    const FailureDomain* failureDomain(const FailureDomainId& id) const;

    /** Returns whether the rules, kinds and resources allow @p kind on @p target; leaving targets are not excluded. */
    bool isAllowed(const Target& target, const WorkKind& kind, const Resources& needs) const;

    /** Returns a failure that names the rule or resource that bars every target, or nothing when at least one target
       can run such a task. Leaving targets do not count.
    */
    std::optional<Failure> reasonNoTargetCanRun(const WorkKind& kind, const Resources& needs) const;

    /** Returns whether a rule forbids a second start of @p kind. */
    bool isNeverRepeated(const WorkKind& kind) const;

    /** Returns the sum of slots over all targets, leaving ones excluded. */
    SlotCount totalSlots() const;

private:
    class Impl;
    explicit Inventory(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

}
