#pragma once

#include "daemon/ConfigurationStore.h"
#include "rattanroad_configuration/rattanroad_configuration.h"
#include "rattanroad_membership/rattanroad_membership.h"
#include "rattanroad_network/loop/EventLoop.h"

#include <functional>
#include <list>
#include <memory>

namespace rattanroad::daemon {

/** Keeps this host's configuration up to date and applies the changes of operators. */
class ConfigurationService {
public:
    struct Hooks {
        /** A newer configuration was found. */
        std::function<void(const ConfigurationValue&)> installed;
        std::function<void(const HostId&, protocol::Envelope&&)> sendToPeer;
    };
    using Applied = std::function<void(const ApplyOperation::Outcome&)>;
    /** The history as a JSON array text, oldest first, or a failure. */
    using HistoryRead = std::function<void(const Result<std::string>&)>;

    ConfigurationService(
        const Member& self, Clock& clock, RandomSource& random, platform::StoreClient& store, Hooks hooks);
    ConfigurationService(const ConfigurationService&) = delete;
    ConfigurationService& operator=(const ConfigurationService&) = delete;

    /** Applies @p change; @p applied is called exactly once. */
    void apply(ConfigurationChange change, Applied applied);
    void readHistory(HistoryRead read);

    void setMembers(const std::vector<Member>& live);
    void heartbeatRevision(const HostId& host, Revision revision);
    void peerMessage(const protocol::Envelope& envelope);

    void tick();
    TimePoint nextWakeup() const;
    ConfigurationDistributor::Statistics statistics() const;

private:
    ConfigurationDistributor::Hooks distributorHooks();

    Member m_self;
    Clock& m_clock;
    RandomSource& m_random;
    platform::StoreClient& m_client;
    ConfigurationStore m_store;
    Hooks m_hooks;
    ConfigurationHolder m_holder;
    ConfigurationDistributor m_distributor;
    std::list<std::shared_ptr<ApplyOperation>> m_operations;
};

}
