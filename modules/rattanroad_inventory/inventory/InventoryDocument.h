#pragma once

#include "rattanroad_inventory/inventory/Inventory.h"
#include "rattanroad_inventory/inventory/ValidationErrors.h"

#include <string>
#include <string_view>

namespace rattanroad {

/** Reads and writes the JSON format of an inventory. Checks keys and types, and that integers fit; InventoryValidator
    checks the other ranges and the references.
*/
class InventoryDocument {
public:
    /** Largest accepted document. The store limits a value to 1 MB, which must also hold the revision and author. */
    static constexpr std::size_t maximumBytes = 1'000'000;

    /** Parses a document. An invalid entry stays in its list, so that later errors have the right list index. The
       result is usable only if no errors were added to @p errors.
    */
    static Inventory::Parts parse(std::string_view json, ValidationErrors& errors);

    /** Returns the document as compact JSON. Some optional keys are left out when they have their default value. */
    static std::string toJson(const Inventory::Parts& parts);
};

}
