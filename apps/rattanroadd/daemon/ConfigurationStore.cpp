#include "daemon/ConfigurationStore.h"

namespace rattanroad::daemon {

namespace {
    StoreOutcome outcomeFrom(platform::StoreOutcome outcome)
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

    StoreRevision revisionFrom(platform::StoreRevision revision)
    {
        return StoreRevision(static_cast<std::int64_t>(revision.value()));
    }

    platform::StoreRevision revisionTo(StoreRevision revision)
    {
        return platform::StoreRevision(static_cast<std::uint64_t>(revision.value()));
    }

    StoreValue valueFrom(const platform::StoreEntry& entry) { return { entry.value, revisionFrom(entry.modRevision) }; }
}

ConfigurationStore::ConfigurationStore(platform::StoreClient& store)
    : m_store(store)
{
}

void ConfigurationStore::get(const StoreGet& request, GetAnswered answered)
{
    m_store.get(
        request.key, [id = request.requestId, answered = std::move(answered)](const platform::StoreReadResult& result) {
            StoreGetAnswer answer { id, outcomeFrom(result.outcome), std::nullopt, revisionFrom(result.revision) };
            if (!result.entries.empty())
                answer.value = valueFrom(result.entries.front());
            answered(answer);
        });
}

void ConfigurationStore::putIf(const StorePutIf& request, PutAnswered answered)
{
    platform::StoreTransaction transaction;
    transaction.conditions.push_back(
        { request.key, platform::StoreCondition::Revision::Modified, revisionTo(request.expectedModRevision) });
    for (const StorePut& put : request.puts) {
        const auto lease = put.lease ? static_cast<std::uint64_t>(put.lease->value()) : 0;
        transaction.writes.push_back({ put.key, put.value, platform::StoreLease(lease) });
    }
    m_store.write(transaction,
        [id = request.requestId, answered = std::move(answered)](const platform::StoreWriteResult& result) {
            answered({ id, outcomeFrom(result.outcome), revisionFrom(result.revision) });
        });
}

void ConfigurationStore::startWatch(const StoreWatch& request, const WatchReported& reported)
{
    const auto changed = [id = request.watchId, key = request.key, reported](const platform::StoreEvent& event) {
        // The client watches by prefix.
        if (event.entry.key != key)
            return;
        const auto kind = event.isDeleted ? StoreWatchEvent::Kind::Deleted : StoreWatchEvent::Kind::Put;
        reported({ id, kind, valueFrom(event.entry) });
    };
    const auto ended = [this, id = request.watchId, reported] {
        m_watches.erase(id);
        reported({ id, StoreWatchEvent::Kind::Closed, {} });
    };
    m_watches[request.watchId] = m_store.watch(request.key, revisionTo(request.fromRevision), changed, ended);
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
