#pragma once

#include "rattanroad_shards/store/KeyValueStore.h"
#include "rattanroad_shards/types/ShardTypes.h"

#include <map>
#include <optional>

namespace rattanroad::shards {

/** Transfers stored jobs that have no run from one shard to others: rewrites the record of a job, so that it names the
    other shard, and then notifies the holder of that shard until it acknowledges. Addresses accepted jobs that no
    target of their shard can run any more.

    The write is conditional on the shard's key and on the known revision of the record, so that at most one of its
    repetitions is executed, and none once another host holds the shard.
*/
class JobTransfers {
public:
    struct Settings {
        ShardId shard;
        std::string shardKey;
        /** Pause after a write that was refused or not answered. */
        std::chrono::milliseconds retryPause { 150 };
        /** Interval of the notices. The holder answers after one read of the store. */
        std::chrono::milliseconds noticeInterval { 300 };
        /** Largest number of transfers at a time, to keep within the rate limits of the store. */
        std::size_t maximumActive { 50 };
    };
    struct Hooks {
        /** Notifies the holder of a shard; the message may get lost. */
        std::function<void(const JobId&, const ShardId& to)> notify;
        /** The record names the other shard. */
        std::function<void(const JobId&, const ShardId& to)> moved;
        /** The record was changed by an earlier write; the job stays. */
        std::function<void(const JobId&, KeyRevision)> kept;
        /** The shard's key has changed. */
        std::function<void()> keyChanged;
    };

    JobTransfers(Settings settings, KeyValueStore& store, Timers timers, Hooks hooks);
    JobTransfers(const JobTransfers&) = delete;
    JobTransfers& operator=(const JobTransfers&) = delete;

    /** Starts to write under @p token. The transfers of an earlier holding go on if this one continues it. Otherwise
        they are forgotten, and those whose record was written are found in the store. */
    void begin(FencingToken token, bool isContinued);
    /** Uses a higher token of the same holding from now on. */
    void raiseToken(FencingToken token) { m_token = token; }
    /** Writes and notifies no more until the next begin(). */
    void end();
    bool canStart() const { return m_token && m_transfers.size() < m_settings.maximumActive; }
    /** Writes a record that names another shard in place of the one with this revision. */
    void start(const JobId& job, const ShardId& to, const std::string& record, KeyRevision revision);
    /** A record that names another shard was found: its holder may not know. */
    void notifyAgain(const JobId& job, const ShardId& to);
    /** The holder of the other shard has the job. */
    void acknowledged(const JobId& job, const ShardId& to);

private:
    struct Transfer {
        ShardId to;
        std::string record;
        KeyRevision revision;
        bool isWritten { false };
    };
    Transfer* find(const JobId& job);
    void write(const JobId& job);
    void handleReply(const JobId& job, const TransactionReply& reply);
    /** Returns whether the stored record is the one that this transfer writes. */
    bool isMoved(const StoredItem& item, const ShardId& to) const;
    void written(const JobId& job);
    void notify(const JobId& job);
    void after(Duration delay, std::function<void()> action);

    Settings m_settings;
    KeyValueStore& m_store;
    Timers m_timers;
    Hooks m_hooks;
    std::optional<FencingToken> m_token;
    std::map<JobId, Transfer> m_transfers;
    /** Rises with each end(), so that replies and timers of earlier holdings are ignored. */
    std::uint64_t m_epoch { 0 };
};

}
