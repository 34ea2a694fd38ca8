#pragma once

#include "rattanroad_shards/store/KeyValueStore.h"
#include "rattanroad_shards/types/ShardTypes.h"

namespace rattanroad::shards {

/** The one lease of an entry host in the store. The keys of the host and of the shards that it holds end with it.

    Validity is judged by the own clock, counted from when a renewal was sent, so that it ends no later than in the
    store. The store may still revoke the lease earlier.
*/
class HostLease {
public:
    struct Settings {
        /** A host that is silent for this long is replaced; the store's shortest lease is 1 s. */
        std::chrono::milliseconds timeToLive { 1800 };
        /** Four renewals may be lost before the lease ends. */
        std::chrono::milliseconds renewalInterval { 400 };
        /** Pause after a refused or unanswered call. */
        std::chrono::milliseconds retryPause { 150 };
    };
    struct Hooks {
        /** A new lease was granted; keys of an earlier one are gone or will go. */
        std::function<void()> granted;
        /** The lease has ended, or can no longer be relied on. */
        std::function<void()> lost;
    };

    HostLease(Settings settings, KeyValueStore& store, Timers timers, const Clock& clock, Hooks hooks);
    HostLease(const HostLease&) = delete;
    HostLease& operator=(const HostLease&) = delete;

    void start() { grant(); }
    /** Returns whether the lease surely still holds, unless the store revoked it. */
    bool isValid() const { return m_lease.value() != 0 && m_clock.now() < m_validUntil; }
    StoreLeaseId lease() const { return m_lease; }
    /** Gives the lease up and asks for a new one, because one of its keys is gone. */
    void replace();

private:
    void grant();
    void renewLater(Duration pause);
    void renew();
    void checkExpiry();
    void lose();

    Settings m_settings;
    KeyValueStore& m_store;
    Timers m_timers;
    const Clock& m_clock;
    Hooks m_hooks;
    StoreLeaseId m_lease;
    TimePoint m_validUntil { distantPast };
    /** Rises with each grant, so that answers about an earlier lease are ignored. */
    std::uint64_t m_round { 0 };
};

}
