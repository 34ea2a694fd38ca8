#pragma once

#include "rattanroad_shards/entrance/QueueTable.h"
#include "rattanroad_shards/evacuation/EvacuationTable.h"
#include "rattanroad_shards/store/PrefixWatcher.h"

#include <optional>

namespace rattanroad::shards {

/** Follows the keys that the operator writes to the store, the configuration and the evacuations, with one watch. */
class OperatorKeys {
public:
    struct Settings {
        /** Prefix of all keys of the operator. */
        std::string prefix;
        /** Key of the configuration. */
        std::string configurationKey;
        /** Prefix of the keys of evacuations; empty if there are none. */
        std::string evacuationPrefix;
        std::vector<FailureDomainId> failureDomains;
        EvacuationTable::Settings evacuations;
    };
    using LogFields = std::vector<std::pair<const char*, std::string>>;
    struct Hooks {
        /** Parses the configuration; returns nothing for an invalid one. */
        std::function<std::optional<QueueTable>(const std::string& value)> parseConfiguration;
        /** Parses the key of an evacuation without its prefix, and its value; returns nothing for an invalid one. */
        std::function<std::optional<FailureDomainId>(const std::string& name, const std::string& value)>
            parseEvacuation;
        /** A failure domain is evacuated, or is so no longer. */
        std::function<void(const FailureDomainId&)> evacuationChanged;
        /** A call to the store failed. */
        std::function<void()> interrupted;
        std::function<void(const char* event, const LogFields&)> log;
    };

    OperatorKeys(Settings settings, KeyValueStore& store, Timers timers, const Clock& clock, Hooks hooks);
    OperatorKeys(const OperatorKeys&) = delete;
    OperatorKeys& operator=(const OperatorKeys&) = delete;

    void start() { m_watcher.start(); }
    /** Returns the queues in force, or null before the first configuration. */
    const QueueTable* queues() const { return m_queues ? &*m_queues : nullptr; }
    const EvacuationTable& evacuations() const { return m_evacuations; }
    /** Another host holds a failure domain for evacuated. */
    void evacuationReported(const FailureDomainId& domain);
    /** Ends the reports of other hosts that were not repeated. */
    void removeOutdatedReports();

private:
    PrefixWatcher::Hooks watcherHooks();
    void configurationWritten(const StoredItem& item);
    void evacuationWritten(const StoredItem& item);
    void evacuationRemoved(const std::string& key);
    /** Returns the part of a key that names the evacuated failure domain, or nothing for another key. */
    std::optional<std::string> evacuationName(const std::string& key) const;
    void logEvacuation(const char* event, const FailureDomainId& domain, const std::string& detail);

    Settings m_settings;
    const Clock& m_clock;
    Hooks m_hooks;
    EvacuationTable m_evacuations;
    std::optional<QueueTable> m_queues;
    PrefixWatcher m_watcher;
};

}
