#include "daemon/PlatformHostWatcher.h"

#include <nlohmann/json.hpp>

namespace rattanroad::daemon {

namespace {
    const std::string prefix = "/platform/hosts/";
    /** Below the 3 s in which a leaving target must stop receiving work after the store is back. */
    constexpr std::chrono::seconds retryInterval { 1 };
}

PlatformHostWatcher::PlatformHostWatcher(EventLoop& loop, platform::StoreClient& store, Changed changed)
    : m_loop(loop)
    , m_store(store)
    , m_changed(std::move(changed))
{
}

void PlatformHostWatcher::start()
{
    m_store.getPrefix(prefix, [this](const platform::StoreReadResult& result) {
        if (result.outcome != platform::StoreOutcome::Done) {
            retry();
            return;
        }
        m_leaving.clear();
        for (const platform::StoreEntry& entry : result.entries)
            take(entry);
        report();
        watch(platform::StoreRevision(result.revision.value() + 1));
    });
}

void PlatformHostWatcher::setInventory(std::shared_ptr<const Inventory> inventory)
{
    m_inventory = std::move(inventory);
    report();
}

void PlatformHostWatcher::retry()
{
    m_loop.addTimer(retryInterval, [this] { start(); });
}

void PlatformHostWatcher::watch(platform::StoreRevision from)
{
    const auto changed = [this](const platform::StoreEvent& event) {
        if (event.isDeleted)
            m_leaving.erase(event.entry.key.substr(prefix.size()));
        else
            take(event.entry);
        report();
    };
    m_store.watch(prefix, from, changed, [this] { retry(); });
}

void PlatformHostWatcher::take(const platform::StoreEntry& entry)
{
    const std::string host = entry.key.substr(prefix.size());
    const auto value = nlohmann::json::parse(entry.value, nullptr, false);
    const bool isLeaving = value.is_object() && value.contains("state") && value["state"] == "leaving";
    if (isLeaving)
        m_leaving.insert(host);
    else
        m_leaving.erase(host);
}

void PlatformHostWatcher::report()
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
