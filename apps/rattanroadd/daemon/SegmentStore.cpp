#include "daemon/SegmentStore.h"

#include <nlohmann/json.hpp>

using nlohmann::json;

namespace rattanroad::daemon {

namespace {
    /** A record must live 1 h. One lease serves all records of an hour, as each call to the store counts. */
    constexpr std::chrono::hours leaseTtl { 2 };
    constexpr std::chrono::hours leaseReuse { 1 };

    std::string keyOf(const SegmentKey& segment) { return "/rattanroad/segments/" + segment.text(); }

    std::string valueOf(const SegmentView& view, const std::string& writer)
    {
        json members = json::array();
        for (const HostId& member : view.members)
            members.push_back(member.value());
        return json {
            { "epoch", view.epoch.value() }, { "owner", view.owner.value() }, { "members", std::move(members) },
            { "writer", writer }
        }.dump();
    }

    std::optional<SegmentView> parseView(const std::string& value)
    {
        const json parsed = json::parse(value, nullptr, false);
        if (!parsed.is_object())
            return std::nullopt;
        SegmentView view { Epoch(parsed.value("epoch", 0U)), HostId(parsed.value("owner", "")), {} };
        for (const std::string& member : parsed.value("members", std::vector<std::string> {}))
            view.members.emplace_back(member);
        return view;
    }
}

SegmentStore::SegmentStore(platform::StoreClient& store, Clock& clock, std::string writer, ResultCallback ended)
    : m_store(store)
    , m_clock(clock)
    , m_writer(std::move(writer))
    , m_ended(std::move(ended))
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
    if (m_lease.value() != 0 && m_clock.now() - m_leaseGrantedAt < leaseReuse) {
        next(m_lease);
        return;
    }
    // Counted from before the call, as the store's clock starts when it handles the call.
    const TimePoint asked = m_clock.now();
    m_store.grantLease(leaseTtl, [this, asked, next](const platform::StoreLeaseResult& result) {
        if (result.outcome == platform::StoreOutcome::Done) {
            m_lease = result.lease;
            m_leaseGrantedAt = asked;
        }
        next(result.outcome == platform::StoreOutcome::Done ? result.lease : platform::StoreLease());
    });
}

void SegmentStore::readAndWrite(const ViewChange& change, platform::StoreLease lease)
{
    m_store.get(keyOf(change.segment), [this, change, lease](const platform::StoreReadResult& result) {
        // An expired record is not created again: an owner with an old view must not come back after it.
        if (result.outcome != platform::StoreOutcome::Done || result.entries.empty())
            report(change, ViewChangeResult::Kind::Unavailable, {});
        else if (!decide(change, result.entries.front()))
            write(change, result.entries.front().modRevision, lease);
    });
}

void SegmentStore::write(const ViewChange& change, platform::StoreRevision expected, platform::StoreLease lease)
{
    const std::string key = keyOf(change.segment);
    platform::StoreTransaction transaction;
    transaction.conditions.push_back({ key, platform::StoreCondition::Revision::Modified, expected });
    transaction.writes.push_back({ key, valueOf(change.next, m_writer), lease });
    transaction.readOnFailure = key;
    m_store.write(transaction, [this, change](const platform::StoreWriteResult& result) {
        if (result.outcome == platform::StoreOutcome::Done)
            report(change, ViewChangeResult::Kind::Won, change.next);
        else if (result.outcome == platform::StoreOutcome::MaybeApplied)
            readBack(change);
        else if (result.outcome == platform::StoreOutcome::NotSent || !decide(change, result.current))
            report(change, ViewChangeResult::Kind::Unavailable, {});
    });
}

void SegmentStore::readBack(const ViewChange& change)
{
    m_store.get(keyOf(change.segment), [this, change](const platform::StoreReadResult& result) {
        std::optional<platform::StoreEntry> current;
        if (result.outcome == platform::StoreOutcome::Done && !result.entries.empty())
            current = result.entries.front();
        // The write may still arrive at the store, so that anything but a new record leaves the outcome open.
        if (!decide(change, current))
            report(change, ViewChangeResult::Kind::Unavailable, {});
    });
}

bool SegmentStore::decide(const ViewChange& change, const std::optional<platform::StoreEntry>& current)
{
    if (!current)
        return false;
    const auto view = parseView(current->value);
    if (!view || view->epoch < change.next.epoch)
        return false;
    const bool isOwn = current->value == valueOf(change.next, m_writer);
    report(change, isOwn ? ViewChangeResult::Kind::Won : ViewChangeResult::Kind::Lost, *view);
    return true;
}

void SegmentStore::report(const ViewChange& change, ViewChangeResult::Kind kind, const SegmentView& current)
{
    m_ended({ change.segment, kind, current });
}

}
