#pragma once

#include "rattanroad_shards/entrance/ShardLoads.h"

#include <map>
#include <string>
#include <vector>

namespace rattanroad::shards {

/** Brings the loads of all shards to each host, with a number of messages that does not depend on the number of hosts.

    Holders send their loads to one another. Every other host subscribes to one host, its feeder, which sends it all
    loads that it knows: the holder of the shard in its failure domain, or another holder while that one is silent. When
    no known holder answers, any host may serve as feeder, so that a host without the store learns of new holders.

    Also tells an earlier holder, which may have lost the store, that its shard has a later one.
*/
class LoadFeed {
public:
    struct Settings {
        HostId host;
        std::string address;
        FailureDomainId failureDomain;
        /** Interval at which a subscription is renewed, and a better feeder is chosen if there is one. */
        std::chrono::milliseconds subscriptionInterval { 1000 };
        /** A subscription that is not renewed ends after this time, so that one renewal may be lost. */
        std::chrono::milliseconds subscriptionLifetime { 2500 };
        /** Another feeder is chosen when this one has sent no recent load for this time: two messages are missing. */
        std::chrono::milliseconds feederTimeout { 250 };
        /** Time for which a feeder that was silent is not chosen again. */
        std::chrono::milliseconds feederPause { 2000 };
        /** Older loads are not passed on. */
        std::chrono::milliseconds maximumLoadAge { 1000 };
        /** Earlier holders get loads for this long: they can go on without the store for about as long. */
        std::chrono::milliseconds earlierHolderMemory { 13500 };
    };
    struct Hooks {
        /** Sends a message; returns false when it was not sent. */
        std::function<bool(const std::string& address, const protocol::Envelope&)> send;
        /** Returns an envelope from this host without a body. */
        std::function<protocol::Envelope()> envelope;
    };

    LoadFeed(Settings settings, const FleetView& fleet, const ShardLoads& loads, const Clock& clock, Hooks hooks);
    LoadFeed(const LoadFeed&) = delete;
    LoadFeed& operator=(const LoadFeed&) = delete;

    /** Sends the loads of the shards that this host holds to the other holders and all recent loads to the subscribers,
        and renews the subscription of this host. Called at the interval of the loads. */
    void update(const std::vector<protocol::ShardLoad>& ownLoads);
    /** Handles a subscription of another host. */
    void subscribed(const std::string& address);
    /** Records that loads were received from a host, the youngest of this age. */
    void loadsReceived(const std::string& address, std::chrono::milliseconds youngestAge);
    /** Tells the holder that has sent @p load which later holder its shard has. */
    void correct(const protocol::ShardLoad& load);

private:
    void sendOwnLoads(const std::vector<protocol::ShardLoad>& ownLoads);
    void sendToSubscribers();
    void renewSubscription(bool isHolding);
    /** Returns the address of the best feeder, or an empty one when no host is known. */
    std::string chooseFeeder();
    protocol::Envelope recentLoads() const;

    Settings m_settings;
    const FleetView& m_fleet;
    const ShardLoads& m_loads;
    const Clock& m_clock;
    Hooks m_hooks;
    /** Times of the latest subscriptions, by address. */
    std::map<std::string, TimePoint> m_subscribers;
    /** When hosts were last known to hold a shard, by address. */
    std::map<std::string, TimePoint> m_holders;
    /** Empty while this host is not subscribed. */
    std::string m_feeder;
    TimePoint m_subscribedAt { distantPast };
    /** When the feeder was chosen or last sent a recent load. */
    TimePoint m_lastFedAt { distantPast };
    /** Feeders that were silent, and until when they are not chosen. */
    std::map<std::string, TimePoint> m_silentFeeders;
    /** Number of feeders in a row that were silent. */
    std::size_t m_silentInARow { 0 };
};

}
