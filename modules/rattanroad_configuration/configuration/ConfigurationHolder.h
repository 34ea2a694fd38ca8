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
    /** Time of the change in RFC 3339 format; informational only. */
    std::string time;
    std::shared_ptr<const Inventory> inventory;

    /** Returns a JSON object with the keys "revision", "change_id", "author", "time" and "document". */
    std::string json() const;
    /** Parses the output of json(). Fails with FailureCode::ConfigurationInvalid. */
    static Result<ConfigurationValue> parse(std::string_view json);
};

/** Holds the configuration in force on this host. Its revision never decreases, even if the store or a peer offers an
    older one.
*/
class ConfigurationHolder {
public:
    /** Called after each installation of a new configuration. */
    using InstalledHook = std::function<void(const ConfigurationValue&)>;

    explicit ConfigurationHolder(InstalledHook installed);

    /** Installs @p value if it has an inventory and a higher revision than the current one. Returns whether it was
        installed.
    */
    bool offer(ConfigurationValue value);

    /** Returns the revision in force; 0 when no configuration is installed. */
    Revision revision() const;
    /** Returns the configuration in force; null when none is installed. */
    const ConfigurationValue* current() const;

private:
    InstalledHook m_installed;
    std::optional<ConfigurationValue> m_current;
};

}
