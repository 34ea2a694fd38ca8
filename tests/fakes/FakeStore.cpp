#include "fakes/FakeStore.h"

namespace rattanroad {

namespace {
    // "Answers in milliseconds" (section 1.4 of the design page).
    constexpr Duration storeLatency = std::chrono::milliseconds(4);
    constexpr Duration clientTimeout = std::chrono::seconds(1);
}

FakeStore::FakeStore(EventQueue& queue, RandomSource& random)
    : m_queue(queue)
    , m_random(random)
{
}

Duration FakeStore::delay() const { return storeLatency + m_faults.slowness; }

bool FakeStore::isReplyLost() { return m_faults.lostReplies > 0 && m_random.uniform() < m_faults.lostReplies; }

void FakeStore::changeView(const ViewChange& change, const std::function<void(const ViewChangeResult&)>& callback)
{
    m_calls++;
    const ViewChangeResult unavailable { change.segment, ViewChangeResult::Kind::Unavailable, {} };
    if (m_faults.isDown) {
        m_queue.after(clientTimeout, [unavailable, callback] { callback(unavailable); });
        return;
    }
    m_queue.after(delay(), [this, change, unavailable, callback] {
        if (m_faults.isDown) {
            m_queue.after(clientTimeout, [unavailable, callback] { callback(unavailable); });
            return;
        }
        const ViewChangeResult result = execute(change);
        if (isReplyLost())
            m_queue.after(clientTimeout, [unavailable, callback] { callback(unavailable); });
        else
            m_queue.after(storeLatency, [result, callback] { callback(result); });
    });
}

ViewChangeResult FakeStore::execute(const ViewChange& change)
{
    const auto found = m_views.find(change.segment);
    const Epoch current = found == m_views.end() ? Epoch(0) : found->second.epoch;
    if (current != change.expectedEpoch)
        return { change.segment, ViewChangeResult::Kind::Lost,
            found == m_views.end() ? SegmentView {} : found->second };
    m_views[change.segment] = change.next;
    return { change.segment, ViewChangeResult::Kind::Won, change.next };
}

// Registrations are kept for the whole run, as runs are shorter than the retention time of keys.
void FakeStore::registerKeyHome(
    const HostId& host, Incarnation incarnation, const std::function<void(std::optional<bool>)>& callback)
{
    m_calls++;
    m_queue.after(delay(), [this, host, incarnation, callback] {
        if (m_faults.isDown)
            return callback(std::nullopt);
        const auto [entry, isNew] = m_keyHomes.try_emplace(host, incarnation);
        const bool hadPredecessor = !isNew && entry->second != incarnation;
        callback(isReplyLost() ? std::nullopt : std::optional<bool>(hadPredecessor));
    });
}

void FakeStore::writeConfiguration(const ConfigurationValue& value, const std::function<void(WriteResult)>& callback)
{
    m_calls++;
    m_queue.after(delay(), [this, value, callback] {
        if (m_faults.isDown)
            return callback(WriteResult::Unavailable);
        const std::uint64_t current = m_configurations.empty() ? 0 : m_configurations.back().second.revision.value();
        if (value.revision.value() != current + 1)
            return callback(WriteResult::Conflict);
        m_configurations.emplace_back(m_queue.now(), value);
        if (accepted)
            accepted(value);
        callback(isReplyLost() ? WriteResult::Unavailable : WriteResult::Accepted);
    });
}

std::optional<ConfigurationValue> FakeStore::readConfiguration() const
{
    if (m_faults.isDown)
        return std::nullopt;
    for (auto entry = m_configurations.rbegin(); entry != m_configurations.rend(); ++entry) {
        if (entry->first + m_faults.staleness <= m_queue.now() || std::next(entry) == m_configurations.rend())
            return entry->second;
    }
    return std::nullopt;
}

}
