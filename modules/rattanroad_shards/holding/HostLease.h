#pragma once

#include "rattanroad_shards/store/KeyValueStore.h"
#include "rattanroad_shards/types/ShardTypes.h"

#include <algorithm>

namespace rattanroad::shards {

/** A host's single lease in the store. The host's key and the keys of the shards that it holds are attached to it and
    are removed when it ends.

    Expiry is computed by the local clock from the time that a renewal was sent, so the lease never ends later here than
    in the store. The store may revoke it earlier.
*/
class HostLease {
public:
    struct Settings {
        /** A host that is silent for this long loses its shards. The store's shortest lease is 1 s. */
        std::chrono::milliseconds timeToLive { 1800 };
        /** Short enough that four renewals in a row may be lost before the lease ends. */
        std::chrono::milliseconds renewalInterval { 400 };
        /** Delay after a refused or unanswered call. */
        std::chrono::milliseconds retryPause { 150 };
    };
    struct Hooks {
        /** A new lease was granted. The keys of an earlier one are removed or will be. */
        std::function<void()> granted;
        /** The lease has ended or was given up. */
        std::function<void()> lost;
    };

    HostLease(Settings settings, KeyValueStore& store, Timers timers, const Clock& clock, Hooks hooks);
    HostLease(const HostLease&) = delete;
    HostLease& operator=(const HostLease&) = delete;

    void start() { grant(); }
    /** Returns whether the lease has not expired. The store may have revoked it all the same. */
    bool isValid() const { return m_lease.value() != 0 && m_clock.now() < m_validUntil; }
    StoreLeaseId lease() const { return m_lease; }
    /** Returns when the latest lease expired or was given up, or the current time if it is valid. After a pause of this
        process that is earlier than the time at which the end was noticed. */
    TimePoint endedAt() const { return m_lease.value() == 0 ? m_endedAt : std::min(m_clock.now(), m_validUntil); }
    /** Gives the lease up and requests a new one. Used when one of its keys is gone or in doubt. */
    void replace();

private:
    void grant();
    void renewLater(Duration pause);
    void renew();
    void checkExpiry();
    void dropAndGrant();

    Settings m_settings;
    KeyValueStore& m_store;
    Timers m_timers;
    const Clock& m_clock;
    Hooks m_hooks;
    StoreLeaseId m_lease;
    TimePoint m_validUntil { distantPast };
    TimePoint m_endedAt { distantPast };
    /** Rises with each grant, so that replies about an earlier lease are ignored. */
    std::uint64_t m_grantEpoch { 0 };
};

}
