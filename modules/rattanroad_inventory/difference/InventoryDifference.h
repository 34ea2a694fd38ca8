#pragma once

#include "rattanroad_inventory/inventory/Inventory.h"

#include <string>
#include <vector>

namespace rattanroad {

/** What changes between two inventories, entry by entry and key by key. */
class InventoryDifference {
public:
    enum class Kind {
        Added,
        Removed,
        Changed,
    };

    /** A key of a changed entry; before and after are JSON texts, empty when the key is absent. */
    struct Value {
        std::string key;
        std::string before;
        std::string after;
    };

    struct Entry {
        Kind kind { Kind::Changed };
        /** "targets", "workers", … */
        std::string list;
        std::string id;
        /** Filled for changed entries only. */
        std::vector<Value> values;
    };

    /** Compares @p before with @p after; null stands for an empty inventory. The order of entries in a list does not
        count.
    */
    static InventoryDifference between(const Inventory* before, const Inventory* after);

    bool isEmpty() const { return m_entries.empty(); }
    /** Returns the entries, by list and then by id. */
    const std::vector<Entry>& entries() const { return m_entries; }

    /** Returns one line per entry or changed key: "+ targets t-9", "- workers w-2", "~ targets t-1 slots: 8 -> 4". */
    std::string text() const;
    /** Returns a JSON array of {"kind","list","id","values"?:[{"key","before","after"}]}. */
    std::string json() const;

private:
    std::vector<Entry> m_entries;
};

}
