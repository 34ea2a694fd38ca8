#include "rattanroad_shards/node/TargetListFollower.h"

namespace rattanroad::shards {

TargetListFollower::TargetListFollower(
    Settings settings, KeyValueStore& store, Timers timers, const Clock& clock, Hooks hooks)
    : m_settings(std::move(settings))
    , m_timers(std::move(timers))
    , m_clock(clock)
    , m_hooks(std::move(hooks))
    , m_watcher({ m_settings.prefix }, store, m_timers, clock, watcherHooks())
{
}

PrefixWatcher::Hooks TargetListFollower::watcherHooks()
{
    PrefixWatcher::Hooks hooks;
    hooks.written = [this](const StoredItem& item) { entryWritten(item); };
    hooks.removed = [this](const std::string& key) { unlist(targetOf(key)); };
    hooks.interrupted = [this] { m_hooks.interrupted(); };
    hooks.pause = [this] { return m_hooks.isHolding() ? m_settings.holderPause : m_settings.idlePause; };
    hooks.isChecked = [this] { return m_hooks.isHolding(); };
    hooks.updated = [this] { updated(); };
    return hooks;
}

void TargetListFollower::entryWritten(const StoredItem& item)
{
    const TargetId id = targetOf(item.key);
    const auto report = m_hooks.parseTarget(id.value(), item.value);
    const ShardId shard(report ? report->failureDomain.value() : "");
    ShardDispatcher* const dispatcher = report ? m_hooks.dispatcher(shard) : nullptr;
    if (!dispatcher) {
        m_hooks.log("target_ignored", id);
        unlist(id);
        return;
    }
    const auto known = m_shardByTarget.find(id);
    if (known != m_shardByTarget.end() && known->second != shard)
        m_hooks.dispatcher(known->second)->targetMoved(id);
    m_shardByTarget[id] = shard;
    dispatcher->targetListed(*report);
}

void TargetListFollower::updated()
{
    const auto dispatchers = m_hooks.allDispatchers();
    // Targets that left the list before it was read are not known.
    for (ShardDispatcher* const dispatcher : dispatchers) {
        if (m_isNew)
            dispatcher->targetListInterrupted();
    }
    m_isNew = false;
    for (ShardDispatcher* const dispatcher : dispatchers)
        dispatcher->targetListUpdated(m_watcher.currentAsOf());
}

std::chrono::milliseconds TargetListFollower::age() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - m_watcher.currentAsOf());
}

void TargetListFollower::unlist(const TargetId& target)
{
    const auto shard = m_shardByTarget.find(target);
    if (shard == m_shardByTarget.end())
        return;
    m_hooks.dispatcher(shard->second)->targetUnlisted(target);
    m_shardByTarget.erase(shard);
}

void TargetListFollower::readFor(const ShardId& shard)
{
    m_watcher.readNow(shard.value(), [this, shard] { m_hooks.dispatcher(shard)->targetListRead(); });
}

void TargetListFollower::refresh()
{
    if (m_watcher.isStarted())
        m_watcher.refresh();
    else
        follow();
}

void TargetListFollower::review()
{
    m_timers.after(m_settings.reviewInterval, [this] { review(); });
    const std::optional<bool> isNeeded = m_hooks.isNeeded();
    if (!isNeeded)
        return;
    if (*isNeeded && !m_watcher.isStarted()) {
        follow();
    } else if (!*isNeeded && m_watcher.isStarted()) {
        m_hooks.log("target_list_left", TargetId());
        m_watcher.stop();
    }
}

void TargetListFollower::follow()
{
    m_hooks.log("target_list_followed", TargetId());
    m_isNew = true;
    m_watcher.start();
}

}
