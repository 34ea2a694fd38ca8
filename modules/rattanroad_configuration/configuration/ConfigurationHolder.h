#pragma once

#include "rattanroad_core/failure/Result.h"
#include "rattanroad_core/identifiers/Identifiers.h"
#include "rattanroad_inventory/inventory/Inventory.h"

#include <functional>
#include <memory>
#include <string>

namespace rattanroad {

/** One accepted configuration: the value of /rattanroad/configuration in the store. */
struct ConfigurationValue {
    Revision revision;
    ChangeId changeId;
    std::string author;
    /** Time of acceptance, RFC 3339, for people only. */
    std::string time;
    std::shared_ptr<const Inventory> inventory;

    /** JSON: {"revision","change_id","author","time","document"}. */
    std::string json() const;
    /** Fails with FailureCode::ConfigurationInvalid. */
    static Result<ConfigurationValue> parse(std::string_view json);
};

/** Holds the configuration in force on this host. The revision never goes down, whatever the store or a peer says. */
class ConfigurationHolder {
public:
    /** Called after each installation. */
    using InstalledHook = std::function<void(const ConfigurationValue&)>;

    explicit ConfigurationHolder(InstalledHook installed);

    /** Installs @p value when its revision is higher than the current one; returns whether it was installed. */
    bool offer(ConfigurationValue value);

    /** Returns the revision in force; 0 when there is none. */
    Revision revision() const;
    /** Returns null when none is installed. */
    const ConfigurationValue* current() const;

private:
    InstalledHook m_installed;
    std::optional<ConfigurationValue> m_current;
};

}
