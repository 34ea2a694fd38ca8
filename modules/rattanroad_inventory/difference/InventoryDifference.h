#pragma once

#include "rattanroad_inventory/inventory/Inventory.h"

#include <string>
#include <vector>

namespace rattanroad {

/** The difference between two inventories, by entry and key. */
class InventoryDifference {
public:
    enum class Kind {
        Added,
        Removed,
        Changed,
    };

    /** The change of one key of an entry. @c before and @c after are JSON texts, empty when the key is absent. */
    struct Value {
        std::string key;
        std::string before;
        std::string after;
    };

    struct Entry {
        Kind kind { Kind::Changed };
        /** Name of the list in the document, such as "targets" or "workers". */
        std::string list;
        std::string id;
        /** Filled for changed entries only. */
        std::vector<Value> values;
    };

    /** Compares @p before with @p after; null stands for an empty inventory. The order of entries in a list is
        ignored.
    */
    static InventoryDifference between(const Inventory* before, const Inventory* after);

    bool isEmpty() const { return m_entries.empty(); }
    /** Returns the entries by list; within a list, removed and changed entries come before added ones, each by id. */
    const std::vector<Entry>& entries() const { return m_entries; }

    /** Returns one line per entry or changed key: "+ targets t-9", "- workers w-2", "~ targets t-1 slots: 8 -> 4". */
    std::string text() const;
    /** Returns a JSON array of {"kind","list","id","values"?:[{"key","before","after"}]}. */
    std::string json() const;

private:
    std::vector<Entry> m_entries;
};

}
