#include "daemon/KeyHomeRegistration.h"

namespace rattanroad::daemon {

KeyHomeRegistration::KeyHomeRegistration(
    platform::StoreClient& store, const HostId& host, Incarnation incarnation, Registered registered)
    : m_store(store)
    , m_key("/rattanroad/key-homes/" + host.value())
    , m_value(std::to_string(incarnation.value()))
    , m_registered(std::move(registered))
{
}

void KeyHomeRegistration::start()
{
    if (m_isActive)
        return;
    m_isActive = true;
    m_store.get(m_key, [this](const platform::StoreReadResult& result) {
        m_isActive = false;
        if (result.outcome != platform::StoreOutcome::Done)
            return;
        // The own value is there when the reply to an earlier write was lost; the predecessor was seen before it.
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
    m_isActive = true;
    m_store.write(transaction, [this](const platform::StoreWriteResult& result) {
        m_isActive = false;
        if (result.outcome == platform::StoreOutcome::Done)
            m_registered(m_hadPredecessor);
    });
}

}
