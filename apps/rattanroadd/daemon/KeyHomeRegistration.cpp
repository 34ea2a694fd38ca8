#include "daemon/KeyHomeRegistration.h"

namespace rattanroad::daemon {

KeyHomeRegistration::KeyHomeRegistration(
    platform::StoreClient& store, const HostId& host, Incarnation incarnation, RegisteredCallback registered)
    : m_store(store)
    , m_key("/rattanroad/key-homes/" + host.value())
    , m_value(std::to_string(incarnation.value()))
    , m_registered(std::move(registered))
{
}

void KeyHomeRegistration::start()
{
    if (m_isInFlight)
        return;
    m_isInFlight = true;
    m_store.get(m_key, [this](const platform::StoreReadResult& result) {
        m_isInFlight = false;
        if (result.outcome != platform::StoreOutcome::Done)
            return;
        // The key holds the own value when the reply to an earlier write was lost. The read before that write has
        // already shown whether there was a predecessor.
        if (!result.entries.empty() && result.entries.front().value == m_value) {
            m_registered(m_hadPredecessor);
            return;
        }
        if (!result.entries.empty())
            m_hadPredecessor = true;
        write(result.entries.empty() ? platform::StoreRevision(0) : result.entries.front().modRevision);
    });
}

void KeyHomeRegistration::write(platform::StoreRevision expected)
{
    platform::StoreTransaction transaction;
    transaction.conditions.push_back({ m_key, platform::StoreCondition::Revision::Modified, expected });
    transaction.writes.push_back({ m_key, m_value, platform::StoreLease() });
    m_isInFlight = true;
    m_store.write(transaction, [this](const platform::StoreWriteResult& result) {
        m_isInFlight = false;
        if (result.outcome == platform::StoreOutcome::Done)
            m_registered(m_hadPredecessor);
    });
}

}
