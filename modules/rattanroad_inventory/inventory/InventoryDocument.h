#pragma once

#include "rattanroad_inventory/inventory/Inventory.h"
#include "rattanroad_inventory/inventory/InventoryFaults.h"

#include <string>
#include <string_view>

namespace rattanroad {

/** The JSON form of an inventory. Checks keys, types and ranges; references are left to InventoryCheck. */
class InventoryDocument {
public:
    /** Largest accepted document. The store holds values up to 1 MB; the rest is left for revision and author. */
    static constexpr std::size_t maximumBytes = 1'000'000;

    /** Reads a document. A faulty entry stays in its list, so that the positions in later faults are right; the
        result is usable only when @p faults stays empty.
    */
    static Inventory::Parts parse(std::string_view json, InventoryFaults& faults);

    /** Returns the document as compact JSON; optional keys with their default value are left out. */
    static std::string toJson(const Inventory::Parts& parts);
};

}
