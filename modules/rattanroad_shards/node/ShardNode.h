#pragma once

#include "rattanroad_shards/entrance/JobEntrance.h"
#include "rattanroad_shards/entrance/LoadFeed.h"
#include "rattanroad_shards/entrance/QueueTable.h"
#include "rattanroad_shards/holding/ShardElection.h"
#include "rattanroad_shards/jobs/ShardDispatcher.h"
#include "rattanroad_shards/node/HandoverSender.h"
#include "rattanroad_shards/node/LoopMonitor.h"
#include "rattanroad_shards/store/PrefixWatcher.h"
#include "rattanroad_shards/types/PlatformLimits.h"

#include <memory>
#include <optional>

namespace rattanroad::shards {

/** Contains the complete logic of one entry host: watches the store, takes part in the elections of the shards,
    dispatches the jobs of the shards that it holds, and accepts jobs from callers. Does no I/O of its own: the store,
    the targets, other hosts and timers are reached through the calls and hooks that are passed in.
*/
class ShardNode {
public:
    struct Settings {
        HostId host;
        Incarnation incarnation;
        FailureDomainId failureDomain;
        HostMillicores processor;
        /** Address of this host, to which other hosts send messages. */
        std::string address;
        /** All failure domains with targets; each is one shard. */
        std::vector<FailureDomainId> failureDomains;
        /** Prefix of the keys that the operator writes. */
        std::string operatorPrefix;
        /** Key of the configuration. */
        std::string configurationKey;
        /** Prefix of the keys of evacuations, below operatorPrefix; empty if there are none. */
        std::string evacuationPrefix;
        /** Key prefix of the target entries. */
        std::string targetPrefix;
        HostLease::Settings lease;
        PlatformLimits limits;
        /** Interval of the load messages: about the run time of the shortest tasks. */
        std::chrono::milliseconds loadInterval { 100 };
        /** Interval at which the links to the holders are checked, so that they are open before a job needs them. */
        std::chrono::milliseconds linkInterval { 500 };
        std::chrono::milliseconds electionInterval { 100 };
        /** Interval at which a host decides whether it has to follow the target list. */
        std::chrono::milliseconds followInterval { 500 };
        /** So many hosts, the holder included, follow the target list for each shard: a new holder that has followed it
            for a while can tell that no run of an earlier holder is left. */
        std::size_t followersPerShard { 3 };
        /** Pause while this host follows the list without holding a shard. An entry of a target lasts for at least
            4.5 s, so each is read, also when the store is slow. */
        std::chrono::milliseconds idleTargetListPause { 3500 };
        /** The store is lost when the lease has ended and this many requests for the list of targets have failed in a
            row. After a pause of the process, the first can have been sent before it. */
        int lostStoreFailures { 3 };
        /** Time after the acquisition of a shard within which its previous holder, if it lives, learns of it from a
           load and stops: the records are loaded from a slow store, and two loads are sent. */
        std::chrono::milliseconds displacementTime { 500 };
        /** Time until another shard has a job that is transferred to it: a write, a notice, which may be repeated, and
           a read. */
        std::chrono::milliseconds transferTime { 500 };
        LoopMonitor::Settings loop;
        /** Submissions that arrive this soon after a pause were sent during it and are dropped; their origin hosts
            submit them again if they are still wanted. */
        std::chrono::milliseconds staleMessageWindow { 100 };
        HandoverSender::Settings handover;
        /** A holder whose loads do not name an evacuation this long after this host has read it is told of it. Loads
            take up to two tenths of a second. */
        std::chrono::milliseconds evacuationReportDelay { 500 };
        /** A draining host releases its shards after this time, which covers two store calls and a watch, so that hosts
            that drain together learn of one another first. */
        std::chrono::milliseconds releaseDelay { 150 };
        /** A draining host accepts jobs for this long; later ones could not end before it stops. The platform gives it
            6 s. */
        std::chrono::milliseconds drainAcceptTime { 2900 };
        /** Minimum time between two log lines about an interruption of the store. */
        std::chrono::seconds interruptionLogInterval { 1 };
    };
    using LogFields = std::vector<std::pair<const char*, std::string>>;
    struct Hooks {
        /** Sends a message to another host; it may get lost. Returns false when it was not sent because no link is
           open, and then opens one. */
        std::function<bool(const std::string& address, const protocol::Envelope&)> send;
        /** A new process has started at an address that has a link: the link is opened at once instead of after the
            retry interval. */
        std::function<void(const std::string& address)> hostStarted;
        std::function<void(const char* event, const LogFields&)> log;
        /** Parses the entry of a target; returns nothing for an unusable one. */
        std::function<std::optional<TargetReport>(const std::string& id, const std::string& value)> parseTarget;
        /** Parses the configuration; returns nothing for an invalid one. */
        std::function<std::optional<QueueTable>(const std::string& value)> parseConfiguration;
        /** Parses the key of an evacuation without its prefix, and its value; returns nothing for an invalid one. */
        std::function<std::optional<FailureDomainId>(const std::string& name, const std::string& value)>
            parseEvacuation;
        /** Records the time from the receipt of a job to its end, for a job of a shard that this host holds; may be
            empty. */
        std::function<void(Duration)> jobDuration;
        /** Records how late a timer of the event loop fired; may be empty. */
        std::function<void(Duration)> loopLag;
    };

    ShardNode(
        Settings settings, KeyValueStore store, TargetCalls targets, Timers timers, const Clock& clock, Hooks hooks);
    ~ShardNode();
    ShardNode(const ShardNode&) = delete;
    ShardNode& operator=(const ShardNode&) = delete;

    /** Starts to watch the store and to take part in the elections. */
    void start();
    /** Hands the shards over to other hosts, acquires no new ones, and later refuses new jobs. */
    void drain();
    /** Handles a message from another host. */
    void received(const protocol::Envelope& message);

    JobEntrance& entrance();
    /** Returns the queues in force, or null before the first configuration. */
    const QueueTable* queues() const;
    /** Returns whether this host holds at least one shard. */
    bool isHolding() const;
    /** Returns whether this host is ready for requests of callers. */
    bool isReady() const;
    /** Returns the dispatcher of a shard that this host holds, or null. */
    ShardDispatcher* dispatcher(const ShardId& shard);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
