#include "daemon/ConfigurationStore.h"

namespace rattanroad::daemon {

namespace {
    StoreOutcome toConfigurationOutcome(platform::StoreOutcome outcome)
    {
        switch (outcome) {
        case platform::StoreOutcome::Done:
            return StoreOutcome::Succeeded;
        case platform::StoreOutcome::ConditionFailed:
            return StoreOutcome::ComparisonFailed;
        case platform::StoreOutcome::NotSent:
        case platform::StoreOutcome::MaybeApplied:
            return StoreOutcome::UnavailableMaybeApplied;
        }
        return StoreOutcome::UnavailableMaybeApplied;
    }

    StoreRevision toConfigurationRevision(platform::StoreRevision revision)
    {
        return StoreRevision(static_cast<std::int64_t>(revision.value()));
    }

    platform::StoreRevision toClientRevision(StoreRevision revision)
    {
        return platform::StoreRevision(static_cast<std::uint64_t>(revision.value()));
    }

    StoreValue toConfigurationValue(const platform::StoreEntry& entry)
    {
        return { entry.value, toConfigurationRevision(entry.modRevision) };
    }
}

ConfigurationStore::ConfigurationStore(platform::StoreClient& store)
    : m_store(store)
{
}

void ConfigurationStore::get(const StoreGet& request, GetCallback callback)
{
    m_store.get(
        request.key, [id = request.requestId, callback = std::move(callback)](const platform::StoreReadResult& result) {
            StoreGetAnswer answer { id, toConfigurationOutcome(result.outcome), std::nullopt,
                toConfigurationRevision(result.revision) };
            if (!result.entries.empty())
                answer.value = toConfigurationValue(result.entries.front());
            callback(answer);
        });
}

void ConfigurationStore::putIf(const StorePutIf& request, PutCallback callback)
{
    platform::StoreTransaction transaction;
    transaction.conditions.push_back(
        { request.key, platform::StoreCondition::Revision::Modified, toClientRevision(request.expectedModRevision) });
    for (const StorePut& put : request.puts) {
        const auto lease = put.lease ? static_cast<std::uint64_t>(put.lease->value()) : 0;
        transaction.writes.push_back({ put.key, put.value, platform::StoreLease(lease) });
    }
    m_store.write(transaction,
        [id = request.requestId, callback = std::move(callback)](const platform::StoreWriteResult& result) {
            callback({ id, toConfigurationOutcome(result.outcome), toConfigurationRevision(result.revision) });
        });
}

void ConfigurationStore::startWatch(const StoreWatch& request, const WatchCallback& callback)
{
    const auto changed = [id = request.watchId, key = request.key, callback](const platform::StoreEvent& event) {
        // The client watches a prefix, so longer keys are reported as well.
        if (event.entry.key != key)
            return;
        const auto kind = event.isDeleted ? StoreWatchEvent::Kind::Deleted : StoreWatchEvent::Kind::Put;
        callback({ id, kind, toConfigurationValue(event.entry) });
    };
    const auto ended = [this, id = request.watchId, callback] {
        m_watches.erase(id);
        callback({ id, StoreWatchEvent::Kind::Closed, {} });
    };
    m_watches[request.watchId] = m_store.watch(request.key, toClientRevision(request.fromRevision), changed, ended);
}

void ConfigurationStore::stopWatch(StoreWatchId watch)
{
    const auto found = m_watches.find(watch);
    if (found == m_watches.end())
        return;
    m_store.cancelWatch(found->second);
    m_watches.erase(found);
}

}
