#pragma once

#include "rattanroad_shards/entrance/JobEntrance.h"
#include "rattanroad_shards/entrance/QueueTable.h"
#include "rattanroad_shards/holding/ShardElection.h"
#include "rattanroad_shards/jobs/ShardDispatcher.h"
#include "rattanroad_shards/store/PrefixWatcher.h"

#include <memory>
#include <optional>

namespace rattanroad::shards {

/** All decisions of one entry host: follows the store, takes part in the elections of the shards, holds shards and
    takes in jobs. Sees calls and messages, no sockets.
*/
class ShardNode {
public:
    struct Settings {
        HostId host;
        Incarnation incarnation;
        FailureDomainId failureDomain;
        /** Own address for messages of other hosts. */
        std::string address;
        /** All failure domains with targets; each is one shard. */
        std::vector<FailureDomainId> failureDomains;
        /** Key of the configuration. */
        std::string configurationKey;
        /** Beginning of the keys of the targets. */
        std::string targetPrefix;
        HostLease::Settings lease;
        /** A load is a tenth of a second old at most, about the length of the shortest tasks. */
        std::chrono::milliseconds loadInterval { 100 };
        /** Links to other hosts are opened before a job needs them. */
        std::chrono::milliseconds linkInterval { 500 };
        std::chrono::milliseconds electionInterval { 100 };
        /** A host that has sent nothing for this long gets no more messages unless the store lists it. */
        std::chrono::milliseconds heardLimit { 4000 };
        /** Targets write every 1.5 s, and a draining one must get no work after 2 s: a holder sees it after a quarter
            of that. */
        std::chrono::milliseconds targetListPause { 400 };
        /** A host that holds no shard needs the list only when it takes one. */
        std::chrono::milliseconds idleTargetListPause { 4000 };
        /** Timers that are later than this show a pause of this process. */
        std::chrono::milliseconds pauseLimit { 500 };
        /** Jobs that arrive this soon after a pause were sent before it; their entrances ask again when they still want
            them. */
        std::chrono::milliseconds pauseBacklog { 100 };
        /** A draining host gives its shards up after this time, so that hosts that drain together know of one another:
            two answers of the store and a watch. */
        std::chrono::milliseconds releaseDelay { 150 };
        /** A draining host takes jobs for this long; later ones could not end before it stops. */
        std::chrono::milliseconds drainAcceptTime { 2900 };
        /** Interruptions of the store are logged at most this often. */
        std::chrono::seconds interruptionLogInterval { 1 };
    };
    using LogFields = std::vector<std::pair<const char*, std::string>>;
    struct Hooks {
        /** Sends a message to another host, or drops it. */
        std::function<void(const std::string& address, const protocol::Envelope&)> send;
        /** A process has started at the address: messages to it must not wait for a link that is being repeated. */
        std::function<void(const std::string& address)> hostStarted;
        std::function<void(const char* event, const LogFields&)> log;
        /** Reads the entry of a target; nothing for one that cannot be used. */
        std::function<std::optional<TargetReport>(const std::string& id, const std::string& value)> parseTarget;
        std::function<std::optional<QueueTable>(const std::string& value)> parseConfiguration;
        /** Takes the time from the acceptance of a job by this host to its end; may be empty. */
        std::function<void(Duration)> jobDuration;
    };

    ShardNode(
        Settings settings, KeyValueStore store, TargetCalls targets, Timers timers, const Clock& clock, Hooks hooks);
    ~ShardNode();
    ShardNode(const ShardNode&) = delete;
    ShardNode& operator=(const ShardNode&) = delete;

    /** Begins to follow the store. */
    void start();
    /** Gives the shards to other hosts and takes no new ones. */
    void drain();
    /** Takes a message of another host. */
    void received(const protocol::Envelope& message);

    JobEntrance& entrance();
    /** Returns the queues in force, or null before the first configuration. */
    const QueueTable* queues() const;
    /** Returns whether this host holds a shard. */
    bool isHolding() const;
    /** Returns whether callers should be sent here. */
    bool isReady() const;
    /** Returns the dispatcher of a shard that this host holds, or null. */
    ShardDispatcher* dispatcher(const ShardId& shard);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
