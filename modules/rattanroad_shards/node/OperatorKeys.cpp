#include "rattanroad_shards/node/OperatorKeys.h"

#include <algorithm>

namespace rattanroad::shards {

OperatorKeys::OperatorKeys(Settings settings, KeyValueStore& store, Timers timers, const Clock& clock, Hooks hooks)
    : m_settings(std::move(settings))
    , m_clock(clock)
    , m_hooks(std::move(hooks))
    , m_evacuations(m_settings.evacuations, clock)
    , m_watcher({ m_settings.evacuationPrefix.empty() ? m_settings.configurationKey : m_settings.prefix }, store,
          std::move(timers), clock, watcherHooks())
{
}

PrefixWatcher::Hooks OperatorKeys::watcherHooks()
{
    PrefixWatcher::Hooks hooks;
    hooks.written = [this](const StoredItem& item) {
        if (item.key == m_settings.configurationKey)
            configurationWritten(item);
        else if (evacuationName(item.key))
            evacuationWritten(item);
    };
    hooks.removed = [this](const std::string& key) { evacuationRemoved(key); };
    hooks.interrupted = m_hooks.interrupted;
    hooks.readUntil = [this](TimePoint time) { m_evacuations.readUntil(time); };
    return hooks;
}

void OperatorKeys::configurationWritten(const StoredItem& item)
{
    auto queues = m_hooks.parseConfiguration(item.value);
    if (!queues || (m_queues && queues->version <= m_queues->version)) {
        m_hooks.log("configuration_ignored", { { "revision", std::to_string(item.revision.value()) } });
        return;
    }
    m_queues = std::move(queues);
    m_hooks.log("configuration_in_force",
        { { "version", std::to_string(m_queues->version) }, { "queues", std::to_string(m_queues->entries.size()) } });
}

std::optional<std::string> OperatorKeys::evacuationName(const std::string& key) const
{
    const std::string& prefix = m_settings.evacuationPrefix;
    if (prefix.empty() || key.compare(0, prefix.size(), prefix) != 0)
        return std::nullopt;
    return key.substr(prefix.size());
}

void OperatorKeys::evacuationWritten(const StoredItem& item)
{
    const auto domain = m_hooks.parseEvacuation(*evacuationName(item.key), item.value);
    const auto& known = m_settings.failureDomains;
    if (!domain || std::find(known.begin(), known.end(), *domain) == known.end()) {
        m_hooks.log("evacuation_ignored",
            { { "key", item.key }, { "revision", std::to_string(item.revision.value()) },
                { "reason", domain ? "no such failure domain" : "malformed" } });
        return;
    }
    const auto contactAge = m_evacuations.contactAge();
    if (!m_evacuations.written(*domain))
        return;
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
        m_evacuations.find(*domain)->startsUntil - m_clock.now());
    logEvacuation("evacuation_learned", *domain,
        "from the store at revision " + std::to_string(item.revision.value()) + ", at most "
            + std::to_string(contactAge.count()) + " ms old, starts for "
            + std::to_string(std::max<std::int64_t>(0, remaining.count())) + " ms more");
    m_hooks.evacuationChanged(*domain);
}

void OperatorKeys::evacuationRemoved(const std::string& key)
{
    const auto name = evacuationName(key);
    const FailureDomainId domain(name.value_or(""));
    if (!name || !m_evacuations.removed(domain))
        return;
    logEvacuation("evacuation_ended", domain, "its key was removed");
    m_hooks.evacuationChanged(domain);
}

void OperatorKeys::evacuationReported(const FailureDomainId& domain)
{
    if (!m_evacuations.reportedByPeer(domain))
        return;
    logEvacuation("evacuation_learned", domain,
        "from another host, the operator's keys were read " + std::to_string(m_evacuations.contactAge().count())
            + " ms ago");
    m_hooks.evacuationChanged(domain);
}

void OperatorKeys::removeOutdatedReports()
{
    for (const FailureDomainId& domain : m_evacuations.removeOutdatedReports()) {
        logEvacuation("evacuation_ended", domain, "other hosts no longer report it");
        m_hooks.evacuationChanged(domain);
    }
}

void OperatorKeys::logEvacuation(const char* event, const FailureDomainId& domain, const std::string& detail)
{
    m_hooks.log(event, { { "failure_domain", domain.value() }, { "detail", detail } });
}

}
