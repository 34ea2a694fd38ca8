#pragma once

#include "rattanroad_core/identifiers/Identifiers.h"
#include "rattanroad_inventory/inventory/Inventory.h"
#include "rattanroad_network/loop/EventLoop.h"
#include "rattanroad_network/store/StoreClient.h"

#include <functional>
#include <set>

namespace rattanroad::daemon {

/** Follows the platform's list of hosts, /platform/hosts/<worker or target> with the value {"state":"live"|"leaving"},
    by one read and one watch. The list lags: a missing host means nothing.
*/
class PlatformHostWatcher {
public:
    using Changed = std::function<void(const std::set<TargetId>& leaving)>;

    PlatformHostWatcher(EventLoop& loop, platform::StoreClient& store, Changed changed);
    PlatformHostWatcher(const PlatformHostWatcher&) = delete;
    PlatformHostWatcher& operator=(const PlatformHostWatcher&) = delete;

    void start();
    /** The inventory maps workers to their targets. */
    void setInventory(std::shared_ptr<const Inventory> inventory);

private:
    void retry();
    void watch(platform::StoreRevision from);
    void take(const platform::StoreEntry& entry);
    void report();

    EventLoop& m_loop;
    platform::StoreClient& m_store;
    Changed m_changed;
    std::shared_ptr<const Inventory> m_inventory;
    std::set<std::string> m_leaving;
    std::set<TargetId> m_reported;
};

}
