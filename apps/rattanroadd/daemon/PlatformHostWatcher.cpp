#include "daemon/PlatformHostWatcher.h"

#include "rattanroad_core/json/BoundedJson.h"

#include <nlohmann/json.hpp>

namespace rattanroad::daemon {

namespace {
    const std::string hostKeyPrefix = "/platform/hosts/";
    /** A leaving target must stop receiving work within 3 s after the store is back. */
    constexpr std::chrono::seconds retryInterval { 1 };
}

PlatformHostWatcher::PlatformHostWatcher(EventLoop& loop, platform::StoreClient& store, LeavingCallback changed)
    : m_loop(loop)
    , m_store(store)
    , m_changed(std::move(changed))
{
}

void PlatformHostWatcher::start()
{
    m_store.getPrefix(hostKeyPrefix, [this](const platform::StoreReadResult& result) {
        if (result.outcome != platform::StoreOutcome::Done) {
            retry();
            return;
        }
        m_leaving.clear();
        for (const platform::StoreEntry& entry : result.entries)
            applyEntry(entry);
        reportChange();
        watch(platform::StoreRevision(result.revision.value() + 1));
    });
}

void PlatformHostWatcher::setInventory(std::shared_ptr<const Inventory> inventory)
{
    m_inventory = std::move(inventory);
    reportChange();
}

void PlatformHostWatcher::retry()
{
    m_loop.addTimer(retryInterval, [this] { start(); });
}

void PlatformHostWatcher::watch(platform::StoreRevision from)
{
    const auto changed = [this](const platform::StoreEvent& event) {
        if (event.isDeleted)
            m_leaving.erase(event.entry.key.substr(hostKeyPrefix.size()));
        else
            applyEntry(event.entry);
        reportChange();
    };
    m_store.watch(hostKeyPrefix, from, changed, [this] { retry(); });
}

void PlatformHostWatcher::applyEntry(const platform::StoreEntry& entry)
{
    const std::string host = entry.key.substr(hostKeyPrefix.size());
    const auto value = parseBoundedJson(entry.value);
    const bool isLeaving = value.is_object() && value.contains("state") && value["state"] == "leaving";
    if (isLeaving)
        m_leaving.insert(host);
    else
        m_leaving.erase(host);
}

void PlatformHostWatcher::reportChange()
{
    if (!m_inventory)
        return;
    std::set<TargetId> leaving;
    for (const Target& target : m_inventory->parts().targets) {
        if (m_leaving.count(target.id.value()) || m_leaving.count(target.worker.value()))
            leaving.insert(target.id);
    }
    if (leaving == m_reported)
        return;
    m_reported = leaving;
    m_changed(leaving);
}

}
