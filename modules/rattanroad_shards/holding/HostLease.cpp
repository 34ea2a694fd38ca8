#include "rattanroad_shards/holding/HostLease.h"

namespace rattanroad::shards {

HostLease::HostLease(Settings settings, KeyValueStore& store, Timers timers, const Clock& clock, Hooks hooks)
    : m_settings(settings)
    , m_store(store)
    , m_timers(std::move(timers))
    , m_clock(clock)
    , m_hooks(std::move(hooks))
{
}

void HostLease::replace()
{
    if (m_lease.value() == 0)
        return;
    dropAndGrant();
}

void HostLease::grant()
{
    const std::uint64_t epoch = ++m_grantEpoch;
    const TimePoint sentAt = m_clock.now();
    m_store.grantLease(m_settings.timeToLive, [this, epoch, sentAt](const LeaseReply& reply) {
        if (epoch != m_grantEpoch)
            return;
        if (reply.status != StoreStatus::Done) {
            m_timers.after(m_settings.retryPause, [this, epoch] {
                if (epoch == m_grantEpoch)
                    grant();
            });
            return;
        }
        m_lease = reply.lease;
        m_validUntil = sentAt + reply.timeToLive;
        renewLater(m_settings.renewalInterval);
        checkExpiry();
        m_hooks.granted();
    });
}

void HostLease::renewLater(Duration pause)
{
    m_timers.after(pause, [this, epoch = m_grantEpoch] {
        if (epoch == m_grantEpoch)
            renew();
    });
}

void HostLease::renew()
{
    const TimePoint sentAt = m_clock.now();
    m_store.renewLease(m_lease, [this, epoch = m_grantEpoch, sentAt](const LeaseReply& reply) {
        if (epoch != m_grantEpoch)
            return;
        if (reply.status == StoreStatus::Absent) {
            dropAndGrant();
            return;
        }
        if (reply.status == StoreStatus::Done)
            m_validUntil = sentAt + reply.timeToLive;
        renewLater(reply.status == StoreStatus::Done ? m_settings.renewalInterval : m_settings.retryPause);
    });
}

void HostLease::checkExpiry()
{
    m_timers.after(m_validUntil - m_clock.now(), [this, epoch = m_grantEpoch] {
        if (epoch != m_grantEpoch)
            return;
        if (m_clock.now() < m_validUntil)
            checkExpiry();
        else
            dropAndGrant();
    });
}

void HostLease::dropAndGrant()
{
    m_endedAt = endedAt();
    m_lease = StoreLeaseId(0);
    m_validUntil = distantPast;
    grant();
    m_hooks.lost();
}

}
