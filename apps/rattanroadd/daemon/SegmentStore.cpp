#include "daemon/SegmentStore.h"

#include "rattanroad_core/json/BoundedJson.h"

#include <nlohmann/json.hpp>

using nlohmann::json;

namespace rattanroad::daemon {

namespace {
    /** A record must live for at least 1 h. A lease of 2 h is reused for all records of its first hour, which saves
       calls to the store.
    */
    constexpr std::chrono::hours leaseTtl { 2 };
    constexpr std::chrono::hours leaseReuseTime { 1 };

    std::string recordKey(const SegmentKey& segment) { return "/rattanroad/segments/" + segment.text(); }

    std::string encodeRecord(const SegmentView& view, const std::string& writer)
    {
        json members = json::array();
        for (const HostId& member : view.members)
            members.push_back(member.value());
        return json {
            { "epoch", view.epoch.value() }, { "owner", view.owner.value() }, { "members", std::move(members) },
            { "writer", writer }
        }.dump();
    }

    std::optional<SegmentView> parseRecord(const std::string& value)
    {
        const json parsed = parseBoundedJson(value);
        if (!parsed.is_object())
            return std::nullopt;
        try {
            SegmentView view { Epoch(parsed.value("epoch", 0U)), HostId(parsed.value("owner", "")), {} };
            for (const std::string& member : parsed.value("members", std::vector<std::string> {}))
                view.members.emplace_back(member);
            return view;
        } catch (const json::type_error&) {
            return std::nullopt;
        }
    }
}

SegmentStore::SegmentStore(platform::StoreClient& store, Clock& clock, std::string writer, ResultCallback callback)
    : m_store(store)
    , m_clock(clock)
    , m_writer(std::move(writer))
    , m_callback(std::move(callback))
{
}

void SegmentStore::change(const ViewChange& change)
{
    withLease([this, change](platform::StoreLease lease) {
        if (lease.value() == 0)
            report(change, ViewChangeResult::Kind::Unavailable, {});
        else if (change.expectedEpoch.value() == 0)
            write(change, platform::StoreRevision(0), lease);
        else
            readAndWrite(change, lease);
    });
}

void SegmentStore::withLease(const LeaseCallback& next)
{
    if (m_lease.value() != 0 && m_clock.now() - m_leaseGrantedAt < leaseReuseTime) {
        next(m_lease);
        return;
    }
    // The age counts from before the call: the store starts the lease when it handles the call, which is later.
    const TimePoint requestedAt = m_clock.now();
    m_store.grantLease(leaseTtl, [this, requestedAt, next](const platform::StoreLeaseResult& result) {
        if (result.outcome == platform::StoreOutcome::Done) {
            m_lease = result.lease;
            m_leaseGrantedAt = requestedAt;
        }
        next(result.outcome == platform::StoreOutcome::Done ? result.lease : platform::StoreLease());
    });
}

void SegmentStore::readAndWrite(const ViewChange& change, platform::StoreLease lease)
{
    m_store.get(recordKey(change.segment), [this, change, lease](const platform::StoreReadResult& result) {
        // An expired record is not created again, so that an owner with a stale view cannot reclaim the segment.
        if (result.outcome != platform::StoreOutcome::Done || result.entries.empty())
            report(change, ViewChangeResult::Kind::Unavailable, {});
        else if (!reportIfDecided(change, result.entries.front()))
            write(change, result.entries.front().modRevision, lease);
    });
}

void SegmentStore::write(const ViewChange& change, platform::StoreRevision expected, platform::StoreLease lease)
{
    const std::string key = recordKey(change.segment);
    platform::StoreTransaction transaction;
    transaction.conditions.push_back({ key, platform::StoreCondition::Revision::Modified, expected });
    transaction.writes.push_back({ key, encodeRecord(change.next, m_writer), lease });
    transaction.readOnFailure = key;
    m_store.write(transaction, [this, change](const platform::StoreWriteResult& result) {
        if (result.outcome == platform::StoreOutcome::Done)
            report(change, ViewChangeResult::Kind::Won, change.next);
        else if (result.outcome == platform::StoreOutcome::MaybeApplied)
            readBack(change);
        else if (result.outcome == platform::StoreOutcome::NotSent || !reportIfDecided(change, result.current))
            report(change, ViewChangeResult::Kind::Unavailable, {});
    });
}

void SegmentStore::readBack(const ViewChange& change)
{
    m_store.get(recordKey(change.segment), [this, change](const platform::StoreReadResult& result) {
        std::optional<platform::StoreEntry> current;
        if (result.outcome == platform::StoreOutcome::Done && !result.entries.empty())
            current = result.entries.front();
        // The write may still reach the store, so an unchanged record leaves the outcome unknown.
        if (!reportIfDecided(change, current))
            report(change, ViewChangeResult::Kind::Unavailable, {});
    });
}

bool SegmentStore::reportIfDecided(const ViewChange& change, const std::optional<platform::StoreEntry>& current)
{
    if (!current)
        return false;
    const auto view = parseRecord(current->value);
    if (!view || view->epoch < change.next.epoch)
        return false;
    const bool isOwn = current->value == encodeRecord(change.next, m_writer);
    report(change, isOwn ? ViewChangeResult::Kind::Won : ViewChangeResult::Kind::Lost, *view);
    return true;
}

void SegmentStore::report(const ViewChange& change, ViewChangeResult::Kind kind, const SegmentView& current)
{
    m_callback({ change.segment, kind, current });
}

}
