#pragma once

#include "rattanroad_core/identifiers/Identifiers.h"
#include "rattanroad_inventory/inventory/Inventory.h"
#include "rattanroad_network/loop/EventLoop.h"
#include "rattanroad_network/store/StoreClient.h"

#include <functional>
#include <set>

namespace rattanroad::daemon {

/** Watches the platform's host list for targets that are leaving, by one read and one watch of the keys
    /platform/hosts/<worker or target> with the value {"state":"live"|"leaving"}. The list may be stale, so a missing
   host is not treated as leaving.
*/
class PlatformHostWatcher {
public:
    /** Receives all leaving targets after each change of the set. */
    using LeavingCallback = std::function<void(const std::set<TargetId>& leaving)>;

    PlatformHostWatcher(EventLoop& loop, platform::StoreClient& store, LeavingCallback changed);
    PlatformHostWatcher(const PlatformHostWatcher&) = delete;
    PlatformHostWatcher& operator=(const PlatformHostWatcher&) = delete;

    /** Reads the list and starts the watch; repeats both when the store fails or the watch ends. */
    void start();
    /** Sets the inventory, which maps workers to their targets. Nothing is reported before the first one. */
    void setInventory(std::shared_ptr<const Inventory> inventory);

private:
    void retry();
    void watch(platform::StoreRevision from);
    void applyEntry(const platform::StoreEntry& entry);
    void reportChange();

    EventLoop& m_loop;
    platform::StoreClient& m_store;
    LeavingCallback m_changed;
    std::shared_ptr<const Inventory> m_inventory;
    /** Workers and targets that the list marks as leaving. */
    std::set<std::string> m_leaving;
    std::set<TargetId> m_reported;
};

}
