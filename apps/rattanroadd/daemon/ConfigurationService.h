#pragma once

#include "daemon/ConfigurationStore.h"
#include "rattanroad_configuration/rattanroad_configuration.h"
#include "rattanroad_membership/rattanroad_membership.h"
#include "rattanroad_network/loop/EventLoop.h"

#include <functional>
#include <list>
#include <memory>

namespace rattanroad::daemon {

/** Keeps this host's configuration up to date from the store and from peers, and applies the changes of operators. */
class ConfigurationService {
public:
    struct Hooks {
        /** Called with each newer configuration. */
        std::function<void(const ConfigurationValue&)> installed;
        std::function<void(const HostId&, protocol::Envelope&&)> sendToPeer;
    };
    using ApplyCallback = std::function<void(const ApplyOperation::Outcome&)>;
    /** Receives the history as the text of a JSON array, oldest change first, or a failure. */
    using HistoryCallback = std::function<void(const Result<std::string>&)>;

    ConfigurationService(
        const Member& self, Clock& clock, RandomSource& random, platform::StoreClient& store, Hooks hooks);
    ConfigurationService(const ConfigurationService&) = delete;
    ConfigurationService& operator=(const ConfigurationService&) = delete;

    /** Applies @p change; @p callback is called exactly once. */
    void apply(ConfigurationChange change, ApplyCallback callback);
    void readHistory(HistoryCallback callback);

    /** Sets the live members without this host. Configurations are exchanged with them. */
    void setMembers(const std::vector<Member>& live);
    /** A heartbeat of @p host showed @p revision. */
    void heartbeatRevision(const HostId& host, Revision revision);
    /** Handles a configuration message (pull or push) of a peer. */
    void peerMessage(const protocol::Envelope& envelope);

    void tick();
    TimePoint nextWakeup() const;
    ConfigurationDistributor::Statistics statistics() const;

private:
    ConfigurationDistributor::Hooks distributorHooks();

    Member m_self;
    Clock& m_clock;
    RandomSource& m_random;
    platform::StoreClient& m_storeClient;
    ConfigurationStore m_store;
    Hooks m_hooks;
    ConfigurationHolder m_holder;
    ConfigurationDistributor m_distributor;
    /** Operations in progress. */
    std::list<std::shared_ptr<ApplyOperation>> m_operations;
};

}
