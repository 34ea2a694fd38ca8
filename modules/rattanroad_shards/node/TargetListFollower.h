#pragma once

#include "rattanroad_shards/jobs/ShardDispatcher.h"
#include "rattanroad_shards/store/PrefixWatcher.h"

#include <map>

namespace rattanroad::shards {

/** Reads the list of targets from the store while this host holds a shard or is among the next to acquire one, and
    passes each entry to the dispatcher of its shard.
*/
class TargetListFollower {
public:
    struct Settings {
        /** Key prefix of the target entries. */
        std::string prefix;
        /** Interval at which the host decides whether it has to follow the list. */
        std::chrono::milliseconds reviewInterval { 500 };
        /** Pause between requests while the host holds a shard. */
        Duration holderPause { 400 };
        /** Pause between requests while the host follows the list without holding a shard. */
        Duration idlePause { 3500 };
    };
    struct Hooks {
        /** Parses the entry of a target; returns nothing for an unusable one. */
        std::function<std::optional<TargetReport>(const std::string& id, const std::string& value)> parseTarget;
        /** Returns the dispatcher of a shard, held or not, or null when there is no such shard. */
        std::function<ShardDispatcher*(const ShardId&)> dispatcher;
        std::function<std::vector<ShardDispatcher*>()> allDispatchers;
        /** Returns whether this host holds a shard. */
        std::function<bool()> isHolding;
        /** Returns whether the list is needed, or nothing while that is not known. */
        std::function<std::optional<bool>()> isNeeded;
        /** A call to the store has failed. */
        std::function<void()> interrupted;
        /** Logs an event, with the id of the target that it concerns, or an empty one. */
        std::function<void(const char* event, const TargetId&)> log;
    };

    TargetListFollower(Settings settings, KeyValueStore& store, Timers timers, const Clock& clock, Hooks hooks);
    TargetListFollower(const TargetListFollower&) = delete;
    TargetListFollower& operator=(const TargetListFollower&) = delete;

    /** Starts to review whether the list is needed. */
    void start() { review(); }
    /** Brings the list up to date now; follows it from now on if it was not followed. */
    void refresh();
    /** Reads the whole list, and then tells the dispatcher of the shard. Called when the previous holder has stopped:
       by then it can have used targets that are new here. */
    void readFor(const ShardId& shard);

    int failures() const { return m_watcher.failures(); }
    /** Returns the age of the list. */
    std::chrono::milliseconds age() const;

private:
    PrefixWatcher::Hooks watcherHooks();
    void entryWritten(const StoredItem& item);
    void updated();
    /** Removes a target from the list of its shard, if it is in one. */
    void unlist(const TargetId& target);
    void review();
    void follow();
    TargetId targetOf(const std::string& key) const { return TargetId(key.substr(m_settings.prefix.size())); }

    Settings m_settings;
    Timers m_timers;
    const Clock& m_clock;
    Hooks m_hooks;
    PrefixWatcher m_watcher;
    std::map<TargetId, ShardId> m_shardByTarget;
    /** The list has not been read since this host follows it. */
    bool m_isNew { false };
};

}
