#pragma once

#include "rattanroad_shards/store/KeyValueStore.h"
#include "rattanroad_shards/types/ShardTypes.h"

#include <optional>

namespace rattanroad::shards {

/** Raises the fencing token of a held shard: writes the shard's key again, unchanged, so that its revision rises.
   Targets that have seen the new token refuse the calls that were sent under the earlier one.

    Requests within a short time are met by one write, and writes have a minimum interval, because the store limits
   them. A write without a reply may have raised the token; the key is then read.
*/
class TokenRaise {
public:
    struct Settings {
        std::string key;
        /** Delay of a write, so that targets that restart together cause one. */
        std::chrono::milliseconds coalescingTime { 20 };
        /** Minimum time between two writes: with 7 shards at most 28 writes/s of the 400 that the store admits. */
        std::chrono::milliseconds interval { 250 };
        /** Time within which an unanswered write may still be executed. */
        std::chrono::seconds lateWindow { 15 };
    };
    /** The shard's key as this host wrote it last. */
    struct HolderKey {
        FencingToken token;
        StoreLeaseId lease;
        std::string value;
    };
    struct Hooks {
        /** Returns the key of the present holding; nothing while the shard is not held under a lease. */
        std::function<std::optional<HolderKey>()> key;
        /** The key has this higher token. */
        std::function<void(FencingToken)> raised;
        /** The key is gone or another host's. */
        std::function<void()> keyLost;
    };

    TokenRaise(Settings settings, KeyValueStore& store, Timers timers, const Clock& clock, Hooks hooks);
    TokenRaise(const TokenRaise&) = delete;
    TokenRaise& operator=(const TokenRaise&) = delete;

    /** Raises the token soon. */
    void request();
    bool isWriting() const { return m_isWriting; }
    /** Returns whether the key may have been written by this host with a revision that it does not know. */
    bool mayHaveRaised() const { return m_isWriting || m_clock.now() < m_uncertainUntil; }
    /** Reads the key to learn whether this host has written it. */
    void resolve();

private:
    /** Writes the key unless its token is higher than @p token by now. */
    void write(FencingToken token);
    void processWriteReply(const TransactionReply& reply);
    void processKey(const ReadReply& reply);

    Settings m_settings;
    KeyValueStore& m_store;
    Timers m_timers;
    const Clock& m_clock;
    Hooks m_hooks;
    bool m_isScheduled { false };
    bool m_isWriting { false };
    bool m_isReading { false };
    TimePoint m_lastWriteAt { distantPast };
    /** A write without a reply may be executed until then. */
    TimePoint m_uncertainUntil { distantPast };
};

}
